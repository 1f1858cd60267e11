package proxy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Powers of two, in microseconds, that bound the buckets of a histogram.
const (
	firstPower = 8  // 256 microseconds
	lastPower  = 25 // 33.6 seconds
)

// totals counts the calls of a class since the start of the node. A recording is a few atomic
// additions and takes no lock.
type totals struct {
	failed    atomic.Uint64
	inTarget  atomic.Uint64
	latencies histogram
	refused   sync.Map // call.Reason to *atomic.Uint64
}

// histogram counts durations since the start of the node.
type histogram struct {
	micros atomic.Uint64                             // sum of all durations
	counts [lastPower - firstPower + 2]atomic.Uint64 // the last bucket is unbounded
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

// histogramBucket returns the index of the first bucket whose bound is not below us microseconds.
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

// Bucket is the cumulative number of calls with a duration of at most UpperBound.
type Bucket struct {
	UpperBound float64 // seconds; infinite in the last bucket
	Calls      uint64
}

// Histogram counts durations at this node since its start.
type Histogram struct {
	Count   uint64
	Seconds float64  // sum of all durations
	Buckets []Bucket // cumulative
}

// ClassTotals counts the calls of a class at this node since its start.
type ClassTotals struct {
	Class    string
	Answered Histogram // with any status, including failed ones
	Failed   uint64    // server errors, truncated answers and unknown outcomes
	InTarget uint64    // good answers within the target latency
	Refused  map[call.Reason]uint64
}

// Totals returns the counts of every class that this node has seen, and under an empty name the
// refusals of calls that belong to no class.
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
