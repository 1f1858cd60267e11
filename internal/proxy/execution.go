package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// maxStoredBody bounds the answer that is kept for the resends of a keyed call.
const maxStoredBody = 64 << 10

// recordBound is how long the outcome of a claim may take to be recorded once
// the call itself is over, when its own deadline no longer counts.
const recordTimeout = 5 * time.Second

var executions = sync.Pool{New: func() any { return new(execution) }}

func newExecution(b Backend, t *config.Target, now time.Time) *execution {
	h := executions.Get().(*execution)
	h.backend, h.target, h.start = b, t, now
	return h
}

// free gives h back for another call. It must have ended.
func (h *execution) free() {
	*h = execution{}
	executions.Put(h)
}

// errNotKept means that a keyed call ran, and that its answer was too large to
// be kept for resends. An answer without its body must not pass for the answer.
var errAnswerNotStored = errors.New("proxy: the answer was not kept")

// errStoreDown means that a keyed call was not run since no claim could be
// recorded. It is no refusal: whether an earlier sending of the key ran is
// written in the platform alone, and a caller told "not run" then would believe
// it of that sending too, and book anew under another key. A resend under the
// same key is safe in any case.
var errStoreDown = errors.New("proxy: the claim could not be recorded")

// keep returns what collects the answer for the claim, or nil.
//
// The answer is wanted until the call's deadline. It guards against an endless
// one, whose caller has left: it would hold its slot, and any planned stop, for
// as long as the backend server sends.
func (h *execution) captureBody(now func() time.Time) func([]byte) (wanted bool) {
	if h == nil || h.stored == nil {
		return nil
	}
	return func(p []byte) bool {
		h.stored.appendBody(p)
		return now().Before(h.deadline)
	}
}

func (s *Stored) appendBody(p []byte) {
	if s.TooLarge || len(s.Body)+len(p) > maxStoredBody {
		s.TooLarge, s.Body = true, nil
		return
	}
	s.Body = append(s.Body, p...)
}

// response builds the answer to a resend from what was stored.
func (s *Stored) response(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: s.Status, Header: http.Header(s.Header).Clone(),
		ContentLength: int64(len(s.Body)),
		Body:          io.NopCloser(bytes.NewReader(s.Body)), Request: r,
	}
}

// abandon ends a call that was not sent on.
func (h *execution) abandon(d *Destination) {
	now := d.Now()
	h.releaseSlot(now, limit.Result{Failed: true})
	h.finishSuspect(d, now, quarantine.Dropped)
	if h.claim != nil {
		d.recordOutcome(h.claim.Abandon)
	}
}

// full reports whether a backend server refused for want of room.
//
// One that refuses a part of its calls at random, whatever its load, must not be
// taken for full: its limit would fall to one call at a time, and nearly all that
// it could run would be refused here. Its word on its load tells the two apart.
func (a *answer) refusedAtCapacity() bool {
	if a.refusal == nil || a.refusal.Reason != call.ReasonBackend {
		return false
	}
	return !a.load.Known || a.load.Busy >= a.load.Slots
}

// failed ends a call that has no answer.
func (h *execution) endUnanswered(d *Destination, a *answer) {
	now := d.Now()
	h.releaseSlot(now, limit.Result{Latency: now.Sub(h.start), Failed: true, Shed: a.refusedAtCapacity()})
	end := runResultOf(a)
	h.finishSuspect(d, now, end)
	// One that ran into its bound says of the backend server that it took so long.
	if end == quarantine.Broken || a.expired {
		d.rolloutEnded(now, h, !a.expired)
	}
	if h.claim == nil {
		return
	}
	if a.refusal != nil {
		d.recordOutcome(h.claim.Abandon)
		return
	}
	d.recordOutcome(h.claim.Lost)
}

// end ends a call whose answer was passed on as p tells.
func (h *execution) end(d *Destination, p relayResult) {
	d.inFlight.Add(-1)
	if h.replayed {
		return // nothing was held
	}
	now := d.Now()
	failed := p.partial || h.status >= http.StatusInternalServerError
	h.releaseSlot(now, limit.Result{Latency: now.Sub(h.start), Failed: failed})
	d.rolloutEnded(h.answeredAt, h, failed)
	end := quarantine.Answered
	if p.partial {
		end = quarantine.Broken
	}
	h.finishSuspect(d, now, end)
	if d.Meters != nil {
		d.Meters.Class(h.target).Answered(now, now.Sub(h.start), failed)
	}
	if h.claim == nil {
		return
	}
	if p.partial {
		d.recordOutcome(h.claim.Lost)
		return
	}
	// The record is written after h is given back.
	claim, stored := h.claim, *h.stored
	d.recordOutcome(func(ctx context.Context) { claim.Finish(ctx, stored) })
}

func (h *execution) releaseSlot(_ time.Time, r limit.Result) {
	if h.permit != nil {
		h.permit.Release(r)
		h.permit = nil
	}
}

// endOf tells how a run without an answer ended. One that this node ended, since
// its bound passed or its caller left, says nothing of the backend server.
func runResultOf(a *answer) quarantine.RunResult {
	if a.refusal != nil || a.expired || errors.Is(a.err, context.Canceled) {
		return quarantine.Dropped
	}
	return quarantine.Broken
}

func (h *execution) finishSuspect(d *Destination, now time.Time, end quarantine.RunResult) {
	if h.suspectStarted {
		h.suspectStarted = false
		d.Suspects.Done(now, h.backend, h.suspectToken, end)
	}
}

// record writes the outcome of a claim beside the call, so that no caller waits
// for the platform once its answer is there. The caller may have gone by now,
// and its context with it; the record must be written all the same, and Wait
// keeps a planned stop from cutting it off.
func (d *Destination) recordOutcome(write func(context.Context)) {
	d.outcomeWrites.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		write(ctx)
	})
}

// Wait returns when the outcomes of all calls that have ended are recorded.
func (d *Destination) Wait() { d.outcomeWrites.Wait() }
