package limit

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// dispatch starts waiting calls while there is room: first those whose callers don't
// come back, then those that can be in time, then the overdue ones.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.running < q.Limit() {
		if c := q.firstOnce(); c != nil {
			q.startFrom(now, &c.once)
			continue
		}
		if c := q.next(now); c != nil {
			q.startHead(now, c)
			continue
		}
		c := q.firstOverdue()
		if c == nil {
			return
		}
		q.startFrom(now, &c.overdue)
	}
}

// next returns the class to start a call of that can still be answered in time, or
// nil if those that wait may not hold more slots now. A class below its share goes
// before one at or over it, so the share binds only while others wait.
func (q *Queue) next(now time.Time) *classState {
	limit := q.Limit()
	for _, over := range []bool{false, true} {
		q.candidates = q.candidates[:0]
		for _, c := range q.ordered {
			if c.waiting.Len() > 0 && q.mayStart(c) && c.overShare(limit) == over {
				q.candidates = append(q.candidates, c)
			}
		}
		if len(q.candidates) > 0 {
			return q.options.Order.pick(now, q.candidates)
		}
	}
	return nil
}

// mayStart reports whether the reservations let c take a free slot. Each class
// may hold one slot whatever is reserved, so that none starves.
func (q *Queue) mayStart(c *classState) bool {
	return q.running < c.upTo || c.running == 0
}

// startHead starts the foremost call of c that waits to be answered in time, refuses it
// if starting it would be of no use, or puts it off if it is late by now.
func (q *Queue) startHead(now time.Time, c *classState) {
	e := c.foremost()
	if q.useless(now, e) {
		return
	}
	if !q.options.NoPrediction && c.late(e, now) {
		c.waiting.Remove(e.element)
		q.putOff(e)
		return
	}
	q.startWaiting(now, e)
}

// useless refuses a call that could not be answered by its deadline.
func (q *Queue) useless(now time.Time, e *Entry) bool {
	switch {
	case e.class.expired(e, now):
		q.refuseWaiting(now, e, call.ReasonExpired, "waited past its deadline")
	case e.class.hopeless(e, now):
		q.refuseWaiting(now, e, call.ReasonExpired, "too little time left to run")
	default:
		return false
	}
	return true
}

func (q *Queue) startWaiting(now time.Time, e *Entry) {
	q.remove(e)
	q.start(now, e)
	q.events = append(q.events, Event{Entry: e})
}

// start takes a slot for a call that is in no lane.
func (q *Queue) start(now time.Time, e *Entry) {
	c := e.class
	c.running++
	e.count(0, 1)
	q.running++
	c.stats.Started++
	e.state = entryRunning
	e.started = now
	e.busy = q.running
	lane := c.laneOf(e)
	c.grantsOf(e).granted(now, lane.Len() > 0)
}

func (q *Queue) remove(e *Entry) {
	e.class.laneOf(e).Remove(e.element)
	e.element = nil
	e.count(-1, 0)
	e.state = entryEnded
	q.waiting--
}
