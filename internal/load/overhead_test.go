package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
)

// BenchmarkCall makes the same call by each way. Compare allocs/op of mesh and
// bare: both are two hops.
func BenchmarkCall(b *testing.B) {
	m, err := newSmallMesh(context.Background(), overheadSlots)
	if err != nil {
		b.Fatal(err)
	}
	defer m.close()
	for _, w := range m.ways("bench-", 1, 1000) {
		b.Run(w.name, func(b *testing.B) {
			if err := m.ready(context.Background(), w.opts); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if out := Do(context.Background(), &w.opts, "bench"); out != Answered {
					b.Fatal(out)
				}
			}
		})
	}
}

// An open loop sends on time however slow the answers are: when a backend
// server stalls, the calls that fall due meanwhile are sent and count their
// wait, and none is left out.
func TestOpenLoopSendsThroughAStall(t *testing.T) {
	var active, peak atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := active.Add(1)
		defer active.Add(-1)
		for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
		}
		if n < 10 { // stalls until ten calls are there
			for active.Load() < 10 && peak.Load() < 10 {
				time.Sleep(time.Millisecond)
			}
		}
		backend.WriteAnswer(w, r.Header.Get(backend.HeaderRequest), 0, nil)
	}))
	defer s.Close()
	r := Run(context.Background(), Options{
		URL: s.URL, Rate: 200, For: 100 * time.Millisecond, Client: s.Client(), Method: "GET", Prefix: "x",
	})
	if r.Sent != 20 || r.Answered != 20 {
		t.Fatalf("got %+v", r)
	}
}

func TestRunTellsAnswersApart(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(backend.HeaderRequest)
		switch id {
		case "x0":
			backend.WriteAnswer(w, id, 5, nil)
		case "x1":
			backend.WriteAnswer(w, "x9", 5, nil) // another's
		case "x2":
			w.Header().Set(call.HeaderNotRun, "overloaded")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "x3":
			w.WriteHeader(http.StatusBadGateway)
		case "x4":
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("request x4\n"))
		}
	}))
	defer s.Close()
	r := Run(context.Background(), Options{
		URL: s.URL, Rate: 100, For: 50 * time.Millisecond, Client: s.Client(), Method: "GET", Prefix: "x",
	})
	if r.Sent != 5 || r.Answered != 1 || r.Incomplete != 2 || r.Refused != 1 || r.Failed != 1 || r.NotRun[0] != "x2" {
		t.Fatalf("got %+v", r)
	}
}
