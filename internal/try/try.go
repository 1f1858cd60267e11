// Package try is the newcomer's tour: a platform, nodes in two data centres and
// the backend servers of a boat yard's two services, in one process on
// loopback. It states targets, makes calls of each class, drains a backend
// server under load, and tells in plain lines what happened.
package try

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/settings"
)

// Bound is how long a tour may take.
const Bound = 50 * time.Second

// tour is one run.
type tour struct {
	w     io.Writer
	mesh  *localmesh.Mesh
	admin *adminapi.Client
	calls tally
}

// Run makes the tour, writes what happened to w, and returns an error if
// anything went otherwise than it should. Its last line sums it up.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, Bound)
	defer cancel()
	t := &tour{w: w}
	if err := t.run(ctx); err != nil {
		t.say("failed %v", err)
		return err
	}
	return nil
}

func (t *tour) run(ctx context.Context) error {
	if err := t.start(ctx); err != nil {
		return err
	}
	defer t.mesh.Close()
	for _, step := range []func(context.Context) error{
		t.startBackends,
		t.stateTargets,
		t.refuseMissingService,
		t.callEachClass,
		t.changeUnderLoad,
		t.drainUnderLoad,
		t.stopNodeUnderLoad,
		t.startNodeAgain,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return t.sumUp()
}

// sumUp prints the last line, while the mesh still runs.
func (t *tour) sumUp() error {
	inForce, nodes, version := t.inForce()
	if inForce < nodes || nodes < len(t.mesh.VMs) {
		return fmt.Errorf("version %d is in force on %d of %d nodes", version, inForce, len(t.mesh.VMs))
	}
	if t.calls.failed > 0 {
		return fmt.Errorf("%d of %d calls were not answered as they should", t.calls.failed, t.calls.made)
	}
	t.say("ok version=%d nodes=%d/%d calls=%d failed=%d", version, inForce, nodes, t.calls.made, t.calls.failed)
	return nil
}

func (t *tour) say(format string, args ...any) { fmt.Fprintf(t.w, "try: "+format+"\n", args...) }

// start starts the platform and the nodes.
func (t *tour) start(ctx context.Context) error {
	began := time.Now()
	m, err := localmesh.Start(localmesh.Options{
		Name: "try", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{
			{Name: "neg-shed", Region: "western", VMs: 3},
			{Name: "gal-shed", Region: "western", VMs: 3},
		},
	})
	if err != nil {
		return err
	}
	t.mesh = m
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	if t.admin, err = m.Admin(m.VMs[0]); err != nil {
		return err
	}
	t.say("%d nodes in 2 data centres carry traffic after %s", len(m.VMs), since(began))
	return nil
}

// inForce returns how many nodes run the newest version.
func (t *tour) inForce() (inForce, nodes int, version uint64) {
	for _, n := range t.mesh.Nodes() {
		version = max(version, n.Version().Number)
	}
	for _, n := range t.mesh.Nodes() {
		nodes++
		if n.Version().Number == version {
			inForce++
		}
	}
	return inForce, nodes, version
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
