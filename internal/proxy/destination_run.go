package proxy

import (
	"context"
	"net/http"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
)

// forward sends the call to the backend server. It drops Expect, which was
// between nodes: not every backend server answers it, and each that does not
// would cost a second.
//
// A keyed call runs to its end, within its deadline, when its caller leaves:
// that caller has most likely lost its connection and will send the call again,
// and stopping the backend server half way would leave it nothing to be told
// but "unknown".
func (d *Destination) forward(ctx context.Context, in *inbound, h *holding) answer {
	now := d.Now()
	left := in.deadline.Sub(now)
	if left <= 0 {
		return answer{refusal: refuse(call.ReasonExpired, 0, "")}
	}
	if h.claim != nil && h.claim.Started(ctx) != nil {
		return answer{refusal: refuse(call.ReasonExpired, 0, "the claim lapsed before the call was run")}
	}
	if refusal := d.began(now, h); refusal != nil {
		return answer{refusal: refusal}
	}
	h.start = now
	delete(in.header, "Expect")
	if h.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	a := d.Upstreams.send(ctx, now, &outbound{
		in: in.r, header: in.header, body: in.body, addr: h.backend.Addr, answerTimeout: left, stallTimeout: stallTimeoutOf(h.target),
		extra: d.Dialect.AttemptHeaders(left, h.backend.Instance),
	})
	if a.resp == nil {
		return a
	}
	read := d.Dialect.ReadResponse(in.header, a.resp)
	switch {
	case read.Refusal != nil:
		// The rest is short, and read for the connection to be used again.
		discard(a.resp)
		return answer{refusal: read.Refusal, load: read.Load}
	case read.Err != nil:
		a.abort()
		return answer{err: read.Err}
	}
	a.load = read.Load
	dropHopByHop(a.resp.Header)
	dropInternal(a.resp.Header)
	h.status, h.answered = a.resp.StatusCode, d.Now()
	if h.stored != nil {
		h.stored.Status = a.resp.StatusCode
		h.stored.Header = a.resp.Header.Clone()
	}
	a.held = h
	return d.spool(a, h)
}

// spool reads the answer whole, where that is asked for, and frees the backend
// server's slot.
func (d *Destination) spool(a answer, h *holding) answer {
	tried, err := d.Spool.read(a.resp)
	if !tried {
		return a
	}
	if err != nil {
		return answer{err: err}
	}
	now := d.Now()
	failed := h.status >= http.StatusInternalServerError
	h.release(now, limit.Result{Latency: now.Sub(h.start), Failed: failed})
	return a
}
