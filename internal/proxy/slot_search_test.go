package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
)

// searchingPickers picks in turn, also during a search.
type searchingPickers struct{ *RoundRobin }

func (p searchingPickers) Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error) {
	return p.RoundRobin.Pick(now, t, PickInfo{Tried: a.Tried})
}

// busyGate refuses calls with NoWait as busy, and admits all others.
type busyGate struct {
	mu              sync.Mutex
	offered, queued int
}

func (g *busyGate) Acquire(_ context.Context, _ Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if times.NoWait {
		g.offered++
		return nil, &call.Refusal{Reason: call.ReasonBusy}
	}
	g.queued++
	return noPermit{}, nil
}

// Guards against a call that queues at a busy endpoint while another is idle. It must go to the idle
// one at once, without counting as a retry.
func TestSearchContinuesToFreeSlot(t *testing.T) {
	var retried []string
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		retried = r.Header["Marlpass-Retried"]
		io.WriteString(w, "ok")
	})
	m.entry.Pickers = searchingPickers{m.picker}
	m.entry.Retrier = RetryUpTo(1)
	full := new(busyGate)
	m.dest[0].Gates = full
	for range 2 { // in turn: one of the two calls starts at the busy endpoint
		resp, body, err := m.call("POST", "/book", "slip 3")
		if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("got %v %q, %v", resp, body, err)
		}
		if retried != nil {
			t.Error("a call that was offered to two endpoints is marked as a retry")
		}
	}
	if full.offered != 1 || full.queued != 0 {
		t.Errorf("%d calls were offered to the busy endpoint and %d queued there", full.offered, full.queued)
	}
}

// When all endpoints are busy, each call is offered to every endpoint once and then queues at one
// without being refused. After many such calls the search stops; it resumes once slots are free.
func TestSearchStopsWhenAllEndpointsAreFull(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Pickers = searchingPickers{m.picker}
	full := new(busyGate)
	m.dest[0].Gates, m.dest[1].Gates = full, full
	free := m.entry.freeSlots.of(testService)
	calls := 0
	book := func() {
		calls++
		if resp, _, err := m.call("POST", "/book", "slip 3"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
	}
	book()
	if full.offered != 2 || full.queued != 1 {
		t.Errorf("the first call was offered %d times and queued %d times", full.offered, full.queued)
	}
	for free.load() >= minDataCentreShare {
		free.add(false)
	}
	before := full.offered
	book()
	if full.offered != before {
		t.Error("a call searches although hardly any slot was free")
	}
	// Calls without a search start at once: slots are free again.
	for free.load() < minDataCentreShare {
		book()
	}
	book()
	if full.offered == before || full.queued != calls {
		t.Errorf("%d offers after slots were free again; %d of %d calls were served", full.offered-before, full.queued, calls)
	}
}

// Guards against a keyed call that searches for a slot: it would write a claim to the platform for each
// offer.
func TestKeyedCallDoesNotSearch(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Pickers = searchingPickers{m.picker}
	full := new(busyGate)
	m.dest[0].Gates, m.dest[1].Gates = full, full
	if resp, _, err := m.call("POST", "/book", "slip 3", call.HeaderKey, "k1"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	if full.offered != 0 {
		t.Errorf("a keyed call was offered to %d endpoints", full.offered)
	}
}
