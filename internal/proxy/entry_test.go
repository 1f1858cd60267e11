package proxy

import (
	"io"
	"net/http"
	"testing"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

func TestEntryRefuses(t *testing.T) {
	internal := bookings()
	internal.Audience = config.AudienceInternal
	scoped := bookings()
	scoped.Match.PathPrefix = "/berths"
	for _, tt := range []struct {
		name   string
		target *config.Target
		header []string
		status int
		reason call.Reason
	}{
		{"no route", scoped, nil, http.StatusNotFound, call.ReasonNoRoute},
		{"internal", internal, nil, http.StatusForbidden, call.ReasonInternal},
		{"upgrade", bookings(), []string{"Connection", "Upgrade", "Upgrade", "websocket"}, http.StatusBadRequest, call.ReasonBadRequest},
		{"deadline passed", bookings(), []string{call.HeaderDeadline, "-1"}, http.StatusGatewayTimeout, call.ReasonExpired},
		{"bad deadline", bookings(), []string{call.HeaderDeadline, "soon"}, http.StatusBadRequest, call.ReasonBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, tt.target, func(http.ResponseWriter, *http.Request) {})
			resp, body, err := m.call("POST", "/launch", "x", tt.header...)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || resp.Header.Get(call.HeaderNotRun) != string(tt.reason) {
				t.Fatalf("got %d %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
			}
			if resp.Header.Get("Content-Type") != "application/problem+json" || body == "" {
				t.Fatalf("got %q %q", resp.Header.Get("Content-Type"), body)
			}
			if m.runs.Load() != 0 {
				t.Fatal("the call was run")
			}
		})
	}
}

func TestInternalListener(t *testing.T) {
	target := bookings()
	target.Audience = config.AudienceInternal
	m := newMesh(t, target, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	resp, err := http.Get(m.internal.URL + "/feed")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got %d", resp.StatusCode)
	}
}

// Guards against Marlpass headers set by a caller: with its own hop header it could reach services
// that its path doesn't match.
func TestCallerCannotSetOwnHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header })
	if _, _, err := m.call("POST", "/", "x", call.HeaderHop, "1 a b c", "Marlpass-Class", "x", call.HeaderAttempt, "mine"); err != nil {
		t.Fatal(err)
	}
	h := <-seen
	if h.Get(call.HeaderHop) != "" || h.Get("Marlpass-Class") != "" || h.Get(call.HeaderAttempt) == "mine" {
		t.Fatalf("got %v", h)
	}
}

func TestTrailersAndHead(t *testing.T) {
	m := newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "1234")
			return
		}
		w.Header().Set("Trailer", "X-Sum")
		io.WriteString(w, "body")
		w.Header().Set("X-Sum", "42")
		w.Header().Set(http.TrailerPrefix+"X-Late", "43")
	})
	resp, body, err := m.call("GET", "/", "")
	if err != nil || body != "body" {
		t.Fatal(body, err)
	}
	if resp.Trailer.Get("X-Sum") != "42" || resp.Trailer.Get("X-Late") != "43" {
		t.Fatalf("trailers: %v", resp.Trailer)
	}
	resp, _, err = m.call("HEAD", "/", "")
	if err != nil || resp.ContentLength != 1234 {
		t.Fatalf("HEAD: %d, %v", resp.ContentLength, err)
	}
}

// A call to an endpoint on the entry node's own VM goes to the destination in process, with the same
// rules as a remote call.
func TestLocalCall(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	m.entry.Self, m.entry.Local = "vm0", m.dest[0]
	m.useOnly(0)
	m.nodes[0].Close() // unreachable over a socket
	resp, body, err := m.call("POST", "/", "slip 3")
	if err != nil || body != "slip 3" || resp.Header.Get(call.HeaderLoad) != "" {
		t.Fatalf("got %v %q %v", resp, body, err)
	}
	if n := m.dest[0].InFlight(); n != 0 {
		t.Fatalf("%d calls in flight", n)
	}
	m.dest[0].Drain()
	resp, _, err = m.call("POST", "/", "slip 3")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonDraining) {
		t.Fatalf("got %v %v", resp, err)
	}
}

// Guards against a dropped trailer that isn't declared in the Trailer header: its name is a prefix of a
// declared one, and a substring match took it for declared.
func TestTrailerWhoseNameIsPartOfAnother(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Sum-Full")
		io.WriteString(w, "answer")
		w.Header().Set("X-Sum-Full", "42")
		w.Header().Set(http.TrailerPrefix+"X-Sum", "43")
	})
	resp, _, err := m.call("GET", "/", "")
	if err != nil || resp.Trailer.Get("X-Sum-Full") != "42" || resp.Trailer.Get("X-Sum") != "43" {
		t.Fatalf("got %v, %v, trailers %v", resp, err, resp.Trailer)
	}
}
