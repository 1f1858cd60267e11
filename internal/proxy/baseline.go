package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/retry"
)

// This file holds the simple policies that serve as a baseline in measurements.

// RoundRobin picks the endpoints of each service in turn.
type RoundRobin struct {
	next      atomic.Uint64
	endpoints atomic.Pointer[map[string][]Endpoint]
}

// Set replaces the endpoints of all services.
func (p *RoundRobin) Set(byService map[string][]Endpoint) { p.endpoints.Store(&byService) }

// Pick returns the next untried endpoint. It never offers a call to an endpoint for a free slot
// only.
func (p *RoundRobin) Pick(_ time.Time, t *config.Target, a PickInfo) (Choice, error) {
	if a.Scope != NoSearch {
		return nil, ErrTriedAll
	}
	m := p.endpoints.Load()
	if m == nil || len((*m)[t.Service]) == 0 {
		return nil, refuse(call.ReasonNoEndpoint, 0, t.Service)
	}
	all := (*m)[t.Service]
	at := p.next.Add(1)
	for i := range all {
		ep := &all[(at+uint64(i))%uint64(len(all))]
		if !slices.Contains(a.Tried, ep.ID) {
			return (*baselineChoice)(ep), nil
		}
	}
	return nil, ErrTriedAll
}

// PickFixed returns the endpoint selected by key.
func (p *RoundRobin) PickFixed(now time.Time, t *config.Target, key uint64, tried []string) (Choice, error) {
	m := p.endpoints.Load()
	if len(tried) > 0 || m == nil || len((*m)[t.Service]) == 0 {
		return p.Pick(now, t, PickInfo{Tried: tried})
	}
	all := (*m)[t.Service]
	return (*baselineChoice)(&all[key%uint64(len(all))]), nil
}

// TriedAll reports whether every endpoint was tried.
func (p *RoundRobin) TriedAll(_ time.Time, t *config.Target, tried []string) bool {
	m := p.endpoints.Load()
	return m == nil || !slices.ContainsFunc((*m)[t.Service], func(ep Endpoint) bool {
		return !slices.Contains(tried, ep.ID)
	})
}

type baselineChoice Endpoint

// Endpoint returns the endpoint.
func (c *baselineChoice) Endpoint() Endpoint { return Endpoint(*c) }

// Done ignores the report.
func (c *baselineChoice) Done(time.Time, Report) {}

// RetryUpTo is the maximum number of attempts of a call. It retries at once, but never a call that
// is not idempotent and may have run.
type RetryUpTo int

// Called does nothing.
func (RetryUpTo) Called(string) {}

// Decide reports whether to retry the call.
func (n RetryUpTo) Decide(_ string, in retry.Input) retry.Decision {
	safe := in.BodyReplayable && (in.Idempotent || in.Outcome == call.NotRun)
	return retry.Decision{Retry: safe && in.Attempt < int(n)}
}

// RetryAlwaysUpTo is the maximum number of attempts of a call. It retries at once whether or not
// the call may have run, as a retry rule based on errors alone does, and so can run a call twice.
type RetryAlwaysUpTo int

// Called does nothing.
func (RetryAlwaysUpTo) Called(string) {}

// Decide reports whether to retry the call.
func (n RetryAlwaysUpTo) Decide(_ string, in retry.Input) retry.Decision {
	return retry.Decision{Retry: in.BodyReplayable && in.Attempt < int(n)}
}

// FixedLimit bounds the concurrent calls of a backend server by its slots. Other calls wait in FIFO
// order until their deadline.
type FixedLimit struct {
	mu    sync.Mutex
	slots map[fixedKey]chan struct{}
}

// Acquire waits for a slot.
func (f *FixedLimit) Acquire(ctx context.Context, b Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	slots := f.slotsOf(b)
	select {
	case slots <- struct{}{}:
		return fixedPermit{slots}, nil
	default:
	}
	if times.NoWait {
		return nil, refuse(call.ReasonBusy, 0, "")
	}
	timer := time.NewTimer(time.Until(times.Deadline))
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return fixedPermit{slots}, nil
	case <-timer.C:
		return nil, refuse(call.ReasonExpired, 0, "")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *FixedLimit) slotsOf(b Backend) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slots == nil {
		f.slots = make(map[fixedKey]chan struct{})
	}
	id := fixedKey{b.Service, b.Instance}
	if f.slots[id] == nil {
		f.slots[id] = make(chan struct{}, max(b.Slots, 1))
	}
	return f.slots[id]
}

type fixedKey struct{ service, instance string }

type fixedPermit struct{ slots chan struct{} }

// Release frees the slot.
func (p fixedPermit) Release(limit.Result) { <-p.slots }
