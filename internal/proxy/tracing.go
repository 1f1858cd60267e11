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

// Tracer creates a span for each hop. A nil Tracer creates none, costs nothing, and leaves the
// caller's W3C trace headers unchanged, so that traces of the callers and the backend servers stay
// connected.
type Tracer struct {
	tracer trace.Tracer
	w3c    propagation.TraceContext
}

// NewTracer returns a Tracer, or nil if p is nil or a no-op provider.
func NewTracer(p trace.TracerProvider) *Tracer {
	if p == nil {
		return nil
	}
	if _, off := p.(noop.TracerProvider); off {
		return nil
	}
	return &Tracer{tracer: p.Tracer("marlpass/proxy")}
}

// span is the span of one hop; the zero value records nothing.
type span struct{ s trace.Span }

// startRemote starts a span as a child of the span in r's header, and writes it to that header for
// the next hop. An unsampled span is propagated too, as the next hops must follow the sampling
// decision.
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

// outcome records how the hop ended.
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
