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

// maxStoredBody bounds the answer body that is stored for resends of a keyed call, in bytes.
const maxStoredBody = 64 << 10

// recordTimeout bounds the recording of a claim's outcome. The call's own deadline no longer
// applies once the call is over.
const recordTimeout = 5 * time.Second

var executions = sync.Pool{New: func() any { return new(execution) }}

func newExecution(b Backend, t *config.Target, now time.Time) *execution {
	h := executions.Get().(*execution)
	h.backend, h.target, h.start = b, t, now
	return h
}

// free returns h to the pool. It must have ended.
func (h *execution) free() {
	*h = execution{}
	executions.Put(h)
}

// errAnswerNotStored means that a keyed call ran, and that its answer was too large to be stored
// for resends. An answer without its body must not be returned as the answer.
var errAnswerNotStored = errors.New("proxy: the answer was not stored")

// errStoreDown means that a keyed call was not run because its claim could not be recorded. It is
// not a refusal: only the platform knows whether an earlier sending of the key ran. A caller that
// got "not run" would apply that to the earlier sending too, and book again under another key. A
// resend under the same key is always safe.
var errStoreDown = errors.New("proxy: the claim could not be recorded")

// captureBody returns a function that collects the answer body for the claim, or nil without a
// claim.
//
// The function reports whether more of the body is wanted, which ends with the call's deadline.
// Otherwise an endless answer whose caller has left would hold its slot, and delay any planned
// shutdown, for as long as the backend server sends.
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

// response builds the answer to a resend from the stored answer.
func (s *Stored) response(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: s.Status, Header: http.Header(s.Header).Clone(),
		ContentLength: int64(len(s.Body)),
		Body:          io.NopCloser(bytes.NewReader(s.Body)), Request: r,
	}
}

// abandon ends a call that was not forwarded.
func (h *execution) abandon(d *Destination) {
	now := d.Now()
	h.releaseSlot(now, limit.Result{Failed: true, NotSent: true})
	h.finishSuspect(d, now, quarantine.Dropped)
	if h.claim != nil {
		d.recordOutcome(h.claim.Abandon)
	}
}

// refusedAtCapacity reports whether a backend server refused the call because it is at capacity.
//
// A backend server that refuses a part of its calls at random, whatever its load, must not count as
// full: its limit would fall to one concurrent call, and this node would refuse nearly all calls
// that the server could run. The load that it reports tells the two cases apart.
func (a *answer) refusedAtCapacity() bool {
	if a.refusal == nil || a.refusal.Reason != call.ReasonBackend {
		return false
	}
	return !a.load.Known || a.load.Busy >= a.load.Slots
}

// endUnanswered ends a call that has no answer.
func (h *execution) endUnanswered(d *Destination, a *answer) {
	now := d.Now()
	h.releaseSlot(now, limit.Result{
		Latency: now.Sub(h.start), Failed: true, Shed: a.refusedAtCapacity(), NotSent: !a.reached(),
	})
	end := runResultOf(a)
	h.finishSuspect(d, now, end)
	// A timeout still counts as a slow run of the backend server.
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

// end ends a call whose answer was relayed with result p.
func (h *execution) end(d *Destination, p relayResult) {
	d.inFlight.Add(-1)
	if h.replayed {
		return // a replay holds neither slot nor claim
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
	// The outcome is written after h was returned to the pool.
	claim, stored := h.claim, *h.stored
	d.recordOutcome(func(ctx context.Context) { claim.Finish(ctx, stored) })
}

func (h *execution) releaseSlot(now time.Time, r limit.Result) {
	h.endLineage(now)
	if h.permit != nil {
		h.permit.Release(r)
		h.permit = nil
	}
}

// runResultOf returns how a run without an answer ended. A run that this node ended, by a timeout
// or because its caller left, is no evidence against the backend server.
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

// recordOutcome writes the outcome of a claim in the background, so that no caller waits for the
// platform after its answer. It does not use the call's context, as the caller may have left and
// the outcome must be written all the same. Wait keeps a planned shutdown from interrupting it.
func (d *Destination) recordOutcome(write func(context.Context)) {
	d.outcomeWrites.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		write(ctx)
	})
}

// Wait returns when the outcomes of all ended calls are recorded.
func (d *Destination) Wait() { d.outcomeWrites.Wait() }
