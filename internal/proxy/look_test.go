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

// lookingPicks picks in turn, also for calls that look.
type lookingPicks struct{ *RoundRobin }

func (p lookingPicks) Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error) {
	return p.RoundRobin.Pick(now, t, PickInfo{Tried: a.Tried})
}

// fullGate has no free slot for calls that are not to wait, and one for the others.
type fullGate struct {
	mu             sync.Mutex
	looked, waited int
}

func (g *fullGate) Acquire(_ context.Context, _ Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if times.NoWait {
		g.looked++
		return nil, &call.Refusal{Reason: call.ReasonBusy}
	}
	g.waited++
	return noPermit{}, nil
}

// A caller's booking comes to a node that knows nothing of two endpoints. The first has no
// free slot: the booking waited there for a quarter of a second, while the second was idle.
// It must go on to the second at once, and count as sent once.
func TestCallGoesOnToAFreeSlot(t *testing.T) {
	var retried []string
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		retried = r.Header["Marlpass-Retried"]
		io.WriteString(w, "ok")
	})
	m.entry.Pickers = lookingPicks{m.picker}
	m.entry.Retrier = RetryUpTo(1)
	full := new(fullGate)
	m.dest[0].Gates = full
	for range 2 { // in turn: one of the two begins at the full endpoint
		resp, body, err := m.call("POST", "/book", "slip 3")
		if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("got %v %q, %v", resp, body, err)
		}
		if retried != nil {
			t.Error("a call that looked at two endpoints is marked as sent again")
		}
	}
	if full.looked != 1 || full.waited != 0 {
		t.Errorf("%d calls looked at the full endpoint and %d waited there", full.looked, full.waited)
	}
}

// All endpoints are full. Each call looks at every endpoint once and then waits at one, and
// is not refused. After a while of that, calls stop looking, and when slots are free again
// they find so and look again.
func TestCallsStopLookingWhereAllIsFull(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Pickers = lookingPicks{m.picker}
	full := new(fullGate)
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
	if full.looked != 2 || full.waited != 1 {
		t.Errorf("the first call looked %d times and waited %d times", full.looked, full.waited)
	}
	for free.load() >= minDataCentreShare {
		free.add(false)
	}
	before := full.looked
	book()
	if full.looked != before {
		t.Error("a call looks where hardly any slot was free")
	}
	// The calls that don't look are served at once: slots are free again.
	for free.load() < minDataCentreShare {
		book()
	}
	book()
	if full.looked == before || full.waited != calls {
		t.Errorf("%d looks after slots were free again; %d of %d calls were served", full.looked-before, full.waited, calls)
	}
}

// A keyed call writes its claim to the platform before it may wait, so one that looks around
// would write one for each endpoint. It must not look.
func TestKeyedCallDoesNotLook(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Pickers = lookingPicks{m.picker}
	full := new(fullGate)
	m.dest[0].Gates, m.dest[1].Gates = full, full
	if resp, _, err := m.call("POST", "/book", "slip 3", call.HeaderKey, "k1"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	if full.looked != 0 {
		t.Errorf("a keyed call looked at %d endpoints", full.looked)
	}
}
