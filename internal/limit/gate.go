package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Options configures a Gate. Zero fields take the defaults.
type Options struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Order is the order of the queue; OvertakingCap over EarliestTarget
	// when nil. An Order must not be shared between Gates.
	Order Order
	// Rand jitters RetryAfter; randomly seeded when nil.
	Rand *rand.Rand
}

// Gate limits the calls to one backend server. It is safe for concurrent use.
type Gate struct {
	now   func() time.Time
	mu    sync.Mutex // guards queue; never held while waiting
	queue *Queue
	// limited tells whether the backend server advertises a rate limit, so that the answers of
	// those that advertise none need no lock.
	limited atomic.Bool
	// heard tells whether this incarnation of the backend server has answered a call.
	heard atomic.Bool
	wake  *time.Timer // for calls that wait for the advertised rate; nil before the first
}

// NewGate returns a Gate with one slot and no classes until Configure is called.
func NewGate(o Options) *Gate {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Gate{now: o.Now, queue: NewQueue(QueueOptions{Order: o.Order, Rand: o.Rand})}
}

// Configure applies a new configuration and ends a drain. Running and waiting
// calls are kept.
func (g *Gate) Configure(now time.Time, c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if former := g.queue.cfg.Incarnation; former != 0 && former != c.Incarnation {
		g.heard.Store(false)
	}
	g.queue.Configure(now, c)
	g.limited.Store(g.queue.AdvertisedRate().Present)
	g.deliverEvents()
}

// Drain refuses the waiting calls and all new ones. Running calls continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Drain(g.now())
	g.deliverEvents()
}

// Observe records the rate limit that an incarnation of the backend server advertised in its answer
// to a call that was sent at sent. It reports whether the limit in force has changed.
func (g *Gate) Observe(now, sent time.Time, incarnation int64, r AdvertisedRate) (RateChange, bool) {
	if !r.Present && !g.limited.Load() && g.heard.Load() {
		return RateChange{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.isCurrent(incarnation) {
		return RateChange{}, false
	}
	g.heard.Store(true)
	c, changed := g.queue.Observe(now, sent, r)
	g.limited.Store(g.queue.AdvertisedRate().Present)
	g.deliverEvents()
	return c, changed
}

// Adopt applies a rate limit that an incarnation of the backend server advertised to another
// process, until it has answered a call of this one. It reports whether the limit in force has
// changed.
func (g *Gate) Adopt(now time.Time, incarnation int64, r AdvertisedRate) (RateChange, bool) {
	if !r.Present || g.heard.Load() {
		return RateChange{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.heard.Load() || !g.queue.isCurrent(incarnation) {
		return RateChange{}, false
	}
	c, changed := g.queue.Adopt(now, r)
	g.limited.Store(true)
	g.deliverEvents()
	return c, changed
}

// HasAnswered reports whether this incarnation of the backend server has answered a call.
func (g *Gate) HasAnswered() bool { return g.heard.Load() }

// AtRateLimit reports whether the advertised rate lets no call start now.
func (g *Gate) AtRateLimit() bool {
	if !g.limited.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.AtRateLimit(g.now())
}

// AdvertisedRate returns the rate limit of the backend server that is in force.
func (g *Gate) AdvertisedRate() AdvertisedRate {
	if !g.limited.Load() {
		return AdvertisedRate{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.AdvertisedRate()
}

// Load returns the number of running calls and the present limit.
func (g *Gate) Load() (busy, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// Waiting returns the number of waiting calls.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}

// Stats returns the state of each class, sorted by name. The class with an empty
// name stands for all classes that the configuration does not name.
func (g *Gate) Stats(now time.Time) []ClassStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Stats(now)
}

// Permit allows one call to run at the backend server. Release must be called
// once; further calls do nothing.
type Permit struct {
	gate  *Gate
	entry Entry
}

// AcquireOptions describes a call to Gate.Acquire.
type AcquireOptions struct {
	// FirstAttempt is when the caller first sent the call, if this is a retry; zero
	// means now.
	FirstAttempt time.Time
	// OneShot reports that the caller does not retry a refused call.
	OneShot bool
	// Deadline is the deadline of the call; zero means that only the context limits
	// the wait.
	Deadline time.Time
	// NoWait refuses the call at once as busy if no slot is free.
	NoWait bool
	Caller Caller
}

// Acquire waits for a permit. The error is a *call.Refusal, or ctx.Err() when
// the caller gave up; in both cases the call was not run.
func (g *Gate) Acquire(ctx context.Context, class string, o AcquireOptions) (*Permit, error) {
	p := &Permit{gate: g}
	e := &p.entry
	e.FirstAttempt, e.OneShot, e.NoWait, e.Caller = o.FirstAttempt, o.OneShot, o.NoWait, o.Caller
	g.mu.Lock()
	r := g.queue.Offer(g.now(), e, class, o.Deadline)
	if r != nil {
		g.deliverEvents()
		g.mu.Unlock()
		return nil, r
	}
	if e.Started() {
		g.deliverEvents()
		g.mu.Unlock()
		return p, nil
	}
	outcome := make(chan *call.Refusal, 1)
	e.notify = func(r *call.Refusal) { outcome <- r }
	g.deliverEvents()
	g.mu.Unlock()
	return p.await(ctx, outcome)
}

func (p *Permit) await(ctx context.Context, outcome <-chan *call.Refusal) (*Permit, error) {
	g, e := p.gate, &p.entry
	var expire <-chan time.Time
	if until := e.WaitsUntil(); !until.IsZero() {
		t := time.NewTimer(until.Sub(g.now()))
		defer t.Stop()
		expire = t.C
	}
	select {
	case r := <-outcome:
		return p.result(r)
	case <-ctx.Done():
		return p.abandon(ctx.Err(), outcome)
	case <-expire:
	}
	g.mu.Lock()
	r := g.queue.Expire(g.now(), e)
	g.deliverEvents()
	g.mu.Unlock()
	if r != nil {
		return nil, r
	}
	// It was started or refused between the timer and the lock.
	return p.result(<-outcome)
}

// abandon removes a waiting call whose context is done.
func (p *Permit) abandon(cause error, outcome <-chan *call.Refusal) (*Permit, error) {
	g, e := p.gate, &p.entry
	g.mu.Lock()
	abandoned := g.queue.Abandon(g.now(), e)
	g.deliverEvents()
	g.mu.Unlock()
	if abandoned {
		return nil, cause
	}
	// The call was started or refused before it could be abandoned. A slot
	// granted to a caller that has left must be released, or it would be lost
	// for good.
	if r := <-outcome; r != nil {
		return nil, r
	}
	p.Release(Result{Failed: true, NotSent: true})
	return nil, cause
}

func (p *Permit) result(r *call.Refusal) (*Permit, error) {
	if r != nil {
		return nil, r
	}
	return p, nil
}

// Release frees the slot and records how the call ended.
func (p *Permit) Release(r Result) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.queue.Done(p.gate.now(), &p.entry, r)
	p.gate.deliverEvents()
}

// deliverEvents notifies the waiting goroutines and schedules the next wake. Each
// channel holds one outcome and each entry gets one event, so no send blocks. An entry
// that started within its own Offer has no waiting goroutine yet.
func (g *Gate) deliverEvents() {
	for _, ev := range g.queue.Events() {
		if ev.Entry.notify != nil {
			ev.Entry.notify(ev.Refusal)
		}
	}
	g.scheduleWake()
}

// scheduleWake sets the timer for the calls that wait for the advertised rate.
func (g *Gate) scheduleWake() {
	after := g.queue.WakeAfter(g.now())
	switch {
	case after == 0:
	case g.wake == nil:
		g.wake = time.AfterFunc(after, g.wakeCalls)
	default:
		g.wake.Reset(after)
	}
}

func (g *Gate) wakeCalls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Wake(g.now())
	g.deliverEvents()
}
