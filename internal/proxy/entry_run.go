package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
	"github.com/marlpass/marlpass/internal/wait"
)

// run makes attempts until one is answered or no retry is allowed.
func (e *Entry) run(ctx context.Context, w http.ResponseWriter, c *entryCall, s span) {
	var last *call.Refusal
	for {
		now := e.Now()
		choice, err := e.pick(now, c)
		if err != nil {
			w.Header()[retry.HeaderFinal] = finalValue
			e.refuse(w, c, pickRefusal(err, last))
			return
		}
		c.attempts++
		ep := choice.Endpoint()
		a := e.attempt(ctx, now, c, ep)
		s.outcome(&a)
		a.expectedRun.Class = c.target.Name
		e.recordOffer(c, &a)
		e.advertised.record(e.Now(), now, ep.ID, &a)
		if a.resp != nil {
			e.answer(w, c, choice, &a, now)
			return
		}
		choice.Done(e.Now(), report(&a, e.Now().Sub(now)))
		if c.search.foundNoSlot(&a) && ctx.Err() == nil {
			c.search.reject(ep.ID)
			c.attempts-- // an offer in the slot search doesn't count as an attempt, since nothing ran
			continue
		}
		e.recordUnanswered(c, ep, &a)
		last = a.refusal
		d := e.decideRetry(ctx, c, &a)
		if !d.Retry {
			e.giveUp(w, c, &a, d)
			return
		}
		e.logRetry(c, ep, &a, d)
	}
}

// recordUnanswered records the result of an attempt without an answer for the next attempt.
func (e *Entry) recordUnanswered(c *entryCall, ep Endpoint, a *answer) {
	if a.reached() {
		c.reached++
	}
	c.tried = append(c.tried, ep.ID)
	if isUnavailable(a.refusal) {
		c.unavailable = append(c.unavailable, ep.ID)
	}
	if !c.target.Idempotent && a.rejectedByBackend() {
		c.rejectedAt = append(c.rejectedAt, ep.VM)
	}
	c.notePinned(a, ep)
	if a.err != nil {
		c.unknownErr = a.err
	}
	if a.connBroke() {
		e.recordBroken(c, ep)
	}
}

// overdue reports whether c has taken longer than the latency target of its class.
func (c *entryCall) overdue(now time.Time) bool {
	latencyTarget := c.target.AnswerWithin()
	return latencyTarget > 0 && now.Sub(c.firstAttempt) > latencyTarget
}

// priority returns the priority of c's workspace, or else that of its class.
func (c *entryCall) priority() int {
	if c.workspace != nil && c.workspace.Priority != 0 {
		return c.workspace.Priority
	}
	return c.target.PriorityOrDefault()
}

// targetRemaining returns the time until c misses the latency target of its class, or zero without
// a target.
func (c *entryCall) targetRemaining(now time.Time) time.Duration {
	latencyTarget := c.target.AnswerWithin()
	if latencyTarget == 0 {
		return 0
	}
	return c.firstAttempt.Add(latencyTarget).Sub(now)
}

// recordBroken reports to Suspects that the connection to ep broke during the call, and updates
// whether the next attempt runs isolated.
func (e *Entry) recordBroken(c *entryCall, ep Endpoint) {
	if e.Suspects == nil {
		return
	}
	now := e.Now()
	e.Suspects.Broke(now, c.fp, ep.ID)
	c.isolated = e.Suspects.Isolated(now, c.fp)
}

// decideRetry decides whether the call is retried, and waits for the backoff.
func (e *Entry) decideRetry(ctx context.Context, c *entryCall, a *answer) retry.Decision {
	now := e.Now()
	d := e.Retrier.Decide(c.target.Service, retry.Input{
		Now: now, Outcome: a.outcome(), Idempotent: c.target.Idempotent,
		Attempt: c.attempts, Elapsed: now.Sub(c.start), Remaining: c.deadline.Sub(now),
		Reached: c.reached, MaxReached: c.target.Attempts,
		Refusal: a.refusal, BodyReplayable: c.body.replayable(),
		Final:         a.refusal != nil && a.refusal.Detail == detailDeep,
		ParentRetried: c.parentRetried, TriedAll: e.Pickers.TriedAll(now, c.target, c.tried),
		OneShot: e.returning.oneShot(c.target.Name), Overdue: c.overdue(now),
		TargetRemaining: c.targetRemaining(now), Waited: now.Sub(c.firstAttempt),
		SlotsFree: a.rejectedWithFreeSlots(), Priority: c.priority(),
	})
	if d.Retry && e.Suspects != nil && e.Suspects.Blocked(now, c.fp) != nil {
		d.Retry = false
	}
	d.Retry = d.Retry && wait.For(ctx, d.Backoff) == nil
	return d
}
