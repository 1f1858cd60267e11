package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// FaultReport is what one fault came to, with the baseline's policies and ours.
type FaultReport struct {
	Fault    string      `json:"fault"`
	Baseline FaultCounts `json:"baseline"`
	Ours     FaultCounts `json:"ours"`
}

// FaultsReport is what the subcommand prints.
type FaultsReport struct {
	Faults []FaultReport `json:"faults"`
}

// FaultsOptions are the flags of the subcommand.
type FaultsOptions struct {
	Only     string // part of the names of the faults to play; all if empty
	Parallel int    // meshes at once
	OursOnly bool
	Verbose  bool // tell of every call that was not answered with ours
}

const faultsSummary = "what callers see of each fault, with plain policies and with ours"

func runFaults(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := newFlags("faults", faultsSummary, stdout, stderr)
	var o FaultsOptions
	fs.StringVar(&o.Only, "only", "", "play only the faults whose names contain this")
	fs.IntVar(&o.Parallel, "parallel", 4, "meshes at once")
	fs.BoolVar(&o.OursOnly, "ours", false, "leave the baseline out")
	fs.BoolVar(&o.Verbose, "v", false, "tell of every call that was not answered, or broke a promise, with ours")
	if code, ok := fs.Read(args); !ok {
		return code
	}
	if o.Parallel < 1 {
		return fs.Bad(errors.New("-parallel: must be 1 or more"))
	}
	rep, err := MeasureFaults(ctx, o)
	code := fs.finish(rep, err, stdout)
	if err == nil && o.Verbose {
		rep.tell(stderr)
	}
	return code
}

// MeasureFaults plays the faults, each in a mesh of its own, with the baseline
// and with ours.
func MeasureFaults(ctx context.Context, o FaultsOptions) (*FaultsReport, error) {
	rep := new(FaultsReport)
	var played []*fault
	for _, f := range faults {
		if strings.Contains(f.name, o.Only) {
			played = append(played, f)
		}
	}
	rep.Faults = make([]FaultReport, len(played))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Parallel)
	for i, f := range played {
		r := &rep.Faults[i]
		r.Fault = f.name
		if !o.OursOnly {
			g.Go(func() error { return f.measure(ctx, node.Baseline(), &r.Baseline) })
		}
		g.Go(func() error { return f.measure(ctx, node.Policies{}, &r.Ours) })
	}
	return rep, g.Wait()
}

func (f *fault) measure(ctx context.Context, p node.Policies, into *FaultCounts) error {
	mesh := f.mesh
	mesh.policies = p
	c, err := playFault(ctx, f, mesh)
	*into = c
	return err
}

// Goals of the report.
const (
	maxAfterDrainS   = 2.0
	maxEndpointsDown = 2
)

// exit fails the command when ours broke a promise.
func (r *FaultsReport) exit() int {
	for _, f := range r.Faults {
		if f.Ours.broken() || f.Ours.AfterDrainS > maxAfterDrainS ||
			f.Ours.EndpointsDown > maxEndpointsDown || f.Ours.LockedOut > 0 {
			return exit.Failed
		}
	}
	return exit.OK
}

// tell writes the notes.
func (r *FaultsReport) tell(w io.Writer) {
	for _, f := range r.Faults {
		for _, n := range f.Ours.notes {
			fmt.Fprintf(w, "%s: %s\n", f.Fault, n)
		}
	}
}

func (r *FaultsReport) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "fault\tpolicies\tsent\tanswered\tlost\tdoubled\tpartial\tfalse not run\tcut off\tafter drain s\t"+
		"refused\tunknown\tfailed\tdown\tlocked out\tp99 ms\t")
	for _, f := range r.Faults {
		f.Baseline.row(t, f.Fault, "baseline")
		f.Ours.row(t, f.Fault, "ours")
	}
	t.Flush()
}

func (c *FaultCounts) row(w io.Writer, fault, policies string) {
	if c.Sent == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", fault, policies,
		c.Sent, c.Answered, c.Lost, c.Doubled, c.Partial, c.FalseNotRun, c.CutOff, c.AfterDrainS,
		c.Refused, c.Unknown, c.Failed, c.EndpointsDown, c.LockedOut, c.P99ms)
}
