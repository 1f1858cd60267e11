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

// The policies in this file are the plain ones that ours are measured against.

// RoundRobin picks the endpoints of each service in turn.
type RoundRobin struct {
	next      atomic.Uint64
	endpoints atomic.Pointer[map[string][]Endpoint]
}

// Set replaces the endpoints, by service.
func (p *RoundRobin) Set(byService map[string][]Endpoint) { p.endpoints.Store(&byService) }

// Pick returns the next endpoint that was not tried. No call looks around with it.
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
			return (*plainChoice)(ep), nil
		}
	}
	return nil, ErrTriedAll
}

// PickFixed returns the endpoint that the key names.
func (p *RoundRobin) PickFixed(now time.Time, t *config.Target, key uint64, tried []string) (Choice, error) {
	m := p.endpoints.Load()
	if len(tried) > 0 || m == nil || len((*m)[t.Service]) == 0 {
		return p.Pick(now, t, PickInfo{Tried: tried})
	}
	all := (*m)[t.Service]
	return (*plainChoice)(&all[key%uint64(len(all))]), nil
}

// TriedAll reports whether every endpoint was tried.
func (p *RoundRobin) TriedAll(_ time.Time, t *config.Target, tried []string) bool {
	m := p.endpoints.Load()
	return m == nil || !slices.ContainsFunc((*m)[t.Service], func(ep Endpoint) bool {
		return !slices.Contains(tried, ep.ID)
	})
}

type plainChoice Endpoint

// Endpoint returns the endpoint.
func (c *plainChoice) Endpoint() Endpoint { return Endpoint(*c) }

// Done learns nothing.
func (c *plainChoice) Done(time.Time, Report) {}

// RetryUpTo sends a call again until it was sent so many times, at once, but
// never one that is not idempotent and may have run.
type RetryUpTo int

// Called counts nothing.
func (RetryUpTo) Called(string) {}

// Decide tells whether to send the call again.
func (n RetryUpTo) Decide(_ string, in retry.Input) retry.Decision {
	safe := in.BodyReplayable && (in.Idempotent || in.Outcome == call.NotRun)
	return retry.Decision{Retry: safe && in.Attempt < int(n)}
}

// RetryAlwaysUpTo sends a call again until it was sent so many times, whether
// or not it may have run. It is what a retry rule that knows of errors alone
// does, and runs calls twice.
type RetryAlwaysUpTo int

// Called counts nothing.
func (RetryAlwaysUpTo) Called(string) {}

// Decide tells whether to send the call again.
func (n RetryAlwaysUpTo) Decide(_ string, in retry.Input) retry.Decision {
	return retry.Decision{Retry: in.BodyReplayable && in.Attempt < int(n)}
}

// FixedLimit runs as many calls at once as a backend server has slots. Others
// wait first come, first served, until their deadline.
type FixedLimit struct {
	mu    sync.Mutex
	slots map[fixedKey]chan struct{}
}

// Acquire waits for a slot.
func (f *FixedLimit) Acquire(ctx context.Context, b Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	slots := f.of(b)
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

func (f *FixedLimit) of(b Backend) chan struct{} {
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
