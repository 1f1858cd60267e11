package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/wait"
)

// MeshOptions say how a mesh is measured.
type MeshOptions struct {
	Nodes   int
	Profile string
	Prior   int           // changes made in a burst before anything is measured
	Settle  time.Duration // after the last announcement is known everywhere
	Idle    time.Duration // how long the idle mesh is watched
	Changes int           // made one after the other
	Every   time.Duration // between two changes, or longer until one is in force
	Tail    time.Duration // watched after the last change, for what follows it
}

// DefaultMesh returns the options that the page's figures are made with.
func DefaultMesh(nodes int, profile string) MeshOptions {
	return MeshOptions{
		Nodes: nodes, Profile: profile, Settle: settleFor(nodes, defaultRest),
		Idle: 15 * time.Second, Changes: 6, Every: 1500 * time.Millisecond, Tail: 10 * time.Second,
	}
}

// MeasureMesh runs a mesh of real nodes in this process, which should do
// nothing else.
func MeasureMesh(ctx context.Context, o MeshOptions) (MeshPoint, error) {
	p := MeshPoint{Nodes: o.Nodes, Profile: o.Profile, Prior: o.Prior, Settle: o.Settle.Seconds(), Changes: o.Changes}
	p.Before = loadAverage()
	empty := settledMemory()
	start := time.Now()
	m, err := startFleet(ctx, o.Nodes, o.Profile)
	if err != nil {
		return p, err
	}
	defer m.Close()
	p.ReadyMS = millis(time.Since(start))
	op, err := newOperator(m)
	if err != nil {
		return p, err
	}
	a, err := announceFleet(ctx, m)
	if err != nil {
		return p, err
	}
	defer a.close()
	if err := op.burst(ctx, o.Prior); err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Settle); err != nil {
		return p, err
	}
	if p.Idle, err = watch(ctx, m, func() error { return wait.For(ctx, o.Idle) }); err != nil {
		return p, err
	}
	p.memory(empty, settledMemory())
	if p.Changing, err = watch(ctx, m, func() error { return p.change(ctx, o, op) }); err != nil {
		return p, err
	}
	p.After = loadAverage()
	return p, nil
}

// burst makes changes as fast as they are accepted.
func (o *operator) burst(ctx context.Context, changes int) error {
	for i := range changes {
		if err := o.target(ctx, targetName(i%targets), targetSpec(i%targets, 2+i)); err != nil {
			return err
		}
	}
	return o.m.WaitVersion(ctx, o.version)
}

// memory takes what the mesh holds, less what the process held without it.
func (p *MeshPoint) memory(empty, full memory) {
	n := float64(p.Nodes)
	p.Heap = (full.heap - empty.heap) / n
	p.Stack = (full.stack - empty.stack) / n
	p.BaseRSS = empty.rss
	p.RSS = (full.rss - empty.rss) / n
	p.Files = float64(full.files-empty.files) / n
	p.ProcessMB = full.rss / (1 << 20)
}

// watch returns what the nodes spend while f runs.
func watch(ctx context.Context, m *localmesh.Mesh, f func() error) (Window, error) {
	before, err := scrape(m, true)
	if err != nil {
		return Window{}, err
	}
	if err := f(); err != nil {
		return Window{}, err
	}
	goroutines := runtime.NumGoroutine()
	after, err := scrape(m, false)
	if err != nil {
		return Window{}, err
	}
	w := window(before, after)
	w.Goroutines = float64(goroutines) / float64(len(before.nodes))
	return w, ctx.Err()
}

// change makes the changes, and waits for what follows the last.
func (p *MeshPoint) change(ctx context.Context, o MeshOptions, op *operator) error {
	if err := op.changes(ctx, o.Changes, o.Every); err != nil {
		return err
	}
	p.Tail = o.Tail.Seconds()
	return wait.For(ctx, o.Tail)
}

// changes makes changes one after the other, each in force everywhere before
// the next.
func (o *operator) changes(ctx context.Context, n int, every time.Duration) error {
	for i := range n {
		start := time.Now()
		if err := o.target(ctx, targetName(i), targetSpec(i, 1)); err != nil {
			return err
		}
		if err := o.m.WaitVersion(ctx, o.version); err != nil {
			return err
		}
		if err := wait.For(ctx, every-time.Since(start)); err != nil {
			return err
		}
	}
	return nil
}
