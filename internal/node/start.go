package node

import (
	"context"
	"sync"
	"time"
)

// Times of a call that comes while the node starts.
const (
	// startWait is how long such a call waits for the node to be ready. A small VM takes
	// about half a second from its start to its first version, and callers whose aim is a
	// second are still answered in time.
	startWait = 500 * time.Millisecond
	// startFor is how old a node may be for calls to wait for it. One that is not ready by
	// then lacks the platform or its peers, and nobody knows for how long.
	startFor = 2 * time.Second
	// startAgain is about when a caller who was refused is told to come back. Half of it to
	// one and a half, so that those refused together don't come back together.
	startAgain = 500 * time.Millisecond
)

// start is the time between a node's first listener and its first version.
//
// Calls wait for its end. A node that has just started is reached by its callers at once,
// since they never took it off their lists: 68 VMs that were killed together were back
// within 60 ms, and in the second until they were ready 768 callers of one second
// were refused, each with one more try left to it.
type start struct {
	began time.Time
	over  chan struct{}
	once  sync.Once
}

func newStart(now time.Time) *start { return &start{began: now, over: make(chan struct{})} }

// end lets the calls that wait go on.
func (s *start) end() { s.once.Do(func() { close(s.over) }) }

// Await implements proxy.Readiness.
func (s *start) Await(ctx context.Context) {
	select {
	case <-s.over:
		return
	default:
	}
	if time.Since(s.began) > startFor {
		return
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-s.over:
	case <-timer.C:
	case <-ctx.Done():
	}
}
