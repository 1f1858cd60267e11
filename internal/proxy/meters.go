package proxy

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Layout of the histograms: values are microseconds, and each power of two has
// subBuckets buckets, which bounds the error of a quantile to one in
// subBuckets. A recording is two atomic additions; HdrHistogram would need a
// lock for each call.
const (
	subBits    = 4
	subBuckets = 1 << subBits
	maxPower   = 32 // 2^32 microseconds are more than an hour
	buckets    = (maxPower - subBits + 1) * subBuckets
)

// The meters cover the last minute, in windows of equal length.
const (
	windowCount  = 6
	windowLength = 10 * time.Second
)

// window holds the counts of one part of the last minute.
type window struct {
	index    atomic.Int64 // number of the window since the epoch
	answered atomic.Uint64
	failed   atomic.Uint64
	inTarget atomic.Uint64
	counts   [buckets]atomic.Uint32
	mu       sync.Mutex // guards refused
	refused  map[call.Reason]uint64
}

// ClassMeter counts the calls of one class at this node. A recording at the moment when a window is
// replaced may be counted in the wrong window or be lost. The meters are for display and for
// sharing rates, not for accounting.
type ClassMeter struct {
	name    string
	target  atomic.Pointer[config.Target]
	windows [windowCount]window
	totals  totals
}

// Meters holds the meters of all classes.
type Meters struct {
	byClass sync.Map
	// unmatched counts refusals of calls that belong to no class.
	unmatched    totals
	latencyParts partHistograms
}

// NewMeters returns empty meters.
func NewMeters() *Meters { return new(Meters) }

// Class returns the meter of t's class.
func (m *Meters) Class(t *config.Target) *ClassMeter {
	v, ok := m.byClass.Load(t.Name)
	if !ok {
		v, _ = m.byClass.LoadOrStore(t.Name, &ClassMeter{name: t.Name})
	}
	c := v.(*ClassMeter)
	if c.target.Load() != t {
		c.target.Store(t)
	}
	return c
}

// Answered records an answered call.
func (c *ClassMeter) Answered(now time.Time, latency time.Duration, failed bool) {
	w := c.window(now)
	w.answered.Add(1)
	w.counts[bucketOf(latency)].Add(1)
	within := c.within(latency)
	c.totals.answered(latency, failed, within)
	switch {
	case failed:
		w.failed.Add(1)
	case within:
		w.inTarget.Add(1)
	}
}

// Refused records a call that was not run.
func (c *ClassMeter) Refused(now time.Time, reason call.Reason) {
	c.totals.refuse(reason)
	w := c.window(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused == nil {
		w.refused = make(map[call.Reason]uint64)
	}
	w.refused[reason]++
}

func (c *ClassMeter) within(latency time.Duration) bool {
	t := c.target.Load()
	return t == nil || t.AnswerWithin() == 0 || latency <= t.AnswerWithin()
}

// window returns the current window, emptied if it is from an earlier minute.
func (c *ClassMeter) window(now time.Time) *window {
	index := now.UnixNano() / int64(windowLength)
	w := &c.windows[index%windowCount]
	if old := w.index.Load(); old != index && w.index.CompareAndSwap(old, index) {
		w.reset()
	}
	return w
}

func (w *window) reset() {
	w.answered.Store(0)
	w.failed.Store(0)
	w.inTarget.Store(0)
	for i := range w.counts {
		w.counts[i].Store(0)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused = nil
}

// bucketOf returns the index of the bucket for a latency.
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < subBuckets {
		return int(us)
	}
	power := bits.Len64(us) - 1
	if power >= maxPower {
		return buckets - 1
	}
	sub := us>>(power-subBits) - subBuckets
	return (power-subBits+1)*subBuckets + int(sub)
}

// bucketUpperBound returns the largest latency of bucket i.
func bucketUpperBound(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i) * time.Microsecond
	}
	power := i/subBuckets - 1 + subBits
	sub := uint64(i%subBuckets) + subBuckets
	return time.Duration((sub+1)<<(power-subBits)-1) * time.Microsecond
}

// ClassStats sums up the last minute of a class.
type ClassStats struct {
	Class    string
	Answered uint64 // with any status, including failed ones
	Failed   uint64 // server errors, truncated answers and unknown outcomes
	InTarget uint64 // good answers within the target latency
	Refused  map[call.Reason]uint64
	P50, P99 time.Duration
	// AtPercentile is the latency at the target's percentile.
	AtPercentile time.Duration
	// Latency is the histogram behind these values, without empty buckets.
	Latency []LatencyCount
}

// LatencyCount counts the answers that took at most AtMost, and longer than the bound of the bucket
// before.
type LatencyCount struct {
	AtMost time.Duration
	Calls  uint64
}

// Stats returns the last minute of every class that this node has seen.
func (m *Meters) Stats(now time.Time) []ClassStats {
	var out []ClassStats
	m.byClass.Range(func(_, v any) bool {
		out = append(out, v.(*ClassMeter).stats(now))
		return true
	})
	return out
}

func (c *ClassMeter) stats(now time.Time) ClassStats {
	f := ClassStats{Class: c.name, Refused: make(map[call.Reason]uint64)}
	var sum [buckets]uint64
	index := now.UnixNano() / int64(windowLength)
	for i := range c.windows {
		w := &c.windows[i]
		if index-w.index.Load() < windowCount {
			w.addTo(&f, &sum)
		}
	}
	f.Latency = latencyOf(&sum)
	f.P50 = quantile(&sum, 0.50)
	f.P99 = quantile(&sum, 0.99)
	if t := c.target.Load(); t != nil {
		f.AtPercentile = quantile(&sum, t.PercentileOrDefault()/100)
	}
	return f
}

func (w *window) addTo(f *ClassStats, sum *[buckets]uint64) {
	f.Answered += w.answered.Load()
	f.Failed += w.failed.Load()
	f.InTarget += w.inTarget.Load()
	for i := range w.counts {
		sum[i] += uint64(w.counts[i].Load())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for reason, n := range w.refused {
		f.Refused[reason] += n
	}
}

func latencyOf(sum *[buckets]uint64) []LatencyCount {
	var out []LatencyCount
	for i, n := range sum {
		if n > 0 {
			out = append(out, LatencyCount{bucketUpperBound(i), n})
		}
	}
	return out
}

// quantile returns the latency that a share q of the calls does not exceed.
func quantile(counts *[buckets]uint64, q float64) time.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(q * float64(total))
	var seen uint64
	for i, n := range counts {
		seen += n
		if n > 0 && seen > rank || seen == total {
			return bucketUpperBound(i)
		}
	}
	return 0
}
