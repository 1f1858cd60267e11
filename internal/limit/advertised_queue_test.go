package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
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
