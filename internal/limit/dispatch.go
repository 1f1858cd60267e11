package limit

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// dispatch starts waiting calls while slots are free and the advertised rate allows it:
// one-shot calls first, then calls that can meet their latency target, then overdue
// ones. With Config.ByPriority the first two start by priority.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.running < q.Limit() && q.advertised.allows(now) {
		if q.cfg.ByPriority {
			if q.nextByPriority(now) {
				continue
			}
		} else if c := q.nextOneShotClass(); c != nil {
			q.startHead(now, &c.oneShot)
			continue
		} else if c := q.nextOnTimeClass(now); c != nil {
			q.startNextOnTime(now, c)
			continue
		}
		c := q.nextOverdueClass()
		if c == nil {
			return
		}
		q.startHead(now, &c.overdue)
	}
}

// nextOnTimeClass returns the class whose on-time lane starts the next call, or nil
// if no class with such calls may take a slot. A class below its share goes before
// one at or over it, so that the share limits a class only while others wait.
func (q *Queue) nextOnTimeClass(now time.Time) *classState { return q.nextOnTimeAbove(now, 0) }

// nextOnTimeAbove does the same for the classes whose next call has a priority above one that is
// given.
func (q *Queue) nextOnTimeAbove(now time.Time, priority int) *classState {
	limit := q.Limit()
	for _, atShare := range []bool{false, true} {
		q.candidates = q.candidates[:0]
		for _, c := range q.ordered {
			if c.onTime.Len() > 0 && q.mayStart(c) && c.overShare(limit) == atShare && (priority == 0 || c.nextOnTime().priority() > priority) {
				q.candidates = append(q.candidates, c)
			}
		}
		if len(q.candidates) > 0 {
			return q.options.Order.pick(now, q.candidates)
		}
	}
	return nil
}

// mayStart reports whether the reservations allow c a free slot. Each class may
// hold one slot whatever is reserved, so that none starves.
func (q *Queue) mayStart(c *classState) bool {
	return q.running < c.allowedSlots || c.running == 0
}

// startNextOnTime starts the next on-time call of c, refuses it if too little time is
// left to run it, or moves it to the overdue lane if it would miss its latency target. It
// reports whether the call was started.
func (q *Queue) startNextOnTime(now time.Time, c *classState) bool {
	e := c.nextOnTime()
	if q.refuseIfTooLate(now, e) {
		return false
	}
	if !q.options.NoPrediction && c.likelyLate(e, now) {
		c.onTime.Remove(e.element)
		q.moveToOverdue(e)
		return false
	}
	q.dequeueAndStart(now, e)
	return true
}

// refuseIfTooLate refuses a waiting call that cannot be answered by its deadline. It
// reports whether it did.
func (q *Queue) refuseIfTooLate(now time.Time, e *Entry) bool {
	switch {
	case e.class.expired(e, now):
		q.refuseWaiting(now, e, call.ReasonExpired, "waited past its deadline")
	case e.class.tooLateToRun(e, now):
		q.refuseWaiting(now, e, call.ReasonExpired, "too little time left to run")
	default:
		return false
	}
	return true
}

func (q *Queue) dequeueAndStart(now time.Time, e *Entry) {
	q.dequeue(e)
	q.start(now, e)
	q.events = append(q.events, Event{Entry: e})
}

// start takes a slot for a call that is in no lane.
func (q *Queue) start(now time.Time, e *Entry) {
	c := e.class
	c.running++
	e.addToWorkspace(0, 1)
	q.running++
	c.stats.Started++
	q.advertised.take(now)
	e.state = entryRunning
	e.started = now
	e.busyAtStart = q.running
	lane := c.laneOf(e)
	c.startsOf(e).record(now, lane.Len() > 0)
}

func (q *Queue) dequeue(e *Entry) {
	e.class.laneOf(e).Remove(e.element)
	e.element = nil
	e.addToWorkspace(-1, 0)
	e.state = entryEnded
	q.waiting--
}
