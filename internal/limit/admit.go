package limit

import (
	"container/list"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Bounds on the RetryAfter of a refusal.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit decides whether e may wait, and refuses a waiting call if e takes its
// place. It returns nil if e may wait.
func (q *Queue) admit(now time.Time, e *Entry) *call.Refusal {
	c := e.class
	if e.OneShot {
		return q.admitOneShot(now, e)
	}
	if e.overdue {
		if !q.overdueSlotLikely(now, e) || q.waiting >= q.cfg.MaxWaiting {
			if q.displace(now, e, &c.overdue) {
				return nil
			}
			return q.refuse(now, c, q.overloadReason(c), "no slot is left over")
		}
		return nil
	}
	if wait := q.predictWait(now, c); !q.options.NoPrediction && !q.canMeetTarget(now, e, wait) {
		if q.canMeetTarget(now, e, 0) && q.displace(now, e, &c.onTime) {
			return nil
		}
		return q.refuse(now, c, q.overloadReason(c), "the wait would be too long")
	}
	if q.waiting < q.cfg.MaxWaiting {
		return nil
	}
	if victim := q.overdueVictim(); victim != nil {
		q.refuseWaiting(now, victim, q.overloadReason(victim.class), "gave way to a call that can be in time")
		return nil
	}
	if q.displaceLessUrgent(now, e) {
		return nil
	}
	victim := q.victimFor(e)
	if victim == e {
		return q.refuse(now, c, q.overloadReason(c), "the queue is full")
	}
	detail := "gave way to another class"
	if victim.class == c {
		detail = "gave way to another workspace"
	}
	q.refuseWaiting(now, victim, q.overloadReason(victim.class), detail)
	return nil
}

// displace refuses a call in lane that yields to e, and reports whether there was one.
func (q *Queue) displace(now time.Time, e *Entry, lane *list.List) bool {
	victim := e.class.firstToYield(lane)
	if victim == nil || q.options.NoYielding || !yields(victim, e) {
		return false
	}
	q.refuseWaiting(now, victim, q.overloadReason(victim.class), "gave way to another workspace")
	return true
}

// admitOneShot decides whether a one-shot call may wait. Since its caller does not
// retry, it may wait while it can be answered by its deadline.
func (q *Queue) admitOneShot(now time.Time, e *Entry) *call.Refusal {
	c := e.class
	wait := q.predictOneShotWait(now, c)
	late := !e.deadline.IsZero() && now.Add(wait+c.serviceTime.duration()).After(e.deadline)
	if c.oneShot.Len() > 0 && late && !q.options.NoPrediction {
		return q.refuse(now, c, q.overloadReason(c), "the wait would be longer than its time")
	}
	if q.waiting < q.cfg.MaxWaiting {
		return nil
	}
	if victim := q.overdueVictim(); victim != nil {
		q.refuseWaiting(now, victim, q.overloadReason(victim.class), "gave way to a call that is not sent again")
		return nil
	}
	if q.displaceLessUrgent(now, e) {
		return nil
	}
	return q.refuse(now, c, q.overloadReason(c), "the queue is full")
}

// canMeetTarget reports whether a call that starts after wait is expected to end
// within its deadline and its class's latency target. The first call of a class
// may always wait: if all were refused, a wrong estimate would never be corrected
// and would lock the class out.
func (q *Queue) canMeetTarget(now time.Time, e *Entry, wait time.Duration) bool {
	c := e.class
	if c.onTime.Len() == 0 {
		return true
	}
	end := wait + c.serviceTime.duration()
	if !e.deadline.IsZero() && now.Add(end).After(e.deadline) {
		return false
	}
	if c.missesTarget() {
		return true // the newest call is the next to start
	}
	budget := c.waitBudget()
	return budget <= 0 || now.Sub(e.FirstAttempt)+wait <= budget
}

// minStartIntervals is how many intervals between starts a prediction needs.
const minStartIntervals = 4

// predictWait estimates how long a new call of c waits: by the drain rate of the
// class where it is known, otherwise by the total waiting work, and at least as
// long as the advertised rate demands.
func (q *Queue) predictWait(now time.Time, c *classState) time.Duration {
	ahead := c.onTime.Len() + 1
	byRate := q.advertised.wait(now, ahead)
	if c.onTimeStarts.interval.count >= minStartIntervals && c.onTime.Len() > 0 {
		return max(byRate, time.Duration(ahead)*c.onTimeStarts.interval.duration())
	}
	var work time.Duration
	for _, other := range q.ordered {
		work += time.Duration(other.onTime.Len()) * other.serviceTime.duration()
	}
	return max(byRate, work/time.Duration(q.Limit()))
}

// victimFor returns the call to refuse when the queue is full, which may be the
// newcomer: a call of the class furthest within its latency target, then one of
// the lowest priority.
func (q *Queue) victimFor(newcomer *Entry) *Entry {
	victim := newcomer
	if q.options.NoYielding {
		return victim
	}
	for _, c := range q.ordered {
		if candidate := c.firstToYield(&c.onTime); candidate != nil && yields(candidate, victim) {
			victim = candidate
		}
	}
	return victim
}

// Bands of the latency ratio. Classes in the same band count as equally far from
// their latency targets, and priority decides between them.
const (
	latencyBandWidth   = 0.25
	highestLatencyBand = 3
)

// yieldsBefore reports whether a yields slots before b does.
func yieldsBefore(a, b *classState) bool {
	if a.latencyBand() != b.latencyBand() {
		return a.latencyBand() < b.latencyBand()
	}
	return a.Priority < b.Priority
}

// latencyBand returns the band of the class's latency ratio. Classes close to
// their latency target or beyond it, and those that refuse calls, share the
// highest band: under lasting overload their queues are cut to calls that can
// meet the target, so their ratios are all close to one and differ by noise only.
func (c *classState) latencyBand() int {
	if c.missesTarget() {
		return highestLatencyBand
	}
	return min(int(c.latencyRatio()/latencyBandWidth), highestLatencyBand)
}

// overloadReason returns the reason to refuse a call of c under overload.
func (q *Queue) overloadReason(c *classState) call.Reason {
	if c.Share > 0 && c.overShare(q.Limit()) {
		return call.ReasonOverShare
	}
	return call.ReasonOverloaded
}

// refuseWaiting removes a waiting call and refuses it by an Event.
func (q *Queue) refuseWaiting(now time.Time, e *Entry, reason call.Reason, detail string) {
	q.dequeue(e)
	e.class.rate.GiveBack(now)
	q.events = append(q.events, Event{Entry: e, Refusal: q.refuse(now, e.class, reason, detail)})
}

// refuse counts a refusal and returns it.
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
		r.RetryAfter = q.retryAfter(now, c)
	}
	return r
}

// retryAfter returns the time in which the queue drains at its present rate and
// within the advertised one, with a jitter of half to one and a half, so that callers
// refused in one burst don't retry in one.
func (q *Queue) retryAfter(now time.Time, c *classState) time.Duration {
	drain := time.Duration(q.waiting+1) * q.completionInterval.duration()
	drain = max(drain, q.predictWait(now, c), q.advertised.wait(now, q.waiting+1))
	spread := 0.5 + q.options.Rand.Float64()
	d := time.Duration(float64(drain) * spread)
	return min(max(d, minRetryAfter), maxRetryAfter)
}
