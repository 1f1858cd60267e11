package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// pinningSuspects implements Suspects for a destination node that knows of a crash.
type pinningSuspects struct {
	suspectAll
	accepts bool // whether the request may run at this node
	ran     *atomic.Int64
}

func (p pinningSuspects) Start(time.Time, Backend, quarantine.Fingerprint, quarantine.Request) (quarantine.Token, error) {
	p.ran.Add(1)
	return quarantine.Token{}, nil
}

func (p pinningSuspects) Pinned(time.Time, Backend, quarantine.Fingerprint) *call.Refusal {
	if p.accepts {
		return nil
	}
	return refuse(call.ReasonPinned, time.Second, "")
}

// wrapAroundPickers picks a tried endpoint again when no other is left, as the node's picker does.
type wrapAroundPickers struct{ *RoundRobin }

func (p wrapAroundPickers) Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error) {
	if c, err := p.RoundRobin.Pick(now, t, a); err == nil {
		return c, nil
	}
	return p.RoundRobin.Pick(now, t, PickInfo{})
}

func (p wrapAroundPickers) PickFixed(now time.Time, t *config.Target, _ uint64, _ []string) (Choice, error) {
	return p.Pick(now, t, PickInfo{})
}

// Guards against a second crash: an entry node that doesn't know that a request crashed a backend
// server sends its retry to any endpoint. The destination must refuse it, and the call must run at the
// pinned endpoint only.
func TestSuspectRunsOnlyAtPinnedEndpoint(t *testing.T) {
	for pinned := range 2 {
		for first := range uint64(2) {
			m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
			m.entry.Suspects = listSuspects{quarantine.New(time.Now(), quarantine.Options{Self: "vm9"})}
			m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
			m.picker.next.Store(first)
			var ranAtPinned, ranElsewhere atomic.Int64
			m.dest[pinned].Suspects = pinningSuspects{accepts: true, ran: &ranAtPinned}
			m.dest[1-pinned].Suspects = pinningSuspects{ran: &ranElsewhere}
			resp, body, err := m.call("POST", "/", "x")
			if err != nil || body != "ok" || ranAtPinned.Load() != 1 || ranElsewhere.Load() != 0 {
				t.Fatalf("pinned to %d: got %v %q %v, run %d times there, %d elsewhere", pinned, resp, body, err, ranAtPinned.Load(), ranElsewhere.Load())
			}
		}
	}
}

// Guards against a suspect request that no node accepts because destinations disagree on its pinned
// endpoint. It must run at the third attempt.
func TestPinnedRefusalsAreLimited(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Suspects = suspectAll{}
	m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
	m.entry.Pickers = wrapAroundPickers{m.picker}
	var ran atomic.Int64
	m.dest[0].Suspects, m.dest[1].Suspects = pinningSuspects{ran: &ran}, pinningSuspects{ran: &ran}
	resp, body, err := m.call("POST", "/", "x")
	if err != nil || body != "ok" || m.runs.Load() != 1 {
		t.Fatalf("got %v %q %v, run %d times", resp, body, err, m.runs.Load())
	}
}

// Guards against a permanent refusal (422 without Retry-After) of a request that is only held back for
// three seconds because it broke at two endpoints.
func TestHeldBackRequestIsRetryable(t *testing.T) {
	m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m.entry.Suspects = listSuspects{quarantine.New(time.Now(), quarantine.Options{Self: "vm9"})}
	for i := range m.endpoints {
		m.useOnly(i)
		if resp, _, err := m.call("POST", "/", "x"); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %v %v", resp, err)
		}
	}
	resp, _, err := m.call("POST", "/", "x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "3" ||
		resp.Header.Get(call.HeaderNotRun) != string(call.ReasonHeldBack) {
		t.Fatalf("got %v %v", resp, err)
	}
}
