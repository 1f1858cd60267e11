package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// Split divides the admitted calls of a workspace over its quota among those that can be in time and
// the overdue ones, of callers who return after a refusal past their latency target. Calls that can
// be in time go first, and overdue ones take what is left.
type Split struct {
	// InTime and Overdue are the ratios of calls to admit, 0 to 1.
	InTime, Overdue float64
	// RetryAfter is when the workspace is expected to have room for those refused now.
	RetryAfter time.Duration
}

const (
	// backlogOver is the time for which refused callers are expected to return.
	backlogOver = 5 * time.Second
	// minSpare is the least fraction of a workspace's rate that is taken to be left for returning
	// callers. While calls in time need all of it, when they will be fewer is not known.
	minSpare = 0.125
	// minRetryAfter and maxRetryAfter bound the time that refused callers are told.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// split returns how the available rate is divided, both in calls per second.
func (b *bucket) split(limit Limit, available float64) *Split {
	inTime := max(b.demand-b.overdue, 0)
	left := max(available-inTime, 0)
	out := &Split{InTime: admissionRatio(inTime, available), Overdue: admissionRatio(b.overdue, left)}
	wait := maxRetryAfter
	if spare := max(limit.Rate-inTime, minSpare*limit.Rate); spare > 0 {
		wait = time.Duration(min(b.backlog/spare, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	out.RetryAfter = max(wait, minRetryAfter)
	return out
}

// addBacklog adds the calls refused during a span in seconds to the callers expected to return.
func (b *bucket) addBacklog(span float64) {
	b.backlog *= math.Exp(-span / backlogOver.Seconds())
	b.backlog += b.demand * (1 - b.ratio) * span
}

// ratioGate admits calls in a ratio.
type ratioGate struct {
	ratio atomic.Uint64 // bits of the ratio
	// accumulated sums up the ratios of the calls, in units of callUnit. A call is admitted where the
	// sum crosses a whole unit, so that even few calls are admitted in this ratio.
	accumulated atomic.Uint64
}

func (g *ratioGate) set(ratio float64) { g.ratio.Store(math.Float64bits(ratio)) }

func (g *ratioGate) admit() bool {
	ratio := math.Float64frombits(g.ratio.Load())
	if ratio >= 1 {
		return true
	}
	step := uint64(ratio * callUnit)
	after := g.accumulated.Add(step)
	return after/callUnit != (after-step)/callUnit
}

// split puts the ratios of an answer in force.
func (m *meter) split(a Admission) {
	s := a.Split
	if s == nil {
		s = &Split{InTime: a.Ratio, Overdue: a.Ratio}
	}
	m.inTimeGate.set(s.InTime)
	m.overdueGate.set(s.Overdue)
	m.retryAfter.Store(int64(s.RetryAfter))
}

// RetryAfter returns when a workspace is expected to have room for calls refused now, or zero if it
// is not known.
func (l *Limiter) RetryAfter(workspace string) time.Duration {
	return time.Duration(l.meter(workspace).retryAfter.Load())
}
