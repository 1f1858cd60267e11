package node

import (
	"context"
	"sync"
	"time"
)

// Limits for calls that arrive while the node starts.
const (
	// startupMaxWait bounds how long such a call waits for the node to be ready. A small VM takes
	// about half a second from its start to its first version, so callers with a target of one
	// second are still answered in time.
	startupMaxWait = 500 * time.Millisecond
	// startupWindow is the time after the start of the node in which calls wait. A node that is
	// not ready by then lacks the platform or its peers, for an unknown time.
	startupWindow = 2 * time.Second
	// startupRetryAfter is the mean Retry-After of a refused call. Callers get half of it to one
	// and a half times it, so that those refused together do not retry together.
	startupRetryAfter = 500 * time.Millisecond
)

// startup lets calls wait until the node holds its first version.
//
// Callers reach a restarted node at once, since they never removed it from their lists. After 68
// VMs were killed together and were back within 60 ms, 768 callers with a target of one second
// were refused in the second until the nodes were ready, each with one attempt left.
type startup struct {
	began time.Time
	done  chan struct{}
	once  sync.Once
}

func newStartup(now time.Time) *startup { return &startup{began: now, done: make(chan struct{})} }

// end releases the waiting calls.
func (s *startup) end() { s.once.Do(func() { close(s.done) }) }

// Await implements proxy.Readiness.
func (s *startup) Await(ctx context.Context) {
	select {
	case <-s.done:
		return
	default:
	}
	if time.Since(s.began) > startupWindow {
		return
	}
	timer := time.NewTimer(startupMaxWait)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
