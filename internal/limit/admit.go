package limit

import (
	"container/list"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Bounds on RetryAfter.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit decides whether e may wait; nil means yes.
func (q *Queue) admit(now time.Time, e *Entry) *call.Refusal {
	c := e.class
	if e.OneShot {
		return q.admitOnce(now, e)
	}
	if e.overdue {
		if !q.worthPuttingOff(now, e) || q.waiting >= q.cfg.MaxWaiting {
			if q.takePlace(now, e, &c.overdue) {
				return nil
			}
			return q.refuse(now, c, q.overReason(c), "no slot is left over")
		}
		return nil
	}
	if wait := q.predictWait(c); !q.options.NoPrediction && !q.worthWaiting(now, e, wait) {
		if q.worthWaiting(now, e, 0) && q.takePlace(now, e, &c.waiting) {
			return nil
		}
		return q.refuse(now, c, q.overReason(c), "the wait would be too long")
	}
	if q.waiting < q.cfg.MaxWaiting {
		return nil
	}
	if last := q.lastOverdue(); last != nil {
		q.refuseWaiting(now, last, q.overReason(last.class), "gave way to a call that can be in time")
		return nil
	}
	victim := q.givesWay(e)
	if victim == e {
		return q.refuse(now, c, q.overReason(c), "the queue is full")
	}
	detail := "gave way to another class"
	if victim.class == c {
		detail = "gave way to another workspace"
	}
	q.refuseWaiting(now, victim, q.overReason(victim.class), detail)
	return nil
}

// takePlace refuses a call that waits in e's lane and gives way to e, if there is one.
func (q *Queue) takePlace(now time.Time, e *Entry, lane *list.List) bool {
	victim := e.class.least(lane)
	if victim == nil || q.options.NoYielding || !yields(victim, e) {
		return false
	}
	q.refuseWaiting(now, victim, q.overReason(victim.class), "gave way to another workspace")
	return true
}

// admitOnce decides whether a call may wait whose caller doesn't come back: as long as
// it may still be answered by its deadline, since a refusal is the end of it.
func (q *Queue) admitOnce(now time.Time, e *Entry) *call.Refusal {
	c := e.class
	wait := time.Duration(c.once.Len()+1) * c.onceGrants.every.duration()
	late := !e.deadline.IsZero() && now.Add(wait+c.service.duration()).After(e.deadline)
	if c.once.Len() > 0 && late && !q.options.NoPrediction {
		return q.refuse(now, c, q.overReason(c), "the wait would be longer than its time")
	}
	if q.waiting < q.cfg.MaxWaiting {
		return nil
	}
	if last := q.lastOverdue(); last != nil {
		q.refuseWaiting(now, last, q.overReason(last.class), "gave way to a call that is not sent again")
		return nil
	}
	return q.refuse(now, c, q.overReason(c), "the queue is full")
}

// worthWaiting reports whether a call that starts after wait is expected to end
// within its deadline and its class's target. The first in a class's queue may
// always wait, because a class that is always refused would never be measured
// again and a wrong estimate would lock it out.
func (q *Queue) worthWaiting(now time.Time, e *Entry, wait time.Duration) bool {
	c := e.class
	if c.waiting.Len() == 0 {
		return true
	}
	end := wait + c.service.duration()
	if !e.deadline.IsZero() && now.Add(end).After(e.deadline) {
		return false
	}
	if c.misses() {
		return true // newest first: it is next
	}
	budget := c.waitBudget()
	return budget <= 0 || now.Sub(e.FirstAttempt)+wait <= budget
}

// minGrants is how many intervals between starts a prediction needs.
const minGrants = 4

// predictWait estimates how long a newcomer of c waits: by the class's own
// drain rate where it is known, else by all the work that waits.
func (q *Queue) predictWait(c *classState) time.Duration {
	ahead := c.waiting.Len() + 1
	if c.grants.every.count >= minGrants && c.waiting.Len() > 0 {
		return time.Duration(ahead) * c.grants.every.duration()
	}
	var work time.Duration
	for _, o := range q.ordered {
		work += time.Duration(o.waiting.Len()) * o.service.duration()
	}
	return work / time.Duration(q.Limit())
}

// givesWay returns the call that is refused when the queue is full: of the class
// furthest inside its target, then of the lowest priority. The newcomer takes part.
func (q *Queue) givesWay(newcomer *Entry) *Entry {
	victim := newcomer
	if q.options.NoYielding {
		return victim
	}
	for _, c := range q.ordered {
		if least := c.least(&c.waiting); least != nil && yields(least, victim) {
			victim = least
		}
	}
	return victim
}

// standingBand is how far apart two standings must be to count as different, so
// that priority decides between classes that stand about equally.
const (
	standingBand = 0.25
	lastBand     = 3
)

func givesWayBefore(a, b *classState) bool {
	if a.band() != b.band() {
		return a.band() < b.band()
	}
	return a.Priority < b.Priority
}

// band is the class's standing in steps. Classes near their target or beyond
// it, and those that refuse calls, share the last band: their queues are cut to
// what can still be met, so under lasting overload they all stand close to one,
// and what is left of the difference is noise.
func (c *classState) band() int {
	if c.misses() {
		return lastBand
	}
	return min(int(c.standing()/standingBand), lastBand)
}

func (q *Queue) overReason(c *classState) call.Reason {
	if c.Share > 0 && c.overShare(q.Limit()) {
		return call.ReasonOverShare
	}
	return call.ReasonOverloaded
}

func (q *Queue) refuseWaiting(now time.Time, e *Entry, reason call.Reason, detail string) {
	q.remove(e)
	e.class.rate.GiveBack(now)
	q.events = append(q.events, Event{Entry: e, Refusal: q.refuse(now, e.class, reason, detail)})
}

func (q *Queue) refuse(now time.Time, c *classState, reason call.Reason, detail string) *call.Refusal {
	r := &call.Refusal{Reason: reason, Detail: detail}
	switch reason {
	case call.ReasonExpired:
		c.stats.Expired++
		c.window.refused++
	case call.ReasonDraining:
		c.stats.Refused++
	default:
		c.stats.Refused++
		c.window.refused++
		r.RetryAfter = q.retryAfter(c)
	}
	return r
}

// retryAfter is the time in which the queue drains at its present rate, spread
// evenly over half to one and a half of it, so that the callers refused in one
// burst don't come back in one.
func (q *Queue) retryAfter(c *classState) time.Duration {
	drain := time.Duration(q.waiting+1) * q.doneEvery.duration()
	drain = max(drain, q.predictWait(c))
	spread := 0.5 + q.options.Rand.Float64()
	d := time.Duration(float64(drain) * spread)
	return min(max(d, minRetryAfter), maxRetryAfter)
}
