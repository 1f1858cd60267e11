package limit

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

func newTestGate(slots int) *Gate {
	g := NewGate(Options{})
	g.Configure(time.Now(), Config{Slots: slots})
	return g
}

func mustAcquire(t *testing.T, g *Gate) *Permit {
	t.Helper()
	p, err := g.Acquire(context.Background(), "x", AcquireOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestReleaseWakesNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		p := mustAcquire(t, g)
		go func() {
			time.Sleep(time.Second)
			p.Release(Result{Latency: time.Second})
			p.Release(Result{}) // does nothing
		}()
		start := time.Now()
		next := mustAcquire(t, g)
		if time.Since(start) != time.Second {
			t.Errorf("waited %v", time.Since(start))
		}
		next.Release(Result{})
		if busy, _ := g.Load(); busy != 0 {
			t.Errorf("%d busy", busy)
		}
	})
}

// A caller gives up while its call waits. It must be answered at once, and the
// slot that comes free later must go to the next caller, not be lost.
func TestGivenUpCallIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		p := mustAcquire(t, g)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		if _, err := g.Acquire(ctx, "x", AcquireOptions{}); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		if time.Since(start) != time.Second {
			t.Errorf("answered after %v", time.Since(start))
		}
		p.Release(Result{})
		mustAcquire(t, g).Release(Result{})
	})
}

func TestDeadlineEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		mustAcquire(t, g)
		_, err := g.Acquire(context.Background(), "x", AcquireOptions{Deadline: time.Now().Add(time.Second)})
		var r *call.Refusal
		if !errors.As(err, &r) || r.Reason != call.ReasonExpired {
			t.Errorf("got %v", err)
		}
	})
}

// The slot is granted in the same instant as the caller gives up. The permit
// must be given back, or the backend server is one slot short for good.
func TestGrantToCallerThatLeftIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		for range 50 {
			p := mustAcquire(t, g)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				if next, err := g.Acquire(ctx, "x", AcquireOptions{}); err == nil {
					next.Release(Result{})
				}
			}()
			synctest.Wait()
			// Both events are there before the caller can take the lock.
			g.mu.Lock()
			cancel()
			runtime.Gosched()
			g.q.Done(time.Now(), &p.e, Result{})
			g.deliver()
			g.mu.Unlock()
			<-done
		}
		if busy, _ := g.Load(); busy != 0 {
			t.Errorf("%d slots lost", busy)
		}
	})
}

func TestUncontendedPathAllocatesAtMostOnce(t *testing.T) {
	g := newTestGate(4)
	ctx := context.Background()
	got := testing.AllocsPerRun(1000, func() {
		p, err := g.Acquire(ctx, "x", AcquireOptions{})
		if err != nil {
			t.Fatal(err)
		}
		p.Release(Result{Latency: time.Millisecond})
	})
	if got > 1 {
		t.Errorf("%v allocations", got)
	}
}

// Guards the cost of each call with a key: none but the permit is allocated.
func TestGateAllocatesNothingForWorkspaces(t *testing.T) {
	g := newTestGate(4)
	ctx := context.Background()
	got := testing.AllocsPerRun(1000, func() {
		p, err := g.Acquire(ctx, "x", AcquireOptions{Caller: Caller{Workspace: "w", Priority: 7}})
		if err != nil {
			t.Fatal(err)
		}
		p.Release(Result{Latency: time.Millisecond})
	})
	if got > 1 {
		t.Errorf("%v allocations", got)
	}
}

func BenchmarkGateUncontended(b *testing.B) {
	for _, caller := range []Caller{{}, {Workspace: "w", Priority: 7}} {
		b.Run("workspace="+caller.Workspace, func(b *testing.B) {
			g := newTestGate(4)
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				p, err := g.Acquire(ctx, "x", AcquireOptions{Caller: caller})
				if err != nil {
					b.Fatal(err)
				}
				p.Release(Result{Latency: time.Millisecond})
			}
		})
	}
}
