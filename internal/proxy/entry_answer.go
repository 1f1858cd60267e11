package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
)

// lateBodyGrace is how long after its caller stops waiting an answer is still relayed. A body may go on
// without end, and holds a slot.
const lateBodyGrace = 200 * time.Millisecond

// answer relays the answer to the caller and records its outcome.
func (e *Entry) answer(w http.ResponseWriter, c *entryCall, choice Choice, a *answer, sent time.Time) {
	latency := e.Now().Sub(sent)
	endpoint := choice.Endpoint().ID // Done recycles choice
	p := relayResult{partial: true}  // in case relay panics
	defer func() {
		now := e.Now()
		rep := report(a, latency)
		rep.Failed = rep.Failed || p.partial
		rep.Bytes = p.bytes
		choice.Done(now, rep)
		c.class.Answered(now, now.Sub(c.start), rep.Failed)
		e.Meters.latencyParts.add(c.target.Service, now.Sub(c.start), a.took)
		e.logAnswer(now, c, endpoint, a, p)
		if e.Suspects != nil && !p.partial {
			e.Suspects.Answered(now, c.fp)
		}
	}()
	c.body.closeUnlessRead(c.r, w.Header())
	if !c.callerLeaves.IsZero() && (a.held == nil || a.held.claim == nil) {
		a.endBodyAt(c.callerLeaves.Add(lateBodyGrace))
	}
	if a.held != nil {
		p = e.Local.relayAnswer(w, a)
	} else {
		p = relay(w, a.resp, nil)
		a.resp.Body.Close()
	}
	if p.partial || p.readerGone {
		c.body.abort()
	}
}

// refuse answers that the call was not run, unless an earlier attempt may have run. An idempotent
// call is retried after such an attempt; a refusal of the retry says nothing about the earlier
// attempt, so the call as a whole must not be reported as not run.
func (e *Entry) refuse(w http.ResponseWriter, c *entryCall, r *call.Refusal) {
	if c.unknownErr != nil {
		e.unknown(w, c)
		return
	}
	e.refund(c)
	if c.class != nil {
		c.class.Refused(e.Now(), r.Reason)
	} else {
		e.Meters.RefusedUnmatched(r.Reason)
	}
	e.logRefusal(c, r)
	e.returning.recordRefusal(e.Now(), c, r)
	c.body.closeUnlessRead(c.r, w.Header())
	writeCallerRefusal(w, r, e.Dialect)
}

var finalValue = []string{"1"}

// giveUp answers with the result of the last attempt and a retry delay, and sets retry.HeaderFinal.
// A backend server that gets the header for a call of its own can pass it on with its refusal, so
// that nodes further up the call chain don't retry in vain.
func (e *Entry) giveUp(w http.ResponseWriter, c *entryCall, a *answer, d retry.Decision) {
	w.Header()[retry.HeaderFinal] = finalValue
	if a.refusal != nil {
		r := *a.refusal
		r.RetryAfter = max(r.RetryAfter, d.RetryAfter)
		e.refuse(w, c, &r)
		return
	}
	e.unknown(w, c)
}

// unknown answers that the call may have run.
func (e *Entry) unknown(w http.ResponseWriter, c *entryCall) {
	now := e.Now()
	if unknownKindOf(c.unknownErr) == unknownStoreDown {
		// This attempt was refused and isn't a failed answer.
		c.class.Refused(now, call.ReasonStoreDown)
	} else {
		c.class.Answered(now, now.Sub(c.start), true)
	}
	e.logUnknown(now, c)
	c.body.closeUnlessRead(c.r, w.Header())
	writeUnknown(w, c.unknownErr)
}

// report returns the result of an attempt for the picker.
func report(a *answer, latency time.Duration) Report {
	r := Report{Outcome: a.outcome(), Latency: latency, Load: a.load, LinkWait: a.linkWait, Advertised: a.advertised, Run: a.expectedRun}
	switch {
	case a.refusal != nil:
		r.Refused, r.RetryAfter = a.refusal.Reason, a.refusal.RetryAfter
	case a.err != nil && isEarlierSending(unknownKindOf(a.err)):
		// An earlier call with the key may have run, but this attempt reached no
		// backend server. A client that keeps resending a key with an unknown
		// outcome must not count against the endpoint.
		r.Outcome = call.NotRun
	case errors.Is(a.err, context.Canceled):
		// The caller left, which isn't a fault of the endpoint. Counting it as a
		// failure would eject healthy endpoints whose callers have short timeouts.
		r.Cancelled = true
	case a.err != nil:
		r.Failed = true
	default:
		r.Failed = a.resp.StatusCode >= http.StatusInternalServerError
	}
	return r
}
