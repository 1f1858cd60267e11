package limit

import (
	"container/list"
	"math"
	"time"
)

// With Config.ByPriority, one-shot and on-time calls start by priority, one-shot calls first among
// equals. Otherwise all one-shot calls start first, and nested calls of the least urgent work
// displace calls of the most urgent class.
//
// A one-shot call of which nothing is known, neither a root nor a key, keeps its place before all
// on-time calls: work in progress is lost with it, and that work may be urgent.
//
// A class whose one-shot calls are passed over keeps a part of the starts that it would have if they
// went first, so that no class of nested calls starves.

// oneShotFloor is the part of the starts that a class of one-shot calls keeps.
const oneShotFloor = 0.25

// maxFloorCredit bounds the starts that a class of one-shot calls may claim at once.
const maxFloorCredit = 4

// nextByPriority starts or refuses the next one-shot or on-time call. It reports false if none may
// start.
func (q *Queue) nextByPriority(now time.Time) bool {
	if c := q.nextFloorClass(); c != nil {
		if q.startHead(now, &c.oneShot) {
			c.floorCredit--
		}
		return true
	}
	oneShot := q.nextOneShotClass()
	above := 0
	if oneShot != nil {
		above = head(&oneShot.oneShot).urgency()
	}
	if c := q.nextOnTimeAbove(now, above); c != nil {
		if e := c.nextOnTime(); q.startNextOnTime(now, c) {
			q.passOver(e.priority())
		}
		return true
	}
	if oneShot == nil {
		return false
	}
	if e := head(&oneShot.oneShot); q.startHead(now, &oneShot.oneShot) {
		q.passOver(e.priority())
	}
	return true
}

func oneShotLane(c *classState) *list.List { return &c.oneShot }

// urgency returns the priority, or one above all priorities for a call that starts first.
func (e *Entry) urgency() int {
	if e.startsFirst {
		return math.MaxInt
	}
	return e.priority()
}

// nextFloorClass returns the class with one-shot calls that has the most credit for a start, or nil.
func (q *Queue) nextFloorClass() *classState {
	var best *classState
	for _, c := range q.ordered {
		if c.oneShot.Len() > 0 && c.floorCredit >= 1 && (best == nil || c.floorCredit > best.floorCredit) {
			best = c
		}
	}
	return best
}

// passOver records that a call of a priority has started before the waiting one-shot calls of lower
// priority. Each of these counts once: it would have started by now if one-shot calls went first.
func (q *Queue) passOver(priority int) {
	for _, c := range q.ordered {
		for el := c.oneShot.Front(); el != nil; el = el.Next() {
			if e := el.Value.(*Entry); !e.passedOver && e.urgency() < priority {
				e.passedOver = true
				c.floorCredit = min(c.floorCredit+oneShotFloor, maxFloorCredit)
				break
			}
		}
	}
}

// leastUrgent returns the call that gives way to a newcomer of a higher priority in a full queue:
// the newest one of the lowest priority, on-time calls before one-shot calls; nil if there is none.
// One-shot calls of unknown callers give way to none.
func (q *Queue) leastUrgent(newcomer *Entry) *Entry {
	var victim *Entry
	for _, oneShot := range []bool{false, true} {
		for _, c := range q.ordered {
			lane := &c.onTime
			if oneShot {
				lane = &c.oneShot
			}
			if e := lowestPriority(lane); e != nil && e.urgency() < newcomer.priority() && (victim == nil || e.priority() < victim.priority()) {
				victim = e
			}
		}
	}
	return victim
}

// lowestPriority returns the newest call of the lowest priority in a lane, or nil.
func lowestPriority(lane *list.List) *Entry {
	var lowest *Entry
	for el := lane.Back(); el != nil; el = el.Prev() {
		if e := el.Value.(*Entry); lowest == nil || e.urgency() < lowest.urgency() {
			lowest = e
		}
	}
	return lowest
}

// displaceLessUrgent refuses a call that gives way to e in a full queue, and reports whether there
// was one. For an on-time call it considers one-shot calls only, as victimFor decides among the
// others.
func (q *Queue) displaceLessUrgent(now time.Time, e *Entry) bool {
	if !q.cfg.ByPriority || q.options.NoYielding {
		return false
	}
	victim := q.leastUrgent(e)
	if victim == nil || !e.OneShot && !victim.OneShot {
		return false
	}
	q.refuseWaiting(now, victim, q.overloadReason(victim.class), "gave way to a more urgent call")
	return true
}

// predictOneShotWait estimates how long a new one-shot call of c waits.
func (q *Queue) predictOneShotWait(now time.Time, c *classState) time.Duration {
	interval := c.oneShotStarts.interval.duration()
	if q.cfg.ByPriority && c.oneShot.Len() > 0 && !c.oneShotStarts.last.IsZero() {
		// More urgent calls may have taken all slots since the last start. Time in which no call
		// waited doesn't count.
		since := now
		for el := c.oneShot.Front(); el != nil; el = el.Next() {
			if arrived := el.Value.(*Entry).arrived; arrived.Before(since) {
				since = arrived
			}
		}
		if last := c.oneShotStarts.last; last.After(since) {
			since = last
		}
		interval = max(interval, now.Sub(since))
	}
	return time.Duration(c.oneShot.Len()+1) * interval
}
