package load

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// OverloadClass is what became of one class in one run.
type OverloadClass struct {
	Class    string `json:"class"`
	Offered  int    `json:"offered"` // calls that came
	Sent     int    `json:"sent"`    // sendings of them that ended
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"` // told that they were not run
	Failed   int    `json:"failed"`  // no answer, a wrong one, or another status
	Within   int    `json:"within"`  // answered within the answer time
	// Goodput is Within a second.
	Goodput float64 `json:"goodput"`
	P50us   int64   `json:"p50_us"`
	P99us   int64   `json:"p99_us"`
	// OnTarget is Within over Answered.
	OnTarget  float64 `json:"on_target"`
	TargetMet bool    `json:"target_met"`
}

// OverloadRun is one load with one set of policies.
type OverloadRun struct {
	Load    float64         `json:"load"`
	Policy  string          `json:"policy"`
	Callers Callers         `json:"callers"`
	Classes []OverloadClass `json:"classes"`
	// Goodput is the slot time of answers within their answer time, over the
	// slot time that there was.
	Goodput float64 `json:"goodput"`
	// Useful is the same of all answers.
	Useful float64 `json:"useful"`
	// Doubled are the bookings that ran more than once.
	Doubled int `json:"doubled"`
	// CPU is the part of the machine's cores that the process took, callers
	// and backend servers included.
	CPU float64 `json:"cpu"`
}

// OverloadKept says how the class with the tightest answer time fared at the
// highest load under one set of policies.
type OverloadKept struct {
	Policy string  `json:"policy"`
	Class  string  `json:"class"`
	Load   float64 `json:"load"`
	// OnTarget is its answers within the answer time over its answers.
	OnTarget float64 `json:"on_target"`
	// Kept is its goodput over that at a load of one.
	Kept float64 `json:"kept"`
	// Goodput is that of all classes over the capacity.
	Goodput float64 `json:"goodput"`
}

// OverloadReport is what the subcommand prints.
type OverloadReport struct {
	Slots int            `json:"slots"`
	Runs  []OverloadRun  `json:"runs"`
	Kept  []OverloadKept `json:"kept"`
}

func newOverloadRunReport(counts []*classCounts, window time.Duration) OverloadRun {
	var r OverloadRun
	var work, useful time.Duration
	for _, y := range counts {
		work += y.work
		useful += y.useful
		r.Classes = append(r.Classes, y.report(window))
	}
	capacity := float64(overloadTotal) * window.Seconds()
	r.Useful = work.Seconds() / capacity
	r.Goodput = useful.Seconds() / capacity
	return r
}

func (y *classCounts) report(window time.Duration) OverloadClass {
	c := OverloadClass{
		Class: y.class.name, Offered: y.offered, Sent: y.sent, Answered: y.answered,
		Refused: y.refused, Failed: y.failed, Within: y.within,
		Goodput: float64(y.within) / window.Seconds(),
		P50us:   y.latency.ValueAtQuantile(50), P99us: y.latency.ValueAtQuantile(99),
	}
	if y.answered > 0 {
		c.OnTarget = float64(y.within) / float64(y.answered)
	}
	c.TargetMet = c.OnTarget*100 >= y.class.percentile
	return c
}

// sumUp compares the tightest class at the highest load with a load of one.
func (r *OverloadReport) sumUp(classes []workClass) {
	at := func(policy string, load float64) *OverloadRun {
		for i := range r.Runs {
			run := &r.Runs[i]
			if run.Policy == policy && run.Load == load && run.Callers == CallersOnce {
				return run
			}
		}
		return nil
	}
	highest := 0.0
	for _, run := range r.Runs {
		highest = max(highest, run.Load)
	}
	for _, policy := range []string{policyPlain, policyOurs} {
		one, most := at(policy, 1), at(policy, highest)
		if one == nil || most == nil || one.Classes[0].Within == 0 {
			continue
		}
		r.Kept = append(r.Kept, OverloadKept{
			Policy: policy, Class: classes[0].name, Load: highest,
			OnTarget: most.Classes[0].OnTarget,
			Kept:     float64(most.Classes[0].Within) / float64(one.Classes[0].Within),
			Goodput:  most.Goodput,
		})
	}
}

func (r *OverloadReport) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tcallers\tclass\toffered\tsent\tanswered\trefused\tfailed\tgoodput/s\tp50 ms\tp99 ms\ton target\tmet\tall: goodput\tanswered\tdoubled\tcpu\t")
	for i := range r.Runs {
		r.Runs[i].print(t)
	}
	t.Flush()
	for _, k := range r.Kept {
		fmt.Fprintf(w, "%s at %gx, %s: %.1f%% of the answers within target, %.1f%% of the goodput at 1x; all classes %.1f%% of the capacity\n",
			k.Class, k.Load, k.Policy, 100*k.OnTarget, 100*k.Kept, 100*k.Goodput)
	}
	fmt.Fprintf(w, "capacity: %d slots; goodput of all: slot time of answers within target over that of the capacity; latency counts from each sending\n", r.Slots)
}

func (r *OverloadRun) print(w io.Writer) {
	for i, c := range r.Classes {
		met := "no"
		if c.TargetMet {
			met = "yes"
		}
		fmt.Fprintf(w, "%gx\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f%%\t%s\t", r.Load, r.Policy, r.Callers,
			c.Class, c.Offered, c.Sent, c.Answered, c.Refused, c.Failed, c.Goodput,
			millis(c.P50us), millis(c.P99us), 100*c.OnTarget, met)
		if i == 0 {
			fmt.Fprintf(w, "%.1f%%\t%.1f%%\t%d\t%.0f%%\t", 100*r.Goodput, 100*r.Useful, r.Doubled, 100*r.CPU)
		} else {
			fmt.Fprint(w, "\t\t\t\t")
		}
		fmt.Fprintln(w)
	}
}

func millis(us int64) float64 { return float64(us) / 1000 }

// cpuTime is the processor time that the process has taken at a moment.
type cpuTime struct {
	at   time.Time
	used time.Duration
}

func readCPU() cpuTime {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return cpuTime{}
	}
	return cpuTime{time.Now(), time.Duration(u.Utime.Nano() + u.Stime.Nano())}
}

// since returns the part of all cores that was taken.
func (c cpuTime) since(before cpuTime) float64 {
	elapsed := c.at.Sub(before.at)
	if elapsed <= 0 {
		return 0
	}
	return float64(c.used-before.used) / float64(elapsed) / float64(runtime.NumCPU())
}
