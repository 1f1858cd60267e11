package limit

import (
	"container/list"
	"time"
)

// Calls that can only be answered later than their class aims at wait in a lane of
// their own, and get the slots that no call which can still be in time asks for.
//
// It guards against an overload that feeds itself. Callers who were refused come back
// late. Served in the order of arrival, they take the places of callers who could be
// in time, who are refused for it, and come back late in turn. Put behind, they cost
// nobody's answer time, and as many calls are served: at a quarter more than one backend
// server can do, with callers that come back twice, 70 calls in 100 are in time where
// there are 51 otherwise (TestReturningCallersDoNotCrowdOutOthers).

// overduePart is the part of the time left to a call that it waits for a slot to be
// left over. The rest is kept for its caller to come back, which most do a second or
// two later, when a wave of calls may have passed.
const overduePart = 0.15

// inTimePart is the part of the answer time, less the mean run, for which a call waits
// at one backend server. What is left serves for another one. Waiting until the last
// moment, refused callers had waited twice as long for nothing.
const inTimePart = 0.5

// waitsUntil returns the moment after which e waits no more, or zero for none. A call
// of a class with a target waits as long as it may still be in time, or the part of its
// time that overdue calls wait.
func (q *Queue) waitsUntil(now time.Time, e *Entry) time.Time {
	c := e.class
	common := float64(c.AnswerWithin - c.service.duration())
	budget := max(c.waitBudget(), time.Duration(inTimePart*common))
	if e.OneShot || e.deadline.IsZero() || budget <= 0 || q.options.NoPrediction {
		return e.deadline
	}
	until := now.Add(e.patience(now))
	if inTime := e.FirstAttempt.Add(budget); inTime.After(until) {
		until = inTime
	}
	if until.After(e.deadline) {
		return e.deadline
	}
	return until
}

// patience is how long an overdue call waits for a slot to be left over.
func (e *Entry) patience(now time.Time) time.Duration {
	return time.Duration(overduePart * float64(e.deadline.Sub(now)))
}

// putOff puts a call that was taken out of its lane behind those that are overdue.
func (q *Queue) putOff(e *Entry) {
	e.overdue = true
	e.element = e.class.place(e)
}

// worthPuttingOff reports whether a slot is likely to be left over for e while it
// waits. The first may always wait, or nobody would notice when there are slots again.
func (q *Queue) worthPuttingOff(now time.Time, e *Entry) bool {
	c := e.class
	return c.overdue.Len() == 0 || e.deadline.IsZero() || q.predictOverdue(now, c) <= e.patience(now)
}

// predictOverdue estimates how long a newcomer waits for a slot to be left over.
func (q *Queue) predictOverdue(now time.Time, c *classState) time.Duration {
	every := c.overdueGrants.every.duration()
	if !c.overdueGrants.last.IsZero() {
		// No slot was left over since the last one: the average is of better times.
		every = max(every, now.Sub(c.overdueGrants.last))
	}
	return time.Duration(c.overdue.Len()+1) * every
}

// firstOnce returns the class whose foremost call that never comes back has the highest
// priority, then the one whose call came first. Reservations don't bind them: a class far inside
// its target gives way to others, and lookups of work in progress are always far inside.
func (q *Queue) firstOnce() *classState {
	return q.first(func(c *classState) *list.List { return &c.once }, func(*classState) bool { return true })
}

// firstOverdue returns the same of those overdue that may take a slot.
func (q *Queue) firstOverdue() *classState {
	return q.first(func(c *classState) *list.List { return &c.overdue }, q.mayStart)
}

func (q *Queue) first(lane func(*classState) *list.List, may func(*classState) bool) *classState {
	var best *classState
	for _, c := range q.ordered {
		if lane(c).Len() == 0 || !may(c) {
			continue
		}
		if best == nil || goesBefore(head(lane(c)), head(lane(best))) {
			best = c
		}
	}
	return best
}

func goesBefore(a, b *Entry) bool {
	if a.priority() != b.priority() {
		return a.priority() > b.priority()
	}
	return a.before(b)
}

// startFrom starts the first call of a lane, or refuses it if it could not be answered
// by its deadline.
func (q *Queue) startFrom(now time.Time, lane *list.List) {
	if e := head(lane); !q.useless(now, e) {
		q.startWaiting(now, e)
	}
}

// lastOverdue returns the call of the least priority that was put off last, or nil.
func (q *Queue) lastOverdue() *Entry {
	var victim *Entry
	for _, c := range q.ordered {
		if last := c.overdue.Back(); last != nil && (victim == nil || last.Value.(*Entry).priority() < victim.priority()) {
			victim = last.Value.(*Entry)
		}
	}
	return victim
}
