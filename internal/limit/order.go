package limit

import "time"

// Order chooses which class's oldest call starts next. Calls of one class are
// alike in expected work, so within a class the order is always of arrival.
type Order interface {
	// pick returns one of the candidates, each of which has a call waiting.
	pick(now time.Time, candidates []*classState) *classState
}

// FirstCome starts the call that arrived first.
type FirstCome struct{}

func (FirstCome) pick(_ time.Time, cs []*classState) *classState {
	best := cs[0]
	for _, c := range cs[1:] {
		if c.head().before(best.head()) {
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
	e := c.head()
	if budget := c.waitBudget(); budget > 0 {
		return e.arrived.Add(budget)
	}
	if !e.deadline.IsZero() {
		return e.deadline.Add(-c.service.duration())
	}
	return e.arrived.Add(untargetedPatience)
}
