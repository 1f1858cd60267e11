package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Options are the parts of a Gate that may be replaced.
type Options struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Order is the order of the queue; OvertakingCap over EarliestTarget
	// when nil. An Order is for one Gate only.
	Order Order
	// Rand spreads RetryAfter; seeded at random when nil.
	Rand *rand.Rand
}

// Gate limits the calls to one backend server. It is safe for concurrent use.
type Gate struct {
	now func() time.Time
	mu  sync.Mutex // guards queue; never held while waiting
	q   *Queue
}

// NewGate returns a Gate of one slot; Configure tells it the rest.
func NewGate(o Options) *Gate {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Gate{now: o.Now, q: NewQueue(QueueOptions{Order: o.Order, Rand: o.Rand})}
}

// Configure takes a new configuration and ends a drain. Calls that run or wait
// are kept.
func (g *Gate) Configure(now time.Time, c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.Configure(now, c)
	g.deliver()
}

// Drain refuses the calls that wait and all that come. Those that run go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.Drain(g.now())
	g.deliver()
}

// Load returns the calls running and the present limit.
func (g *Gate) Load() (busy, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Load()
}

// Waiting returns how many calls wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Waiting()
}

// Stats returns the state of each class, by name. The class with an empty name
// stands for all that the configuration does not name.
func (g *Gate) Stats(now time.Time) []ClassStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Stats(now)
}

// Permit is the right to have one call run by the backend server. Release must
// be called once; further calls of it do nothing.
type Permit struct {
	g *Gate
	e Entry
}

// AcquireOptions are those of a call that a Gate goes by.
type AcquireOptions struct {
	// FirstAttempt is when the caller first asked, if it was refused before and came back;
	// zero means now.
	FirstAttempt time.Time
	// OneShot says that the caller will not come back when it is refused.
	OneShot bool
	// Deadline is when the caller leaves; zero means that only the context bounds
	// the wait.
	Deadline time.Time
	// NoWait refuses the call at once as busy if no slot is free now.
	NoWait bool
	Caller Caller
}

// Acquire waits for a permit. The error is a *call.Refusal, or ctx.Err() when
// the caller gave up; either way the call was not run.
func (g *Gate) Acquire(ctx context.Context, class string, t AcquireOptions) (*Permit, error) {
	p := &Permit{g: g}
	e := &p.e
	e.FirstAttempt, e.OneShot, e.NoWait, e.Caller = t.FirstAttempt, t.OneShot, t.NoWait, t.Caller
	g.mu.Lock()
	r := g.q.Offer(g.now(), e, class, t.Deadline)
	if r != nil {
		g.deliver()
		g.mu.Unlock()
		return nil, r
	}
	if e.Started() {
		g.deliver()
		g.mu.Unlock()
		return p, nil
	}
	answer := make(chan *call.Refusal, 1)
	e.notify = func(r *call.Refusal) { answer <- r }
	g.deliver()
	g.mu.Unlock()
	return p.await(ctx, answer)
}

func (p *Permit) await(ctx context.Context, answer <-chan *call.Refusal) (*Permit, error) {
	g, e := p.g, &p.e
	var expire <-chan time.Time
	if until := e.WaitsUntil(); !until.IsZero() {
		t := time.NewTimer(until.Sub(g.now()))
		defer t.Stop()
		expire = t.C
	}
	select {
	case r := <-answer:
		return p.answered(r)
	case <-ctx.Done():
		return p.leave(ctx.Err(), answer)
	case <-expire:
	}
	g.mu.Lock()
	r := g.q.Expire(g.now(), e)
	g.deliver()
	g.mu.Unlock()
	if r != nil {
		return nil, r
	}
	// It was started, or refused for another reason, in the same moment.
	return p.answered(<-answer)
}

// leave gives up on a call that waits.
func (p *Permit) leave(why error, answer <-chan *call.Refusal) (*Permit, error) {
	g, e := p.g, &p.e
	g.mu.Lock()
	left := g.q.Abandon(g.now(), e)
	g.deliver()
	g.mu.Unlock()
	if left {
		return nil, why
	}
	// The call was started or refused between the two events. A slot that
	// was granted to a caller that has gone must be given back, or it would
	// be lost for good.
	if r := <-answer; r != nil {
		return nil, r
	}
	p.Release(Result{Failed: true})
	return nil, why
}

func (p *Permit) answered(r *call.Refusal) (*Permit, error) {
	if r != nil {
		return nil, r
	}
	return p, nil
}

// Release gives the slot back and tells how the call ended.
func (p *Permit) Release(r Result) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.q.Done(p.g.now(), &p.e, r)
	p.g.deliver()
}

// deliver hands events to those who wait. Each channel holds one answer and
// each entry gets one event, so no send blocks. An entry that started within
// its own Offer has no one waiting yet.
func (g *Gate) deliver() {
	for _, ev := range g.q.Events() {
		if ev.Entry.notify != nil {
			ev.Entry.notify(ev.Refusal)
		}
	}
}
