package limit

import (
	"cmp"
	"time"
)

// Order chooses the class whose next call starts. Calls of one class have the same
// expected work, so an Order does not distinguish between them.
type Order interface {
	// pick returns one of the candidates, each of which has a call waiting.
	pick(now time.Time, candidates []*classState) *classState
}

// defaultOrder returns the order that was best in the measurements of
// docs/design/queue-order.md.
func defaultOrder() Order { return &OvertakingCap{Inner: EarliestTarget{}} }

// OvertakingCap follows Inner but limits the work that may start ahead of the
// oldest waiting call to that call's own expected work. Without the cap, a stream
// of calls that are due soon delays a long call until it misses its own target.
// The cap is taken from the paper "Fairway: Load-Aware KV Cache Reuse for LLM
// Prefill Scheduling".
type OvertakingCap struct {
	Inner Order
	// Weight divides the oldest call's work to give the cap; zero means one.
	// The paper uses four.
	Weight         float64
	oldestSequence uint64  // sequence of the call that workAhead refers to
	workAhead      float64 // expected work started ahead of that call, in nanoseconds
}

func (o *OvertakingCap) pick(now time.Time, candidates []*classState) *classState {
	oldest := FirstComeFirstServed{}.pick(now, candidates)
	if o.oldestSequence != oldest.nextOnTime().sequence {
		o.oldestSequence, o.workAhead = oldest.nextOnTime().sequence, 0
	}
	c := o.Inner.pick(now, candidates)
	if c == oldest {
		return c
	}
	if cmp.Or(o.Weight, 1)*(o.workAhead+c.serviceTime.value) > oldest.serviceTime.value {
		return oldest
	}
	o.workAhead += c.serviceTime.value
	return c
}

// FirstComeFirstServed starts the class whose next call arrived first.
type FirstComeFirstServed struct{}

func (FirstComeFirstServed) pick(_ time.Time, candidates []*classState) *classState {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.nextOnTime().before(best.nextOnTime()) {
			best = c
		}
	}
	return best
}

// EarliestTarget starts the class whose next call has the earliest latest start:
// the last moment to start it and, even if it is a slow one, meet its class's
// latency target, or its deadline if the class has no target that it can meet.
type EarliestTarget struct{}

func (EarliestTarget) pick(_ time.Time, candidates []*classState) *classState {
	best := candidates[0]
	bestStart := latestStart(best)
	for _, c := range candidates[1:] {
		if start := latestStart(c); start.Before(bestStart) {
			best, bestStart = c, start
		}
	}
	return best
}

// defaultWait is the wait budget of a call that has neither a latency target nor a
// deadline.
const defaultWait = 30 * time.Second

// latestStart returns the latest time to start the next call of c.
func latestStart(c *classState) time.Time {
	e := c.nextOnTime()
	if budget := c.waitBudget(); budget > 0 {
		return e.arrived.Add(budget)
	}
	if !e.deadline.IsZero() {
		return e.deadline.Add(-c.serviceTime.duration())
	}
	return e.arrived.Add(defaultWait)
}
