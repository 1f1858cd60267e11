package limit

import (
	"container/list"
	"time"
)

// Overdue calls can no longer meet their class's latency target. They wait in a lane of
// their own and get spare slots, that is, those that no on-time call takes.
//
// This prevents an overload that sustains itself. Refused callers retry late. Served in
// order of arrival, their calls take slots from calls that could meet their target, whose
// callers are refused and retry late in turn. Served after the on-time calls, they delay
// no one, and as many calls are served: at 1.25 times the capacity of one backend server,
// with callers that retry twice, 70 of 100 calls are in time instead of 51
// (TestRetryingCallersDoNotCrowdOutOthers).

// overdueWaitFraction is the fraction of the remaining time that an overdue call waits
// for a spare slot. The rest is left for a retry by its caller, which usually follows a
// second or two later, when a burst may have passed.
const overdueWaitFraction = 0.15

// onTimeWaitFraction is the fraction of the latency target, less the mean service time,
// that a call waits at one backend server. The rest is left for another one. When calls
// waited until the last moment, refused callers had waited twice as long in vain.
const onTimeWaitFraction = 0.5

// waitsUntil returns when e stops waiting, or zero for never. A call of a class with a
// latency target waits while it can meet the target, or as long as an overdue call if
// that is longer.
func (q *Queue) waitsUntil(now time.Time, e *Entry) time.Time {
	c := e.class
	meanBudget := float64(c.AnswerWithin - c.serviceTime.duration())
	budget := max(c.waitBudget(), time.Duration(onTimeWaitFraction*meanBudget))
	if e.OneShot || e.deadline.IsZero() || budget <= 0 || q.options.NoPrediction {
		return e.deadline
	}
	until := now.Add(e.overdueWait(now))
	if onTimeUntil := e.FirstAttempt.Add(budget); onTimeUntil.After(until) {
		until = onTimeUntil
	}
	if until.After(e.deadline) {
		return e.deadline
	}
	return until
}

// overdueWait returns how long an overdue call waits for a spare slot.
func (e *Entry) overdueWait(now time.Time) time.Duration {
	return time.Duration(overdueWaitFraction * float64(e.deadline.Sub(now)))
}

// moveToOverdue adds a call that was removed from its lane to the overdue lane.
func (q *Queue) moveToOverdue(e *Entry) {
	e.overdue = true
	e.element = e.class.enqueue(e)
}

// overdueSlotLikely reports whether e is likely to get a spare slot while it waits. The
// first overdue call may always wait, so that spare slots are noticed again.
func (q *Queue) overdueSlotLikely(now time.Time, e *Entry) bool {
	c := e.class
	return c.overdue.Len() == 0 || e.deadline.IsZero() || q.predictOverdueWait(now, c) <= e.overdueWait(now)
}

// predictOverdueWait estimates how long a new overdue call waits for a spare slot.
func (q *Queue) predictOverdueWait(now time.Time, c *classState) time.Duration {
	interval := c.overdueStarts.interval.duration()
	if !c.overdueStarts.last.IsZero() {
		// No slot has been spare since the last start, so the average is out of date.
		interval = max(interval, now.Sub(c.overdueStarts.last))
	}
	return time.Duration(c.overdue.Len()+1) * interval
}

// nextOneShotClass returns the class whose first one-shot call has the highest priority, or
// arrived first among equals; nil if none waits. Reservations don't apply: they restrict classes
// that are well within their targets, as the short lookups of work in progress always are.
func (q *Queue) nextOneShotClass() *classState {
	return q.firstClass(oneShotLane, func(*classState) bool { return true })
}

// nextOverdueClass returns the same for overdue calls of classes that may take a slot.
func (q *Queue) nextOverdueClass() *classState {
	return q.firstClass(func(c *classState) *list.List { return &c.overdue }, q.mayStart)
}

func (q *Queue) firstClass(lane func(*classState) *list.List, allowed func(*classState) bool) *classState {
	var best *classState
	for _, c := range q.ordered {
		if lane(c).Len() == 0 || !allowed(c) {
			continue
		}
		if best == nil || startsBefore(head(lane(c)), head(lane(best))) {
			best = c
		}
	}
	return best
}

// startsBefore reports whether a starts before b: by priority, then by arrival.
func startsBefore(a, b *Entry) bool {
	if a.urgency() != b.urgency() {
		return a.urgency() > b.urgency()
	}
	return a.before(b)
}

// startHead starts the first call of a lane, or refuses it if it cannot be answered by
// its deadline. It reports whether the call was started.
func (q *Queue) startHead(now time.Time, lane *list.List) bool {
	e := head(lane)
	if q.refuseIfTooLate(now, e) {
		return false
	}
	q.dequeueAndStart(now, e)
	return true
}

// overdueVictim returns the overdue call to refuse first: the last one of the lowest
// priority, or nil.
func (q *Queue) overdueVictim() *Entry {
	var victim *Entry
	for _, c := range q.ordered {
		if last := c.overdue.Back(); last != nil && (victim == nil || last.Value.(*Entry).priority() < victim.priority()) {
			victim = last.Value.(*Entry)
		}
	}
	return victim
}
