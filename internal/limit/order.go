package limit

import (
	"cmp"
	"time"
)

// Order chooses which class's oldest call starts next. Calls of one class are
// alike in expected work, so within a class the order is always of arrival.
type Order interface {
	// pick returns one of the candidates, each of which has a call waiting.
	pick(now time.Time, candidates []*classState) *classState
}

// defaultOrder is the order that won the measurements in
// docs/design/queue-order.md.
func defaultOrder() Order { return &OvertakingCap{Inner: EarliestTarget{}} }

// OvertakingCap follows Inner but bounds the work that may start ahead of the
// oldest call that waits: at most as much as that call's own expected work.
// Without it a stream of calls that are due soon keeps a long call waiting
// until it is late for its own target. The cap is that of the paper "Fairway:
// Load-Aware KV Cache Reuse for LLM Prefill Scheduling".
type OvertakingCap struct {
	Inner Order
	// Weight divides the oldest call's work to give the bound; zero means
	// one. The paper has four.
	Weight float64
	oldest uint64  // sequence of the call that ahead counts for
	ahead  float64 // expected work started ahead of it, in nanoseconds
}

func (o *OvertakingCap) pick(now time.Time, cs []*classState) *classState {
	oldest := FirstComeFirstServed{}.pick(now, cs)
	if o.oldest != oldest.foremost().sequence {
		o.oldest, o.ahead = oldest.foremost().sequence, 0
	}
	c := o.Inner.pick(now, cs)
	if c == oldest {
		return c
	}
	if cmp.Or(o.Weight, 1)*(o.ahead+c.service.value) > oldest.service.value {
		return oldest
	}
	o.ahead += c.service.value
	return c
}

// FirstComeFirstServed starts the call that arrived first.
type FirstComeFirstServed struct{}

func (FirstComeFirstServed) pick(_ time.Time, cs []*classState) *classState {
	best := cs[0]
	for _, c := range cs[1:] {
		if c.foremost().before(best.foremost()) {
			best = c
		}
	}
	return best
}

// EarliestTarget starts the call that must start first to be answered in time:
// within its class's answer time, or by its deadline where there is none, with
// the time that a slow call of its class takes set aside.
type EarliestTarget struct{}

func (EarliestTarget) pick(_ time.Time, cs []*classState) *classState {
	best := cs[0]
	bestDue := due(best)
	for _, c := range cs[1:] {
		if d := due(c); d.Before(bestDue) {
			best, bestDue = c, d
		}
	}
	return best
}

// untargetedPatience stands for the answer time of a class that has neither a
// target nor a deadline.
const untargetedPatience = 30 * time.Second

func due(c *classState) time.Time {
	e := c.foremost()
	if budget := c.waitBudget(); budget > 0 {
		return e.arrived.Add(budget)
	}
	if !e.deadline.IsZero() {
		return e.deadline.Add(-c.service.duration())
	}
	return e.arrived.Add(untargetedPatience)
}
