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

// pinning are the suspects of a destination node that knows of a crash.
type pinning struct {
	suspectAll
	here bool // the request may run here
	ran  *atomic.Int64
}

func (p pinning) Start(time.Time, Backend, quarantine.Fingerprint, quarantine.Request) (quarantine.Token, error) {
	p.ran.Add(1)
	return quarantine.Token{}, nil
}

func (p pinning) Pinned(time.Time, Backend, quarantine.Fingerprint) *call.Refusal {
	if p.here {
		return nil
	}
	return refuse(call.ReasonPinned, time.Second, "")
}

// anyEndpoint gives a tried endpoint again when nothing else is left, as the
// node's picker does.
type anyEndpoint struct{ *RoundRobin }

func (p anyEndpoint) Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error) {
	if c, err := p.RoundRobin.Pick(now, t, a); err == nil {
		return c, nil
	}
	return p.RoundRobin.Pick(now, t, PickInfo{})
}

func (p anyEndpoint) PickFixed(now time.Time, t *config.Target, _ uint64, _ []string) (Choice, error) {
	return p.Pick(now, t, PickInfo{})
}

// A booking crashed a backend server. An entry node that has not heard of it
// sends the resend to any endpoint, beside the copy at the chosen one, and both
// crash. The destination refuses, and the call runs at the chosen endpoint.
func TestSuspectRunsOnlyWhereItsDestinationsSay(t *testing.T) {
	for here := range 2 {
		for first := range uint64(2) {
			m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
			m.entry.Suspects = listSuspects{quarantine.New(time.Now(), quarantine.Options{Self: "vm9"})}
			m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
			m.picker.next.Store(first)
			var right, wrong atomic.Int64
			m.dest[here].Suspects = pinning{here: true, ran: &right}
			m.dest[1-here].Suspects = pinning{ran: &wrong}
			resp, body, err := m.call("POST", "/", "x")
			if err != nil || body != "ok" || right.Load() != 1 || wrong.Load() != 0 {
				t.Fatalf("chosen %d: got %v %q %v, run %d times there, %d elsewhere", here, resp, body, err, right.Load(), wrong.Load())
			}
		}
	}
}

// A harmless booking was in flight at a crash. The nodes see other endpoints as
// open, and each destination takes another one for the chosen one. The booking
// was refused everywhere until it was forgotten; it must run at the third try.
func TestSuspectIsNotSentInCirclesForEver(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.entry.Suspects = suspectAll{}
	m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
	m.entry.Pickers = anyEndpoint{m.picker}
	var ran atomic.Int64
	m.dest[0].Suspects, m.dest[1].Suspects = pinning{ran: &ran}, pinning{ran: &ran}
	resp, body, err := m.call("POST", "/", "x")
	if err != nil || body != "ok" || m.runs.Load() != 1 {
		t.Fatalf("got %v %q %v, run %d times", resp, body, err, m.runs.Load())
	}
}

// A booking broke at two endpoints within a second, and its resend is held back
// for the rest of three. Its caller was told 422 without Retry-After, took the
// booking for refused for good and gave up.
func TestHeldBackRequestMayComeBack(t *testing.T) {
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
