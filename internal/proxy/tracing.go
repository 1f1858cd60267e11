package proxy

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Tracer makes a span for each hop. A nil Tracer makes none, costs nothing,
// and leaves the caller's W3C headers as they are, so that a trace of the
// callers and the backend servers holds together.
type Tracer struct {
	tracer trace.Tracer
	w3c    propagation.TraceContext
}

// NewTracer returns a Tracer, or nil if p records nothing.
func NewTracer(p trace.TracerProvider) *Tracer {
	if p == nil {
		return nil
	}
	if _, off := p.(noop.TracerProvider); off {
		return nil
	}
	return &Tracer{tracer: p.Tracer("marlpass/proxy")}
}

// span is the span of one hop, or nothing.
type span struct{ s trace.Span }

// startRemote starts a span under that of whoever sent r, and writes it to r's
// header for the next hop. An unsampled span is passed on too: the decision
// not to sample must reach the others.
func (t *Tracer) startRemote(r *http.Request, name, class string) (context.Context, span) {
	ctx := r.Context()
	if t == nil {
		return ctx, span{}
	}
	ctx = t.w3c.Extract(ctx, propagation.HeaderCarrier(r.Header))
	ctx, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("marlpass.class", class)))
	t.w3c.Inject(ctx, propagation.HeaderCarrier(r.Header))
	return ctx, span{s}
}

// outcome notes how the hop ended.
func (s span) outcome(a *answer) {
	if s.s == nil || !s.s.IsRecording() {
		return
	}
	s.s.SetAttributes(attribute.String("marlpass.outcome", a.outcome().String()))
	switch {
	case a.refusal != nil:
		s.s.SetStatus(codes.Error, string(a.refusal.Reason))
	case a.err != nil:
		s.s.SetStatus(codes.Error, a.err.Error())
	default:
		s.s.SetAttributes(attribute.Int("http.response.status_code", a.resp.StatusCode))
	}
}

func (s span) end() {
	if s.s != nil {
		s.s.End()
	}
}
