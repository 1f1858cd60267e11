package proxy

import (
	"net/http"
	"strings"
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"
)

const traceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestSpanForEachHop(t *testing.T) {
	rec := tracetest.NewSpanRecorder()
	tr := NewTracer(sdk.NewTracerProvider(sdk.WithSpanProcessor(rec)))
	seen := make(chan string, 1)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") })
	m.entry.Tracer, m.dest[0].Tracer = tr, tr
	m.useOnly(0)
	if _, _, err := m.call("POST", "/", "x", "Traceparent", traceParent); err != nil {
		t.Fatal(err)
	}
	at := <-seen
	if !strings.HasPrefix(at, traceParent[:36]) || at == traceParent {
		t.Fatalf("the backend server received %q", at)
	}
	names := map[string]bool{}
	for _, s := range rec.Started() {
		names[s.Name()] = true
		if s.SpanContext().TraceID().String() != traceParent[3:35] {
			t.Fatalf("span %s is of another trace", s.Name())
		}
	}
	if !names["entry"] || !names["destination"] {
		t.Fatalf("spans: %v", names)
	}
}

// Without tracing the caller's trace context is forwarded unchanged, so that traces of the callers
// and the backend servers stay connected.
func TestTraceContextPassesWithoutTracing(t *testing.T) {
	seen := make(chan string, 1)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") })
	m.entry.Tracer = NewTracer(noop.NewTracerProvider())
	if _, _, err := m.call("POST", "/", "x", "Traceparent", traceParent); err != nil {
		t.Fatal(err)
	}
	if at := <-seen; at != traceParent {
		t.Fatalf("the backend server received %q", at)
	}
}
