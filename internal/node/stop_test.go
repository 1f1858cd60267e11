package node_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// caller is a client outside the mesh that follows the retry rule: it sends a call again only
// after "not run" or a failed dial, and it avoids a node that is about to stop, as a load balancer
// that polls /readyz does.
type caller struct {
	w      *testMesh
	client http.Client
}

func newCaller(w *testMesh) *caller {
	return &caller{w: w, client: http.Client{Transport: new(http.Transport)}}
}

// call makes one call, trying one node after the other, and returns an error if it fails.
func (c *caller) call(method, path, id string) error {
	for n := 0; c.w.ctx.Err() == nil; n++ {
		node := c.w.VMs[n%len(c.w.VMs)].Node()
		if node == nil {
			continue
		}
		if ready, _ := node.Ready(); !ready {
			time.Sleep(time.Millisecond)
			continue
		}
		a := ask(c.w.ctx, &c.client, node.Addrs().Callers, method, path, id)
		var dial *net.OpError
		if a.notRun != "" || errors.As(a.err, &dial) && dial.Op == "dial" {
			continue
		}
		if a.err != nil || a.status != http.StatusOK {
			return fmt.Errorf("%s %s: %s", method, path, a)
		}
		return nil
	}
	return c.w.ctx.Err()
}

// Guards against a booking that is lost or made twice, or an archive that is cut off, while all
// nodes are replaced one after the other. It happens if a node closes a connection with a call on
// it, announces its end too late, or takes calls too early. One caller downloads an archive for
// longer than a stop's notice.
func TestRollingReplacementUnderCalls(t *testing.T) {
	t.Parallel()
	w := startMesh(t, 4, nil)
	w.hold(w.VMs...)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	report := func(err error) {
		if err != nil {
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
		}
	}
	var stop atomic.Bool
	var calls atomic.Int64
	for i := range 4 {
		for _, path := range []string{lookup, book} {
			wg.Go(func() {
				c := newCaller(w)
				for n := 0; !stop.Load(); n++ {
					report(c.call(http.MethodPost, path, fmt.Sprint(i, path, n)))
					calls.Add(1)
				}
			})
		}
	}
	for _, vm := range w.VMs {
		w.waitCalls(&calls, 50)
		// Its backend server keeps running and announces itself to the new node.
		w.addrs = vm.Node().Addrs()
		downloaded := w.download(vm)
		w.must(vm.Stop(w.ctx))
		report(downloaded())
		w.restart(vm)
		w.must(w.WaitReady(w.ctx))
		w.must(w.WaitVersion(w.ctx, w.version))
		w.must(w.WaitEndpoints(w.ctx, service, len(w.VMs)))
	}
	w.waitCalls(&calls, 50)
	stop.Store(true)
	wg.Wait()
	if len(failures) > 0 {
		t.Errorf("%d of %d calls failed, the first: %v", len(failures), calls.Load(), failures[0])
	}
	if runs, requests := w.runs(); runs != requests {
		t.Errorf("%d requests were run %d times", requests, runs)
	}
	t.Logf("%d calls", calls.Load())
}

// restart starts the node of a VM again. Its backend server reconnects to it, unless another
// connection of this machine got the port of the announce API meanwhile; then the VM gets a new
// backend server.
func (w *testMesh) restart(vm *localmesh.VM) {
	w.t.Helper()
	w.must(w.StartNode(vm))
	if vm.Node().Addrs().Announce != w.addrs.Announce {
		w.startBackend(vm)
	}
}

// download begins a long download through a VM's node and returns when the response header has
// arrived. The function returned waits for the end and returns the error, if any.
func (w *testMesh) download(vm *localmesh.VM) func() error {
	w.t.Helper()
	// 16 KiB per part and a pause of 100 ms after each: about three seconds.
	const path = lookup + "/archive?bytes=500000&pause=100ms"
	req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+vm.Node().Addrs().Callers+path, nil)
	w.must(err)
	id := "archive-" + vm.ID
	req.Header.Set(backend.HeaderRequest, id)
	transport := new(http.Transport)
	resp, err := transport.RoundTrip(req)
	w.must(err)
	if resp.StatusCode != http.StatusOK {
		w.t.Fatal(resp.Status)
	}
	end := make(chan error, 1)
	go func() {
		defer resp.Body.Close()
		err := backend.CheckAnswer(id, resp.Body)
		if err != nil {
			err = fmt.Errorf("the archive through %s: %w", vm.ID, err)
		}
		end <- err
	}()
	return func() error { return <-end }
}

// Guards against a planned stop that waits for ever on a call that does not end, or does not
// report how many calls it cut off.
func TestDrainLimitIsReported(t *testing.T) {
	t.Parallel()
	w := startMesh(t, 2, func(_ *localmesh.VM, o *node.Options) {
		o.Settings.Drain.Limit = strict.Duration{Duration: time.Millisecond}
	})
	w.hold(w.VMs[1])
	rest := w.download(w.VMs[0])
	err := w.VMs[0].Stop(w.ctx)
	if !errors.Is(err, node.ErrDrainLimit) || !strings.Contains(err.Error(), ": 1 after 1ms") {
		t.Errorf("got %v", err)
	}
	if rest() == nil {
		t.Error("a cut-off answer passed as complete")
	}
}

// Guards against a leaving node that closes a kept connection without notice: a caller that is
// sending its next call could not know whether it ran. Each answer has to announce the close, and
// an idle connection stays open during the notice.
func TestLeavingNodeEndsConnectionsWithAnAnswer(t *testing.T) {
	t.Parallel()
	w := startMesh(t, 2, nil)
	w.hold(w.VMs[1])
	leaver := w.VMs[0].Node()
	c := http.Client{Transport: new(http.Transport)}
	addr := leaver.Addrs().Callers
	if a := ask(w.ctx, &c, addr, http.MethodPost, book, "before"); a.status != http.StatusOK || a.closing {
		t.Fatalf("before: %s, closing %v", a, a.closing)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- w.VMs[0].Stop(w.ctx) }()
	for ready := true; ready; ready, _ = leaver.Ready() {
		time.Sleep(time.Millisecond)
	}
	// The kept connection is used for this call; a new one is for the next.
	for _, id := range []string{"kept", "new"} {
		if a := ask(w.ctx, &c, addr, http.MethodPost, book, id); a.status != http.StatusOK || !a.closing {
			t.Errorf("%s: %s, closing %v", id, a, a.closing)
		}
	}
	w.must(<-stopped)
}

// Guards against a node that keeps running after it lost a listener: it still answers probes, and
// calls are sent to it. The failure has to be reported, so that the process is restarted.
func TestFailedPartIsReported(t *testing.T) {
	t.Parallel()
	w := startMesh(t, 2, nil)
	n := w.VMs[0].Node()
	select {
	case <-n.Failed():
		t.Fatal(n.Err())
	default:
	}
	node.BreakListener(n)
	select {
	case <-n.Failed():
	case <-w.ctx.Done():
		t.Fatal("the failure was not reported")
	}
	if err := n.Err(); err == nil || !strings.Contains(err.Error(), "listener") {
		t.Errorf("got %v", err)
	}
	w.must(w.VMs[0].Stop(context.Background()))
}

// Guards against two processes that serve under one VM's ID, after a VM was replaced while its old
// machine was cut off and the old one returns. The old one must refuse calls and report why; the
// new one continues.
func TestSupersededNodeTakesNoCalls(t *testing.T) {
	t.Parallel()
	w := startMesh(t, 3, func(_ *localmesh.VM, o *node.Options) {
		// A node that has just joined takes a later record under its ID for its own from
		// before a restart.
		before := o.Membership
		o.Membership = func(c *membership.Config) {
			if before != nil {
				before(c)
				c.LeavingRetention = time.Millisecond
			}
		}
	})
	w.hold(w.VMs[1])
	old := w.VMs[2].Node()
	twin := &localmesh.VM{ID: w.VMs[2].ID, DataCentre: w.VMs[2].DataCentre, Region: w.VMs[2].Region}
	w.must(w.StartNode(twin))
	defer twin.Kill()
	for ready := true; ready; ready, _ = old.Ready() {
		w.must(w.ctx.Err())
		time.Sleep(time.Millisecond)
	}
	if _, why := old.Ready(); !strings.Contains(why, "this VM's id") {
		t.Errorf("not ready because %q", why)
	}
	if a := w.ask(w.VMs[2], http.MethodPost, book, "old"); a.notRun != "not-ready" || a.after == "" {
		t.Errorf("the old node: %s", a)
	}
	w.must(w.WaitReadyOf(twin))
	for a := (answer{}); a.status != http.StatusOK; a = w.ask(twin, http.MethodPost, book, "new") {
		if w.must(w.ctx.Err()); a.status != 0 && a.notRun == "" {
			t.Fatalf("the new node: %s", a)
		}
	}
}

// WaitReadyOf waits until one node takes calls.
func (w *testMesh) WaitReadyOf(vm *localmesh.VM) error {
	for {
		if ready, _ := vm.Node().Ready(); ready {
			return nil
		}
		if err := w.ctx.Err(); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}
