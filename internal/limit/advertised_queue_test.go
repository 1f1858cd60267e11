package limit

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
)

// The bound that backend servers hold the mesh to: in each window, one and a half times what the
// advertised rate allows and a few calls more, from some time after it was first advertised.
const (
	rateWindow   = 4 * time.Second
	rateFactor   = 1.5
	rateSlack    = 5
	rateSettles  = 3 * time.Second
	rateTick     = 10 * time.Millisecond
	callDuration = 200 * time.Millisecond
)

// rateModel is a backend server behind a Queue, which advertises a rate limit in its answers.
type rateModel struct {
	q       *Queue
	now     time.Time
	limit   AdvertisedRate // that the backend server advertises
	running []*Entry
	starts  []time.Time
	// allowed is, for each tick, the calls that the limit in force allowed in it; negative without
	// a limit.
	allowed []float64
	ticks   []time.Time
}

// offer sends a call and records whether it starts at once.
func (m *rateModel) offer(class string) {
	e := &Entry{}
	_ = m.q.Offer(m.now, e, class, m.now.Add(2*time.Second)) // refused calls don't return
	if e.Started() {
		m.started(e)
	}
	m.collect()
}

func (m *rateModel) started(e *Entry) {
	m.running = append(m.running, e)
	m.starts = append(m.starts, m.now)
}

func (m *rateModel) collect() {
	for _, ev := range m.q.Events() {
		if ev.Refusal == nil && indexOf(m.running, ev.Entry) < 0 {
			m.started(ev.Entry)
		}
	}
}

// tick advances the time, ends calls that have run, and starts waiting ones.
func (m *rateModel) tick(by time.Duration) {
	m.now = m.now.Add(by)
	rest := m.running[:0]
	var done []*Entry
	for _, e := range m.running {
		if m.now.Sub(e.started) >= callDuration {
			done = append(done, e)
		} else {
			rest = append(rest, e)
		}
	}
	m.running = rest
	for _, e := range done {
		m.q.Observe(m.now, e.started, m.limit)
		m.q.Done(m.now, e, Result{Latency: m.now.Sub(e.started)})
	}
	m.collect()
	m.q.Tick(m.now)
	m.collect()
	allowed := -1.0
	if r := m.q.AdvertisedRate(); r.Present {
		allowed = r.PerSecond * by.Seconds()
	}
	m.ticks, m.allowed = append(m.ticks, m.now), append(m.allowed, allowed)
}

// worst returns the window whose starts are furthest over the bound.
func (m *rateModel) worst() (over float64, at time.Time) {
	var limitedSince time.Time
	var first, firstStart, lastStart int // of the window that ends with the tick
	bound := 0.0
	for i, t := range m.ticks {
		from := t.Add(-rateWindow)
		bound += rateFactor * max(m.allowed[i], 0)
		for ; !m.ticks[first].After(from); first++ {
			bound -= rateFactor * max(m.allowed[first], 0)
		}
		for ; lastStart < len(m.starts) && !m.starts[lastStart].After(t); lastStart++ {
		}
		for ; firstStart < lastStart && !m.starts[firstStart].After(from); firstStart++ {
		}
		switch {
		case m.allowed[i] < 0:
			limitedSince = time.Time{}
			continue
		case limitedSince.IsZero():
			limitedSince = t
		}
		if t.Sub(limitedSince) < rateSettles+rateWindow {
			continue
		}
		if d := float64(lastStart-firstStart) - bound - rateSlack; d > over {
			over, at = d, t
		}
	}
	return over, at
}

// Guards against a backend server that gets more calls than the rate limit that it advertises, under
// any load, changes of the limit, and pauses of the node.
func TestAdvertisedRateIsKept(t *testing.T) {
	classes := []Class{{Name: "a", AnswerWithin: 600 * time.Millisecond}, {Name: "b", AnswerWithin: time.Second, Priority: 8}}
	rapid.Check(t, func(t *rapid.T) {
		m := &rateModel{q: newTestQueue(Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Classes: classes}), now: simStart}
		perTick := rapid.Float64Range(0.02, 1).Draw(t, "calls per tick")
		offered := 0.0
		for range rapid.IntRange(2, 4).Draw(t, "phases") {
			m.limit = AdvertisedRate{}
			if rapid.IntRange(0, 4).Draw(t, "limited") > 0 {
				m.limit = rateOf(rapid.SampledFrom([]float64{0, 0.5, 1.4, 4.4, 20}).Draw(t, "rate"))
			}
			for range 100 * rapid.IntRange(1, 12).Draw(t, "seconds") {
				for offered += perTick; offered >= 1; offered-- {
					m.offer(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"))
				}
				m.tick(rateTick)
			}
			if rapid.Bool().Draw(t, "pause") {
				m.tick(2 * time.Second)
			}
		}
		if over, at := m.worst(); over > 0 {
			t.Fatalf("%.1f calls over the bound in the 4 s to %v", over, at.Sub(simStart))
		}
	})
}

// Guards against a call that waits for the advertised rate and is left waiting when its turn comes,
// and against an order other than that of slots.
func TestCallsStartAsTheAdvertisedRateAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Options{})
		g.Configure(time.Now(), Config{Slots: 6, Classes: []Class{{Name: "low", Priority: 2}, {Name: "high", Priority: 8}}})
		g.Observe(time.Now(), time.Now(), 0, rateOf(10))
		start := time.Now()
		var mu sync.Mutex
		var order []string
		var all sync.WaitGroup
		for _, class := range []string{"low", "low", "high", "high"} {
			all.Go(func() {
				p, err := g.Acquire(t.Context(), class, AcquireOptions{Deadline: start.Add(2 * time.Second)})
				if err != nil {
					t.Errorf("%s: %v", class, err)
					return
				}
				mu.Lock()
				order = append(order, class)
				mu.Unlock()
				p.Release(Result{})
			})
			synctest.Wait()
		}
		all.Wait()
		if took := time.Since(start); took < 400*time.Millisecond || took > 410*time.Millisecond {
			t.Errorf("four calls took %v at ten a second", took)
		}
		if want := []string{"high", "high", "low", "low"}; !slices.Equal(order, want) {
			t.Errorf("started %v", order)
		}
	})
}

// Guards against a call that waits until its deadline at a backend server whose advertised rate is
// known not to let it start by then, and against a time to return at which there is no room either.
func TestCallBeyondTheAdvertisedRateIsRefusedAtOnce(t *testing.T) {
	for _, rate := range []float64{0, 0.5} {
		q := newTestQueue(Config{Slots: 6, Classes: []Class{{Name: "a", AnswerWithin: 300 * time.Millisecond}}})
		q.Observe(simStart, simStart, rateOf(rate))
		for _, oneShot := range []bool{false, true} {
			r := q.Offer(simStart, &Entry{OneShot: oneShot}, "a", simStart.Add(time.Second))
			if r == nil || r.Reason != call.ReasonBackendRate || r.RetryAfter < time.Second {
				t.Errorf("rate %g, one shot %t: %+v", rate, oneShot, r)
			}
		}
	}
}

// Guards against tokens that calls use up which never reach the backend server, and against tokens
// that come back for calls that may have reached it.
func TestTokenComesBackOnlyIfNotSent(t *testing.T) {
	for _, notSent := range []bool{false, true} {
		q := newTestQueue(Config{Slots: 6})
		q.Observe(simStart, simStart, rateOf(1))
		now := simStart.Add(time.Second)
		first := &Entry{}
		if r := q.Offer(now, first, "a", time.Time{}); r != nil || !first.Started() {
			t.Fatalf("the first call got %+v", r)
		}
		q.Done(now, first, Result{Failed: true, NotSent: notSent})
		second := &Entry{NoWait: true}
		if r := q.Offer(now, second, "a", time.Time{}); (r == nil) != notSent {
			t.Errorf("not sent %t: the next call got %+v", notSent, r)
		}
	}
}

// Guards against another incarnation of a backend server that inherits the limit of the one before,
// and against a change of the configuration that drops it.
func TestLimitBelongsToAnIncarnation(t *testing.T) {
	g := NewGate(Options{Now: func() time.Time { return simStart }})
	g.Configure(simStart, Config{Slots: 6, Incarnation: 100})
	g.Observe(simStart, simStart, 100, rateOf(4))
	g.Configure(simStart, Config{Slots: 5, Incarnation: 100})
	if got := g.AdvertisedRate(); got != rateOf(4) {
		t.Errorf("after a new configuration: %+v", got)
	}
	g.Configure(simStart, Config{Slots: 6, Incarnation: 200})
	if got := g.AdvertisedRate(); got.Present {
		t.Errorf("another incarnation has %+v", got)
	}
	g.Observe(simStart, simStart, 100, rateOf(4))
	if got := g.AdvertisedRate(); got.Present {
		t.Errorf("after a late answer of the former incarnation: %+v", got)
	}
}

// Guards against a limit that another node heard of and that replaces what the backend server said
// to this one, or that loosens it.
func TestAdoptedLimitYieldsToAnAnswer(t *testing.T) {
	now := simStart
	g := NewGate(Options{Now: func() time.Time { return now }})
	g.Configure(now, Config{Slots: 6, Incarnation: 100})
	for _, c := range []struct {
		name        string
		incarnation int64
		adopted     AdvertisedRate
		want        AdvertisedRate
	}{
		{"of another incarnation", 50, rateOf(1), AdvertisedRate{}},
		{"first", 100, rateOf(4), rateOf(4)},
		{"higher", 100, rateOf(9), rateOf(4)},
		{"lower, of an unknown incarnation", 0, rateOf(2), rateOf(2)},
	} {
		g.Adopt(now, c.incarnation, c.adopted)
		if got := g.AdvertisedRate(); got != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if _, err := g.Acquire(t.Context(), "a", AcquireOptions{NoWait: true}); err == nil {
		t.Error("a call started at once under a limit that was just adopted")
	}
	now = now.Add(time.Second)
	g.Observe(now, now.Add(-time.Millisecond), 100, AdvertisedRate{})
	g.Adopt(now, 100, rateOf(2))
	if got := g.AdvertisedRate(); got.Present {
		t.Errorf("after an answer without a limit: %+v", got)
	}
}
