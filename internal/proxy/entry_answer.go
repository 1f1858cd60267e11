package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
)

// answer passes the answer on and reports it.
func (e *Entry) answer(w http.ResponseWriter, c *entryCall, choice Choice, a *answer, sent time.Time) {
	first := e.Now().Sub(sent)
	endpoint := choice.Endpoint().ID // the choice is used again after Done
	p := relayResult{partial: true}  // should relay panic
	defer func() {
		now := e.Now()
		rep := report(a, first)
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

// refuse tells the caller that its call was not run, unless an earlier attempt
// may have run. An idempotent call is sent again after such an attempt; when
// the next one is refused, that refusal speaks for the attempt alone, and a
// caller told "not run" would believe it of the call.
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
	e.returning.recordRefusal(e.Now(), c, r.RetryAfter)
	c.body.closeUnlessRead(c.r, w.Header())
	writeCallerRefusal(w, r, e.Dialect)
}

var finalValue = []string{"1"}

// giveUp tells the caller what is known of the last attempt, and when to come
// back. A backend server that is told so for a call of its own can pass the
// mark on with its refusal, and no node further up will retry in vain.
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

// unknown tells the caller that its call may have run.
func (e *Entry) unknown(w http.ResponseWriter, c *entryCall) {
	now := e.Now()
	if unknownKindOf(c.unknownErr) == unknownStoreDown {
		// The sending itself was refused; it is no failed answer.
		c.class.Refused(now, call.ReasonStoreDown)
	} else {
		c.class.Answered(now, now.Sub(c.start), true)
	}
	e.logUnknown(now, c)
	c.body.closeUnlessRead(c.r, w.Header())
	writeUnknown(w, c.unknownErr)
}

// report tells the picker how an attempt went.
func report(a *answer, latency time.Duration) Report {
	r := Report{Outcome: a.outcome(), Latency: latency, Load: a.load, LinkWait: a.linkWait}
	switch {
	case a.refusal != nil:
		r.Refused = a.refusal.Reason
	case a.err != nil && isEarlierSending(unknownKindOf(a.err)):
		// It is the key's earlier sending that may have run. This attempt
		// reached no backend server, and a client that sends one lost key
		// over and over must not make its endpoint look like a failing one.
		r.Outcome = call.NotRun
	case errors.Is(a.err, context.Canceled):
		// The caller left, which says nothing of the endpoint. Counted as
		// failures, impatient callers would have its healthy endpoints ejected.
		r.Cancelled = true
	case a.err != nil:
		r.Failed = true
	default:
		r.Failed = a.resp.StatusCode >= http.StatusInternalServerError
	}
	return r
}
