package control

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/wait"
)

// StormOptions are the flags of the subcommand storm.
type StormOptions struct {
	Nodes   int
	Profile string
	// Centres is how many data centres lose three quarters of their nodes.
	Centres int
	// Down is how long the nodes are gone.
	Down time.Duration
}

// StormReport is what the subcommand storm prints.
type StormReport struct {
	Nodes   int    `json:"nodes"`
	Profile string `json:"profile"`
	Centres int    `json:"data_centres"`
	Killed  int    `json:"killed"`
	// RecoverMs is from the last start to all nodes ready, all views whole
	// and the last version in force everywhere. Ready is the first of these.
	RecoverMs float64 `json:"recover_ms"`
	ReadyMs   float64 `json:"ready_ms"`
	// Peaks are over any second from the kill to the end.
	PeakReads     float64 `json:"peak_platform_reads_s"`
	PeakJoinBytes float64 `json:"peak_join_bytes_s"` // of all returned nodes together
	WentBack      int     `json:"went_back"`
	HalfApplied   int     `json:"half_applied"`
	Misrouted     int     `json:"calls_misrouted"`
	Calls         Calls   `json:"calls"`
	Unfinished    string  `json:"unfinished,omitempty"`
}

// quarters of a data centre's nodes that die, of four.
const quarters = 3

// MeasureStorm kills nodes together and starts them together.
func MeasureStorm(ctx context.Context, o StormOptions) (*StormReport, error) {
	f, err := startFleet(ctx, o.Nodes, o.Profile)
	if err != nil {
		return nil, err
	}
	defer f.close()
	c, err := startCalls(ctx, f)
	if err != nil {
		return nil, err
	}
	rep := &StormReport{Nodes: o.Nodes, Profile: o.Profile, Centres: o.Centres}
	err = rep.storm(ctx, f, o)
	if err != nil {
		rep.Unfinished = err.Error()
	}
	_, rep.Calls = c.since(nil)
	rep.Misrouted = c.stop()
	f.watch.accept(f.operator.versions)
	rep.WentBack, rep.HalfApplied = f.watch.stepsBack(), f.watch.halfApplied()
	return rep, ctx.Err()
}

func (r *StormReport) storm(ctx context.Context, f *fleet, o StormOptions) error {
	if err := wait.For(ctx, settleFor); err != nil {
		return err
	}
	victims := f.victims(o.Centres)
	r.Killed = len(victims)
	reads := startPeak(func() float64 { return float64(f.Store.Counts().Reads) })
	join := startPeak(func() float64 { return bytesOf(victims) })
	defer func() { r.PeakReads, r.PeakJoinBytes = reads.stop(), join.stop() }()
	killAll(victims)
	// The survivors move on, so that coming back with what one had is wrong.
	if err := f.operator.change(ctx, f.Nodes()[0]); err != nil {
		return err
	}
	if err := wait.For(ctx, o.Down); err != nil {
		return err
	}
	var group errgroup.Group
	for _, vm := range victims {
		group.Go(func() error { return f.StartNode(vm) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return r.recover(ctx, f, time.Now())
}

// recover waits until the mesh is whole again.
func (r *StormReport) recover(ctx context.Context, f *fleet, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return fmt.Errorf("ready: %w: %s", err, f.unready())
	}
	r.ReadyMs = ms(time.Since(start))
	if err := f.waitViews(ctx); err != nil {
		return fmt.Errorf("views: %w", err)
	}
	if err := f.WaitVersion(ctx, f.operator.last().Number); err != nil {
		return fmt.Errorf("version: %w", err)
	}
	r.RecoverMs = ms(time.Since(start))
	return nil
}

// unready says why the first node that is not ready is not.
func (f *fleet) unready() string {
	for _, vm := range f.VMs {
		n := vm.Node()
		if n == nil {
			return vm.ID + " does not run"
		}
		if ok, why := n.Ready(); !ok {
			return vm.ID + ": " + why
		}
	}
	return "all are"
}

// victims returns three quarters of the nodes of the first data centres.
func (f *fleet) victims(centres int) []*localmesh.VM {
	var out []*localmesh.VM
	for _, dc := range centreNames()[:centres] {
		vms := f.inCentre(dc)
		out = append(out, vms[:len(vms)*quarters/4]...)
	}
	return out
}

func killAll(vms []*localmesh.VM) {
	var group errgroup.Group
	for _, vm := range vms {
		group.Go(func() error { vm.Kill(); return nil })
	}
	_ = group.Wait() // kills return no errors
}

// bytesOf returns the bytes that the running ones of the nodes sent and got
// since their start.
func bytesOf(vms []*localmesh.VM) float64 {
	var sum uint64
	for _, vm := range vms {
		if n := vm.Node(); n != nil {
			sum += bytesOfNode(n)
		}
	}
	return float64(sum)
}

func bytesOfNode(n *node.Node) uint64 {
	in, out := n.ControlBytes()
	return in + out
}
