package proxy

import (
	"context"
	"net/http"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
)

// forward sends the call to the backend server. It removes the Expect header, which applies between
// nodes only: backend servers that do not support it would each cost a second.
//
// A keyed call runs to its end, within its deadline, even if its caller leaves. That caller has
// most likely lost its connection and will retry. If the backend server were interrupted, the retry
// could only get an unknown outcome.
func (d *Destination) forward(ctx context.Context, in *inbound, h *execution) answer {
	now := d.Now()
	remaining := in.deadline.Sub(now)
	if remaining <= 0 {
		return answer{refusal: refuse(call.ReasonExpired, 0, "")}
	}
	if h.claim != nil && h.claim.Started(ctx) != nil {
		return answer{refusal: refuse(call.ReasonExpired, 0, "the claim lapsed before the call was run")}
	}
	if refusal := d.rolloutBegin(now, h); refusal != nil {
		return answer{refusal: refusal}
	}
	h.start = now
	server := d.completion.Find(h.backend.Instance, h.backend.Started)
	slowdown := server.Slowdown(now)
	delete(in.header, "Expect")
	if h.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	extra := d.Dialect.AttemptHeaders(remaining, h.backend.Instance)
	d.beginLineage(now, in, h, &extra)
	a := d.Upstreams.send(ctx, now, &outbound{
		in: in.r, header: in.header, body: in.body, addr: h.backend.Addr, answerTimeout: remaining, stallTimeout: stallTimeoutOf(h.target),
		newConn: in.hop.newConn, extra: extra,
	})
	if a.resp == nil {
		return a
	}
	read := d.Dialect.ReadResponse(in.header, a.resp)
	if d.Advertisements != nil && read.Advertised.Known {
		d.Advertisements.Observe(d.Now(), now, h.backend, read.Advertised)
	}
	switch {
	case read.Refusal != nil:
		unrelayed := a.unrelayedAs(&read)
		// Reads the short rest, so that the connection can be reused.
		discard(a.resp)
		return answer{refusal: read.Refusal, load: read.Load, unrelayed: unrelayed}
	case read.Err != nil:
		unrelayed := a.unrelayedAs(&read)
		a.abort()
		return answer{err: read.Err, unrelayed: unrelayed}
	}
	a.load = read.Load
	d.recordRun(h, a.resp.StatusCode, read.Load, slowdown)
	dropHopByHop(a.resp.Header)
	dropInternal(a.resp.Header)
	h.status, h.answeredAt = a.resp.StatusCode, d.Now()
	if h.stored != nil {
		h.stored.Status = a.resp.StatusCode
		h.stored.Header = a.resp.Header.Clone()
	}
	a.held = h
	return d.spool(a, h)
}

// spool buffers the whole answer if possible, and then releases the backend server's slot.
func (d *Destination) spool(a answer, h *execution) answer {
	tried, err := d.Spool.read(a.resp)
	if !tried {
		return a
	}
	if err != nil {
		return answer{err: err}
	}
	now := d.Now()
	failed := h.status >= http.StatusInternalServerError
	h.releaseSlot(now, limit.Result{Latency: now.Sub(h.start), Failed: failed})
	return a
}
