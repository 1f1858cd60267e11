package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// All VMs of a data centre lose power and are back within a moment. Callers reach a node that
// has no version yet. It used to refuse each of them, though it was ready 0.4 s later and
// could have answered most within their class's aim.
func TestCallsWaitForAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartup(time.Now())
		time.AfterFunc(400*time.Millisecond, s.end)
		time.Sleep(100 * time.Millisecond)
		waited(t, s, t.Context(), 300*time.Millisecond)
		waited(t, s, t.Context(), 0) // it has started
	})
}

// The platform is down while a node starts. Nobody knows how long that takes, so callers are
// not kept: the first ones wait a moment, those who come later are told at once.
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
