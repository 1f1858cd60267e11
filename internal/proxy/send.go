package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/retry"
)

// attempt sends the call to one endpoint.
func (e *Entry) attempt(ctx context.Context, now time.Time, c *entryCall, ep Endpoint) answer {
	header := c.r.Header
	if c.attempts > 1 || len(c.search.rejected) > 0 {
		// The transport may still be reading the header of the previous attempt.
		header = header.Clone()
	}
	if e.marksRetried(c) {
		header[retry.HeaderRetried] = []string{"1"}
	}
	h := hop{
		left: e.attemptTimeout(c, now), class: c.target.Name, service: c.target.Service, instance: ep.Instance,
		waited: now.Sub(c.firstAttempt), oneShot: e.returning.oneShot(c.target.Name), noWait: c.search.scope != NoSearch,
		mayDecline: e.mayDecline(c), newConn: slices.Contains(c.rejectedAt, ep.VM),
	}
	if h.left <= 0 {
		return answer{refusal: refuse(call.ReasonExpired, 0, "")}
	}
	h.settled = c.settled()
	if e.Local != nil && ep.VM == e.Self {
		delete(header, headerRoot) // of an attempt at another node; it names the root's workspace
		a := e.Local.do(ctx, now, &inbound{r: c.r, header: header, body: &c.body, hop: h, deadline: now.Add(h.left), root: c.root})
		return c.correctExpired(now, h.left, a)
	}
	if h.settled {
		header[headerSettled] = settledValue
	}
	setWaited(header, h.waited)
	setRoot(header, now, &c.root)
	if h.oneShot {
		header[headerOnce] = onceValue
	}
	if h.newConn {
		header[headerNewConn] = newConnValue
	}
	e.advertised.setHeader(header, ep.ID)
	delete(header, headerNoWait) // of the previous offer
	if h.noWait {
		header[headerNoWait] = noWaitValue
		if h.mayDecline {
			header[headerNoWait] = noWaitDeclineValue
		}
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

// correctExpired turns a refusal as expired into one as overloaded if only the attempt's part of the
// time has passed, not the call's deadline.
//
// This happens to an idempotent call that queues at an endpoint whose slots are held by calls on
// silent connections: the endpoint drops it as expired after half of the call's time. Another
// endpoint may still have room.
//
// An attempt that had all of the remaining time is left unchanged. Its destination drops it shortly
// before the deadline so that the refusal still arrives; a retry at that point could only end with
// an unknown outcome.
func (c *entryCall) correctExpired(sent time.Time, left time.Duration, a answer) answer {
	part := sent.Add(left).Before(c.deadline)
	if part && a.refusal != nil && a.refusal.Reason == call.ReasonExpired {
		a.refusal = refuse(call.ReasonOverloaded, 0, "no room within the attempt's part of the time")
	}
	return a
}

// attemptTimeout returns how long an attempt may take until its answer begins. An idempotent call
// reserves half of its time for another attempt, so that it survives one silent connection.
//
// The first attempt gets at least 1.5 times the latency target of its class. With less, calls that
// queue at a busy backend server for as long as their class allows would be cut off shortly before
// their answer: the work is lost and repeated elsewhere, and the endpoint counts as failing.
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

// readNodeResponse extracts and removes the headers of a node's answer that are meant for this node.
func readNodeResponse(a answer) answer {
	if a.resp == nil {
		return a
	}
	wait := parseLinkWait(a.resp.Header)
	advertised := parseNodeAdvertised(a.resp.Header)
	run := completion.ParseRun(first(a.resp.Header, headerRun))
	if r := refusedByNode(a.resp.Header); r != nil {
		discard(a.resp)
		slotsFree := first(a.resp.Header, headerSlotsFree) != ""
		return answer{refusal: r, linkWait: wait, advertised: advertised, slotsFree: slotsFree, expectedRun: run}
	}
	if kind := first(a.resp.Header, headerUnknown); kind != "" {
		discard(a.resp)
		return answer{err: &unknownError{unknownKind(kind)}, advertised: advertised}
	}
	a.advertised = advertised
	a.load = parseLoad(a.resp.Header)
	a.linkWait = wait
	a.expectedRun = run
	a.took = parseDestinationTimes(a.resp.Header)
	dropHopByHop(a.resp.Header)
	dropInternal(a.resp.Header)
	return a
}

// discard reads the short body of a problem document, so that the connection can be reused. One that
// is neither short nor sent at once is cut off.
func discard(resp *http.Response) {
	if b, ok := resp.Body.(*answerBody); ok {
		b.endsAt = time.Now().Add(discardTimeout)
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProblemBody)
	resp.Body.Close()
}

const (
	maxProblemBody = 4 << 10
	discardTimeout = 200 * time.Millisecond
)
