package node_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// collector receives spans over OTLP/HTTP.
type collector struct {
	mu    sync.Mutex
	spans map[string]*tracepb.Span // by name
}

func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var q coltrace.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rs := range q.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				c.spans[s.Name] = s
			}
		}
	}
}

// Guards against a missing or misplaced span of a trace that the caller sampled: the entry node
// and the destination node each send a span, the second as a child of the first, and the backend
// server can continue the trace.
func TestEachHopHasASpanOfTheCallersTrace(t *testing.T) {
	c := &collector{spans: map[string]*tracepb.Span{}}
	collecting := httptest.NewServer(c)
	defer collecting.Close()
	m, err := localmesh.Start(localmesh.Options{
		Name: "traced", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "neg-shed", Region: "western", VMs: 2}},
		Node:        func(_ *localmesh.VM, o *node.Options) { o.Settings.Trace.Endpoint = collecting.URL + "/v1/traces" },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stateLookups(ctx, t, m)

	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.VMs[1].Node().Addrs().Callers+"/berths/1", nil)
	req.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	req.Header.Set(backend.HeaderRequest, "traced")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := backend.CheckAnswer("traced", resp.Body); err != nil {
		t.Fatal(resp.Status, err)
	}
	// A stop flushes the pending spans.
	for _, vm := range m.VMs {
		if err := vm.Stop(ctx); err != nil {
			t.Fatal(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, dest := c.spans["entry"], c.spans["destination"]
	if entry == nil || dest == nil {
		t.Fatalf("got the spans %v, want one of entry and one of destination", c.spans)
	}
	if string(entry.ParentSpanId) != "\xb7\xad\x6b\x71\x69\x20\x33\x31" {
		t.Errorf("the entry's span has parent %x, want the caller's", entry.ParentSpanId)
	}
	if string(dest.ParentSpanId) != string(entry.SpanId) || string(dest.TraceId) != string(entry.TraceId) {
		t.Errorf("the destination's span has parent %x in trace %x, want %x in %x",
			dest.ParentSpanId, dest.TraceId, entry.SpanId, entry.TraceId)
	}
}

// stateLookups puts one service and one target in force, with one backend server on the first VM.
func stateLookups(ctx context.Context, t *testing.T, m *localmesh.Mesh) {
	t.Helper()
	if err := m.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	set := backend.Defaults()
	set.Service, set.ColdStart.Duration, set.Mean.Duration = "berths", 0, 0
	if _, err := m.StartBackend(ctx, m.VMs[0], set); err != nil {
		t.Fatal(err)
	}
	api, err := m.Admin(m.VMs[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := api.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berths"}); err != nil {
		t.Fatal(err)
	}
	spec := &adminapi.TargetSpec{
		Service: "berths", Match: adminapi.Match{PathPrefix: "/berths"}, Idempotent: adminapi.NewOptBool(true),
	}
	if _, err := api.PutTarget(ctx, spec, adminapi.PutTargetParams{Name: "lookups"}); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitVersion(ctx, 2); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitEndpoints(ctx, "berths", 1); err != nil {
		t.Fatal(err)
	}
}
