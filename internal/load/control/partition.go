package control

import (
	"context"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/wait"
)

// PartitionOptions are the flags of the subcommand partition.
type PartitionOptions struct {
	Nodes   int
	Profile string
	Mode    localmesh.Mode
	Changes int
	// Cut is how long each of the two cuts lasts at least.
	Cut time.Duration
}

// PartitionReport is what the subcommand partition prints: one phase with one
// data centre that reaches the platform, and one with every data centre alone.
type PartitionReport struct {
	Nodes       int     `json:"nodes"`
	Profile     string  `json:"profile"`
	Served      int     `json:"calls_served_during"`
	Sent        int     `json:"calls_sent_during"`
	Converge    float64 `json:"converge_after_heal_ms"` // the slower of the two
	WentBack    int     `json:"went_back"`
	HalfApplied int     `json:"half_applied"`
	Misrouted   int     `json:"misrouted"`
	Parted      Phase   `json:"parted"`
	Alone       Phase   `json:"alone"`
	Unfinished  string  `json:"unfinished,omitempty"`
}

// Phase is one cut.
type Phase struct {
	ByCentre map[string]Calls `json:"calls_by_data_centre"`
	// Changes that were sent during the cut, by their outcome.
	Accepted int `json:"changes_accepted"`
	Refused  int `json:"changes_refused"`
	Unknown  int `json:"changes_unknown"`
	// HealMs is from the heal to all views whole and all versions in force.
	HealMs    float64 `json:"converge_after_heal_ms"`
	VersionMs float64 `json:"version_after_heal_ms"`
}

// MeasurePartition parts the data centres twice.
func MeasurePartition(ctx context.Context, o PartitionOptions) (*PartitionReport, error) {
	f, err := startFleet(ctx, o.Nodes, o.Profile)
	if err != nil {
		return nil, err
	}
	defer f.close()
	c, err := startCalls(ctx, f)
	if err != nil {
		return nil, err
	}
	rep := &PartitionReport{Nodes: o.Nodes, Profile: o.Profile}
	if err := rep.phases(ctx, f, c, o); err != nil {
		rep.Unfinished = err.Error()
	}
	for _, p := range []Phase{rep.Parted, rep.Alone} {
		for _, n := range p.ByCentre {
			rep.Sent, rep.Served = rep.Sent+n.Sent, rep.Served+n.Served
		}
		rep.Converge = max(rep.Converge, p.HealMs)
	}
	rep.Misrouted = c.stop()
	f.watch.accept(f.operator.versions)
	rep.WentBack, rep.HalfApplied = f.watch.stepsBack(), f.watch.halfApplied()
	return rep, ctx.Err()
}

func (r *PartitionReport) phases(ctx context.Context, f *fleet, c *calls, o PartitionOptions) error {
	names := centreNames()
	if err := wait.For(ctx, settleFor); err != nil {
		return err
	}
	// The first data centre keeps the platform; the others have nothing.
	if err := r.Parted.run(ctx, f, c, o, names[1:], names[:1]); err != nil {
		return fmt.Errorf("parted: %w", err)
	}
	if err := r.Alone.run(ctx, f, c, o, names, nil); err != nil {
		return fmt.Errorf("alone: %w", err)
	}
	return nil
}

// run parts all data centres from each other, and those in cut from the
// platform. It sends changes where the platform is open, tries one where it is
// not, and heals.
func (p *Phase) run(ctx context.Context, f *fleet, c *calls, o PartitionOptions, cut, open []string) error {
	before, end := c.take(), time.Now().Add(o.Cut)
	f.Cuts.PartAll(o.Mode, centreNames()...)
	for _, dc := range cut {
		f.Cuts.Part(o.Mode, dc, localmesh.Platform)
	}
	for i := range o.Changes {
		if len(open) > 0 {
			p.change(ctx, f, open[i%len(open)], i)
		}
	}
	p.change(ctx, f, cut[0], 0)
	if err := wait.For(ctx, time.Until(end)); err != nil {
		return err
	}
	p.ByCentre, _ = c.since(before)
	f.Cuts.HealAll()
	return p.heal(ctx, f, time.Now())
}

// change has a node of a data centre take a change, and counts the outcome.
func (p *Phase) change(ctx context.Context, f *fleet, dc string, i int) {
	vms := f.inCentre(dc)
	start := time.Now()
	res := f.operator.submit(ctx, vms[i%len(vms)].Node(), f.operator.next())
	switch res.Outcome {
	case command.Accepted:
		p.Accepted++
		f.operator.versions = append(f.operator.versions, sent{res.Version, start})
	case command.Refused:
		p.Refused++
	default:
		p.Unknown++
	}
}

// heal waits until the mesh is whole again.
func (p *Phase) heal(ctx context.Context, f *fleet, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := f.WaitVersion(ctx, f.operator.last().Number); err != nil {
		return fmt.Errorf("versions after the heal: %w", err)
	}
	p.VersionMs = ms(time.Since(start))
	if err := f.waitViews(ctx); err != nil {
		return fmt.Errorf("views after the heal: %w", err)
	}
	p.HealMs = ms(time.Since(start))
	return nil
}
