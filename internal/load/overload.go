package load

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// OverloadOptions are the flags of the subcommand.
type OverloadOptions struct {
	Loads  []float64
	Warm   time.Duration // sent before the window, not counted
	Window time.Duration // counted, for each load and policy
	// Crowd adds runs with callers that send again, at the highest load.
	Crowd bool
	// Ablate runs, at AblateAt, each policy replaced by its plain one alone.
	Ablate   bool
	AblateAt float64
	Seed     uint64
}

const overloadSummary = "bookings, lookups and bulk from half to four times the capacity"

func runOverload(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := newFlags("overload", overloadSummary, stdout, stderr)
	var o OverloadOptions
	loads := fs.String("loads", "0.5,1,2,4", "loads in times of the capacity")
	fs.DurationVar(&o.Warm, "warm", 1500*time.Millisecond, "how long calls are sent before they count")
	fs.DurationVar(&o.Window, "for", 2500*time.Millisecond, "how long calls count, for each load and policy")
	fs.BoolVar(&o.Crowd, "crowd", true, "add callers that send again, at the highest load")
	fs.BoolVar(&o.Ablate, "ablate", false, "also replace each policy by its plain one alone")
	fs.Float64Var(&o.AblateAt, "ablate-at", 2, "the load of -ablate")
	fs.Uint64Var(&o.Seed, "seed", 1, "of the calls' moments and service times")
	if code, ok := fs.Read(args); !ok {
		return code
	}
	for s := range strings.SplitSeq(*loads, ",") {
		l, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || l <= 0 || l > maxLoad {
			return fs.Bad(fmt.Errorf("-loads: %q must be a number from 0 to %d", s, maxLoad))
		}
		o.Loads = append(o.Loads, l)
	}
	rep, err := MeasureOverload(ctx, o)
	return fs.finish(rep, err, stdout)
}

// exit fails the command when a booking ran twice under our policies.
func (r *OverloadReport) exit() int {
	for _, run := range r.Runs {
		if run.Policy == policyOurs && run.Doubled > 0 {
			return exit.Failed
		}
	}
	return exit.OK
}

const maxLoad = 16

// Names of policies.
const (
	policyPlain = "baseline"
	policyOurs  = "ours"
)

// plainAttempts is how often the plain retry rule sends a call in all.
const plainAttempts = 3

// contender is a mesh with one set of policies.
type contender struct {
	policy   string
	policies node.Policies
	mesh     *overloadMesh
}

// overloadRun is a measurement under way.
type overloadRun struct {
	o       OverloadOptions
	classes []workClass
	report  OverloadReport
}

// MeasureOverload measures the policies in turn, load after load.
func MeasureOverload(ctx context.Context, o OverloadOptions) (*OverloadReport, error) {
	r := &overloadRun{o: o, classes: workClasses()}
	r.report.Slots = overloadTotal
	both := []*contender{{policy: policyPlain, policies: node.Baseline()}, {policy: policyOurs}}
	err := r.with(ctx, both, func() {
		for _, load := range o.Loads {
			r.inTurn(ctx, both, load, CallersOnce)
		}
		if o.Crowd {
			last := o.Loads[len(o.Loads)-1]
			r.inTurn(ctx, both, last, CallersAtOnce)
			r.inTurn(ctx, both, last, CallersHonour)
		}
	})
	if err == nil && o.Ablate {
		err = r.ablate(ctx)
	}
	if err != nil {
		return nil, err
	}
	r.report.sumUp(r.classes)
	return &r.report, ctx.Err()
}

// ablate replaces each policy by its plain one alone.
func (r *overloadRun) ablate(ctx context.Context) error {
	list := []*contender{
		{policy: policyOurs},
		{policy: "plain picker", policies: node.Policies{RoundRobin: true}},
		{policy: "plain gate", policies: node.Policies{FixedLimit: true}},
		{policy: "plain retry", policies: node.Policies{Retrier: proxy.RetryAlwaysUpTo(plainAttempts)}},
		{policy: policyPlain, policies: node.Baseline()},
	}
	return r.with(ctx, list, func() {
		r.inTurn(ctx, list, r.o.AblateAt, CallersOnce)
		r.inTurn(ctx, list, r.o.AblateAt, CallersAtOnce)
	})
}

// with starts the meshes, measures, and ends them.
func (r *overloadRun) with(ctx context.Context, list []*contender, measure func()) error {
	defer func() {
		for _, c := range list {
			if c.mesh != nil {
				c.mesh.close()
			}
		}
	}()
	for _, c := range list {
		var err error
		if c.mesh, err = newOverloadMesh(ctx, r.classes, c.policies); err != nil {
			return fmt.Errorf("%s: %w", c.policy, err)
		}
	}
	measure()
	return nil
}

func (r *overloadRun) inTurn(ctx context.Context, list []*contender, load float64, callers Callers) {
	for _, c := range list {
		n := len(r.report.Runs)
		before := readCPU()
		counts := c.mesh.run(ctx, r.classes, trafficOptions{
			prefix: runPrefix(n), load: load, callers: callers,
			warm: r.o.Warm, window: r.o.Window, seed: r.o.Seed,
		})
		run := newOverloadRunReport(counts, r.o.Window)
		run.Policy, run.Load, run.Callers = c.policy, load, callers
		run.CPU = readCPU().since(before)
		run.Doubled = c.mesh.doubled(r.classes, n)
		r.report.Runs = append(r.report.Runs, run)
	}
}
