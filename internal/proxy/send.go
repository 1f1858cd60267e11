package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
)

// attempt sends the call to one endpoint.
func (e *Entry) attempt(ctx context.Context, now time.Time, c *entryCall, ep Endpoint) answer {
	header := c.r.Header
	if c.attempts > 1 || len(c.search.rejected) > 0 {
		// The transport may still be reading the header of the attempt before.
		header = header.Clone()
	}
	if c.attempts > 1 || c.parentRetried {
		header[retry.HeaderRetried] = []string{"1"}
	}
	h := hop{
		left: e.attemptTimeout(c, now), class: c.target.Name, service: c.target.Service, instance: ep.Instance,
		waited: now.Sub(c.firstAttempt), oneShot: e.returning.oneShot(c.target.Name), noWait: c.search.scope != NoSearch,
	}
	if h.left <= 0 {
		return answer{refusal: refuse(call.ReasonExpired, 0, "")}
	}
	h.settled = c.settled()
	if e.Local != nil && ep.VM == e.Self {
		a := e.Local.do(ctx, now, &inbound{r: c.r, header: header, body: &c.body, hop: h, deadline: now.Add(h.left)})
		return c.correctExpired(now, h.left, a)
	}
	if h.settled {
		header[headerSettled] = settledValue
	}
	setWaited(header, h.waited)
	if h.oneShot {
		header[headerOnce] = onceValue
	}
	delete(header, headerNoWait) // of the offer before
	if h.noWait {
		header[headerNoWait] = noWaitValue
	}
	if e.Local != nil {
		e.Local.Link.setLinkRate(header)
	}
	a := e.Upstreams.send(ctx, now, &outbound{
		in: c.r, header: header, body: &c.body, addr: ep.Addr, vm: ep.VM, answerTimeout: h.left, stallTimeout: stallTimeoutOf(c.target),
		extra: AttemptHeaders{{call.HeaderHop, h.String()}},
	})
	return c.correctExpired(now, h.left, readNodeResponse(a))
}

// ofPart corrects a refusal that says that the deadline passed, when only the
// attempt's part of the time has.
//
// An idempotent call waits in the queue of an endpoint whose slots are held by
// calls on silent connections. After half of its time the endpoint drops it as
// expired. The deadline of the call itself is still ahead: the endpoint had no
// room in time, and another may have.
//
// An attempt that had all of the time is left as it is. Its destination drops it
// a moment before the deadline, so that the refusal still arrives; another
// attempt in that moment could only end as one that may have run.
func (c *entryCall) correctExpired(sent time.Time, left time.Duration, a answer) answer {
	part := sent.Add(left).Before(c.deadline)
	if part && a.refusal != nil && a.refusal.Reason == call.ReasonExpired {
		a.refusal = refuse(call.ReasonOverloaded, 0, "no room within the attempt's part of the time")
	}
	return a
}

// patience is how long an attempt may take to begin its answer. An idempotent
// call keeps half of its time for another attempt, so that one connection that
// went silent does not cost its caller the answer.
//
// The first attempt has half as much again as the answer time that its class
// aims at. With less, calls that wait their turn at a busy backend server, as
// their class allows, would be cut off when they are about to be answered: the
// work is lost, done again elsewhere, and the endpoint counted as failing.
func (e *Entry) attemptTimeout(c *entryCall, now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if e.NoAttemptTimeout {
		return left
	}
	if c.target.Idempotent && c.attempts == 1 && c.body.replayable() {
		return min(left, max(left/2, c.target.AnswerWithin()*3/2))
	}
	return left
}

// readNode takes from a node's answer what is meant for this node.
func readNodeResponse(a answer) answer {
	if a.resp == nil {
		return a
	}
	wait := parseLinkWait(a.resp.Header)
	if r := refusedByNode(a.resp.Header); r != nil {
		discard(a.resp)
		return answer{refusal: r, linkWait: wait}
	}
	if kind := first(a.resp.Header, headerUnknown); kind != "" {
		discard(a.resp)
		return answer{err: &unknownError{unknownKind(kind)}}
	}
	a.load = parseLoad(a.resp.Header)
	a.linkWait = wait
	a.took = parseDestinationTimes(a.resp.Header)
	dropHopByHop(a.resp.Header)
	dropInternal(a.resp.Header)
	return a
}

// discard reads the short body of a problem document, which keeps the
// connection for the next call.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxProblemBody)
	resp.Body.Close()
}

const maxProblemBody = 4 << 10
