package limit

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A backend server that advertises a rate limit gets no more calls than that, however many slots it
// has free. Calls wait for their turn as they wait for a slot, in the same order. Held here, beside
// the backend server, the limit needs no agreement between the nodes that calls come from.

// refuseBeyondRate refuses a call that would stop waiting before the advertised rate lets it start,
// and returns nil for any other.
func (q *Queue) refuseBeyondRate(now time.Time, e *Entry) *call.Refusal {
	if e.NoWait || !q.advertised.rate.Present {
		return nil
	}
	start := now.Add(q.advertised.wait(now, q.callsAhead(e)+1))
	waitsLongEnough := e.waitUntil.IsZero() || !start.After(e.waitUntil)
	if start.Equal(now) || waitsLongEnough && !e.class.tooLateToRun(e, start) {
		return nil
	}
	e.class.stats.OverBackendRate++
	e.class.window.refused++
	return &call.Refusal{Reason: call.ReasonBackendRate, RetryAfter: q.retryAfter(now, e.class), Detail: q.advertised.describe(now)}
}

// callsAhead returns how many waiting calls start before a new call e for certain.
func (q *Queue) callsAhead(e *Entry) int {
	oneShot, waiting := 0, 0
	for _, c := range q.ordered {
		oneShot += c.oneShot.Len()
		waiting += c.queued()
	}
	switch {
	case e.OneShot:
		return e.class.oneShot.Len()
	case e.overdue:
		return waiting - e.class.overdue.Len()
	}
	return oneShot + e.class.onTime.Len()
}

// describe returns the limit in force, for logs.
func (l *advertisedLimit) describe(now time.Time) string {
	return fmt.Sprintf("the backend server accepts %g calls a second, last advertised %v ago",
		l.rate.PerSecond, now.Sub(l.confirmed).Round(time.Millisecond))
}

// AtRateLimit reports whether the advertised rate lets no call start now.
func (q *Queue) AtRateLimit(now time.Time) bool { return !q.advertised.allows(now) }

// WakeAfter returns how long it takes until the advertised rate lets a waiting call start, for which
// a slot is free. Zero means that none waits for that.
func (q *Queue) WakeAfter(now time.Time) time.Duration {
	if q.waiting == 0 || q.running >= q.Limit() {
		return 0
	}
	return q.advertised.wait(now, 1)
}

// Wake starts the calls that waited for the advertised rate.
func (q *Queue) Wake(now time.Time) { q.dispatch(now) }

// isCurrent reports whether an incarnation of the backend server is the one that is configured, as far
// as both are known.
func (q *Queue) isCurrent(incarnation int64) bool {
	return incarnation == 0 || q.cfg.Incarnation == 0 || incarnation == q.cfg.Incarnation
}
