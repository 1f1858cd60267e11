package backend

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// errShed means that neither a slot nor a place in the backlog is free.
var errShed = errors.New("backend: no room")

// slots are the places that requests run in.
type slots struct {
	free    chan struct{}
	waiting atomic.Int64
	backlog int64
}

func newSlots(n, backlog int) *slots {
	return &slots{free: make(chan struct{}, n), backlog: int64(backlog)}
}

// take waits for a slot, in the backlog if there is room.
func (s *slots) take(ctx context.Context) error {
	select {
	case s.free <- struct{}{}:
		return nil
	default:
	}
	if s.waiting.Add(1) > s.backlog {
		s.waiting.Add(-1)
		return errShed
	}
	defer s.waiting.Add(-1)
	select {
	case s.free <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) give() { <-s.free }

// busy counts the requests that run and wait.
func (s *slots) busy() int { return len(s.free) + int(s.waiting.Load()) }

// lognormalSpread is the standard deviation of the logarithm.
const lognormalSpread = 1.0

// serviceTime draws the time that a request takes.
func serviceTime(d Distribution, mean time.Duration) time.Duration {
	switch d {
	case Exponential:
		return time.Duration(rand.ExpFloat64() * float64(mean))
	case Lognormal:
		mu := -lognormalSpread * lognormalSpread / 2
		return time.Duration(math.Exp(mu+lognormalSpread*rand.NormFloat64()) * float64(mean))
	}
	return mean
}
