package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against refused calls after all VMs of a data centre restart at once: callers reach a
// node without a version, which is ready 0.4 s later and can still answer most of them within
// their class's target.
func TestCallsWaitForAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartup(time.Now())
		time.AfterFunc(400*time.Millisecond, s.end)
		time.Sleep(100 * time.Millisecond)
		waited(t, s, t.Context(), 300*time.Millisecond)
		waited(t, s, t.Context(), 0) // the node has started
	})
}

// Guards against calls kept waiting while the platform is down during a start: the first ones wait
// for a bounded time, later ones are refused at once.
func TestCallsDontWaitForAStartThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartup(time.Now())
		waited(t, s, t.Context(), startupMaxWait)
		leaving, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		waited(t, s, leaving, 50*time.Millisecond)
		time.Sleep(startupWindow)
		waited(t, s, t.Context(), 0)
	})
}

func waited(t *testing.T, s *startup, ctx context.Context, want time.Duration) {
	t.Helper()
	from := time.Now()
	s.Await(ctx)
	if got := time.Since(from); got != want {
		t.Fatalf("waited %v, want %v", got, want)
	}
}
