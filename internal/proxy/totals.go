package proxy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Powers of two, in microseconds, that bound the buckets of a ClassTotals.
const (
	firstPower = 8  // 256 microseconds
	lastPower  = 25 // 33.6 seconds
)

// totals count the calls of a class since the start of the node. A recording is
// a few atomic additions and takes no lock.
type totals struct {
	failed    atomic.Uint64
	inTarget  atomic.Uint64
	latencies histogram
	refused   sync.Map // call.Reason to *atomic.Uint64
}

// histogram counts times since the start of the node.
type histogram struct {
	micros atomic.Uint64                             // the sum
	counts [lastPower - firstPower + 2]atomic.Uint64 // the last has no bound
}

func (h *histogram) add(d time.Duration) {
	us := uint64(max(d.Microseconds(), 0))
	h.micros.Add(us)
	h.counts[histogramBucket(us)].Add(1)
}

func (h *histogram) read() Histogram {
	out := Histogram{Seconds: float64(h.micros.Load()) / 1e6}
	for i := range h.counts {
		out.Count += h.counts[i].Load()
		within := math.Inf(1)
		if i < len(h.counts)-1 {
			within = float64(uint64(1)<<(firstPower+i)) / 1e6
		}
		out.Buckets = append(out.Buckets, Bucket{within, out.Count})
	}
	return out
}

func (t *totals) answered(latency time.Duration, failed, inTarget bool) {
	t.latencies.add(latency)
	switch {
	case failed:
		t.failed.Add(1)
	case inTarget:
		t.inTarget.Add(1)
	}
}

// powerOf returns the index of the bucket for a latency: the first whose bound
// is not below it.
func histogramBucket(us uint64) int {
	for p := firstPower; p <= lastPower; p++ {
		if us <= 1<<p {
			return p - firstPower
		}
	}
	return lastPower - firstPower + 1
}

func (t *totals) refuse(reason call.Reason) {
	n, ok := t.refused.Load(reason)
	if !ok {
		n, _ = t.refused.LoadOrStore(reason, new(atomic.Uint64))
	}
	n.(*atomic.Uint64).Add(1)
}

// Bucket is how many calls were answered within a time.
type Bucket struct {
	UpperBound float64 // seconds; the last is infinite
	Calls      uint64
}

// Histogram counts times at this node since its start.
type Histogram struct {
	Count   uint64
	Seconds float64  // the sum of all
	Buckets []Bucket // each includes those before it
}

// ClassTotals count the calls of a class at this node since its start.
type ClassTotals struct {
	Class    string
	Answered Histogram // with any status, those that failed included
	Failed   uint64    // server errors, cut answers and unknown outcomes
	InTarget uint64    // good answers within the target's time
	Refused  map[call.Reason]uint64
}

// Totals returns the counts of every class that this node has seen, and under
// an empty name the refusals of calls that belong to none.
func (m *Meters) Totals() []ClassTotals {
	var out []ClassTotals
	m.byClass.Range(func(_, v any) bool {
		c := v.(*ClassMeter)
		out = append(out, c.totals.read(c.name))
		return true
	})
	if o := m.unmatched.read(""); len(o.Refused) > 0 {
		out = append(out, o)
	}
	return out
}

// RefusedUnmatched counts a refusal of a call that belongs to no class.
func (m *Meters) RefusedUnmatched(reason call.Reason) { m.unmatched.refuse(reason) }

func (t *totals) read(class string) ClassTotals {
	out := ClassTotals{
		Class: class, Failed: t.failed.Load(), InTarget: t.inTarget.Load(),
		Answered: t.latencies.read(), Refused: make(map[call.Reason]uint64),
	}
	t.refused.Range(func(reason, n any) bool {
		out.Refused[reason.(call.Reason)] = n.(*atomic.Uint64).Load()
		return true
	})
	return out
}
