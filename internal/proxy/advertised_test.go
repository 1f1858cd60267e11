package proxy

import (
	"net/http"
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
