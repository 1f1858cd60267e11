package proxy

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
)

func advertisedRate(perSecond float64) Advertised {
	return Advertised{Known: true, RateLimit: limit.AdvertisedRate{PerSecond: perSecond, Present: true}}
}

func TestNodeAdvertisedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Advertised{Known: true, Leaving: rapid.Bool().Draw(t, "leaving"), Started: rapid.Int64Min(0).Draw(t, "started")}
		if rapid.Bool().Draw(t, "limited") {
			a.RateLimit = limit.AdvertisedRate{PerSecond: rapid.Float64Range(0, 1e12).Draw(t, "rate"), Present: true}
		}
		if got := parseNodeAdvertised(http.Header{headerAdvertised: {a.String()}}); got != a {
			t.Fatalf("%+v became %+v", a, got)
		}
	})
	for _, broken := range []string{"", "4", "4 1", "x 0 0", "-1 0 0", "4 0 x", "4 0 0 0"} {
		if got := parseNodeAdvertised(http.Header{headerAdvertised: {broken}}); got.Known {
			t.Errorf("%q: %+v", broken, got)
		}
	}
}

// Guards against a limit that an entry node forgets because a node that restarted refused the call,
// or because an answer overtook another, and against one that it never forgets.
func TestEntryRemembersWhatEndpointsAdvertise(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	answered, refused := &http.Response{}, refuse(call.ReasonNotHeld, 0, "")
	var m advertisedMemory
	for _, c := range []struct {
		name      string
		now, sent int
		a         answer
		want      string // of the header
	}{
		{"unlimited", 1, 0, answer{resp: answered}, ""},
		{"limited", 3, 2, answer{resp: answered, advertised: advertisedRate(4.4)}, "4.4 0 0"},
		{"a node that knows nothing", 5, 4, answer{refusal: refused}, "4.4 0 0"},
		{"an answer that was sent before", 6, 2, answer{resp: answered}, "4.4 0 0"},
		{"a refusal with a limit", 8, 7, answer{refusal: refused, advertised: advertisedRate(2)}, "2 0 0"},
		{"an answer without", 10, 9, answer{resp: answered}, ""},
	} {
		m.record(at(c.now), at(c.sent), "vm-1/i-1", &c.a)
		h := http.Header{headerAdvertised: {"of another attempt"}}
		m.setHeader(h, "vm-1/i-1")
		if got := first(h, headerAdvertised); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	m.record(at(20), at(19), "vm-1/i-1", &answer{resp: answered, advertised: advertisedRate(1)})
	m.record(at(20).Add(2*rememberFor), at(20).Add(2*rememberFor), "vm-2/i-2", &answer{resp: answered, advertised: advertisedRate(1)})
	if n := m.count.Load(); n != 1 {
		t.Errorf("%d endpoints are remembered, one of them long unheard of", n)
	}
}

// recorder records what is observed of backend servers.
type recorder struct {
	mu   sync.Mutex
	seen []Advertised
}

func (r *recorder) Observe(_, _ time.Time, _ Backend, a Advertised) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, a)
}

func (*recorder) Adopt(time.Time, Backend, Advertised) {}

func (*recorder) InForce(Backend) Advertised { return Advertised{} }

// Guards against a limit or leaving that is read from one kind of answer only: a backend server in
// need may refuse calls, fail them, or break off its answers.
func TestEveryKindOfAnswerAdvertises(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"success": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") },
		"failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"refusal": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"broken off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "ok")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderRateLimit, "4.4")
			w.Header().Set(call.HeaderLeaving, leavingValue)
			answer(w, r)
		})
		r := new(recorder)
		m.dest[0].Advertisements = r
		m.useOnly(0)
		_, _, _ = m.call("POST", "/", "x") // an answer that is broken off is an error
		want := advertisedRate(4.4)
		want.Leaving = true
		r.mu.Lock()
		if len(r.seen) == 0 || r.seen[0] != want {
			t.Errorf("%s: %+v", name, r.seen)
		}
		r.mu.Unlock()
	}
}
