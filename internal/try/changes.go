package try

import (
	"context"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// changeUnderLoad changes a target while calls are made.
func (t *tour) changeUnderLoad(ctx context.Context) error {
	var version uint64
	calls, err := t.underLoad(ctx, t.mesh.VMs, func() (err error) {
		time.Sleep(warmUp)
		defer time.Sleep(warmUp)
		spec := classes()[0].spec
		spec.AnswerWithinMs = adminapi.NewOptInt64(150)
		version, err = t.putTarget(ctx, "booking", spec)
		return err
	})
	if err != nil {
		return err
	}
	t.say("%d calls answered while version %d came into force", calls, version)
	return nil
}

// Times of the drain.
const (
	warmUp      = 500 * time.Millisecond
	quietWithin = 2 * time.Second // a leaving backend server gets no new work after it
	watchFor    = time.Second
)

// drainUnderLoad drains a backend server under load, and sees that it gets no
// new work after two seconds.
func (t *tour) drainUnderLoad(ctx context.Context) error {
	leaving := t.mesh.VMs[1].Backends()[0]
	var late int
	calls, err := t.underLoad(ctx, t.mesh.VMs, func() error {
		time.Sleep(warmUp)
		drained := make(chan error, 1)
		go func() { drained <- leaving.Drain(ctx) }()
		time.Sleep(quietWithin)
		runs := leaving.Runs().Runs
		time.Sleep(watchFor)
		late = leaving.Runs().Runs - runs
		return <-drained
	})
	if err != nil {
		return err
	}
	if late > 0 {
		return fmt.Errorf("a draining backend server got %d new calls after %s", late, quietWithin)
	}
	t.say("a backend server of %q drained under load: %d calls answered, no new work for it after %s",
		berths, calls, quietWithin)
	return nil
}

// stopNodeUnderLoad stops one node gracefully while calls run, some of them
// through the service beside it.
func (t *tour) stopNodeUnderLoad(ctx context.Context) error {
	last := len(t.mesh.VMs) - 1
	vm := t.mesh.VMs[last]
	calls, err := t.underLoad(ctx, t.mesh.VMs[:last], func() error { return vm.Stop(ctx) })
	if err != nil {
		return err
	}
	t.say("the node of %s stopped under load: %d calls answered", vm.ID, calls)
	return nil
}

// startNodeAgain starts the stopped node anew. It has no disk, and must come
// back with the version that it held.
func (t *tour) startNodeAgain(ctx context.Context) error {
	vm := t.mesh.VMs[len(t.mesh.VMs)-1]
	_, _, version := t.inForce()
	began := time.Now()
	if err := t.mesh.StartNode(vm); err != nil {
		return err
	}
	if err := t.mesh.WaitReady(ctx); err != nil {
		return err
	}
	if got := vm.Node().Version().Number; got < version {
		return fmt.Errorf("%s came back with version %d, not %d", vm.ID, got, version)
	}
	t.say("the node of %s came back without a disk, with version %d after %s", vm.ID, version, since(began))
	return nil
}
