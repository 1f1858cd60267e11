package proxy

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

func TestDropHeaders(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-One", "x-two"}, "X-One": {"1"}, "X-Two": {"2"},
		"Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Transfer-Encoding": {"chunked"}, "Accept": {"*/*"},
		"Marlpass-Not-Run": {"overloaded"}, "Marlpass-Anything": {"x"}, "Idempotency-Key": {"k"},
	}
	dropHopByHop(h)
	dropInternal(h)
	var left []string
	for name := range h {
		left = append(left, name)
	}
	slices.Sort(left)
	if want := []string{"Accept", "Idempotency-Key"}; !slices.Equal(left, want) {
		t.Fatalf("left %v, want %v", left, want)
	}
}

func TestAddForwarded(t *testing.T) {
	for _, tt := range []struct {
		old          []string
		remote, want string
	}{
		{nil, "10.0.0.1:55", "10.0.0.1"},
		{[]string{"1.1.1.1", "2.2.2.2"}, "10.0.0.1:55", "1.1.1.1, 2.2.2.2, 10.0.0.1"},
		{nil, "[2001:db8::1]:55", "2001:db8::1"},
		{[]string{"1.1.1.1"}, "nonsense", "1.1.1.1"},
	} {
		h := http.Header{}
		if tt.old != nil {
			h["X-Forwarded-For"] = tt.old
		}
		addForwarded(h, tt.remote)
		if got := strings.Join(h["X-Forwarded-For"], "|"); got != tt.want {
			t.Errorf("%v %s: got %q, want %q", tt.old, tt.remote, got, tt.want)
		}
	}
}

func TestTimeLeft(t *testing.T) {
	for _, tt := range []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"", 3 * time.Second, true},
		{"250", 250 * time.Millisecond, true},
		{"0", 0, true},
		{"-5", -5 * time.Millisecond, true},
		{"9223372036854775807", maxDeadline, true},
		{"9223372036854775808", 0, false},
		{"1.5", 0, false},
		{"soon", 0, false},
	} {
		h := http.Header{}
		if tt.value != "" {
			h.Set(call.HeaderDeadline, tt.value)
		}
		got, ok := timeLeft(h, 3*time.Second)
		if got != tt.want || ok != tt.ok {
			t.Errorf("%q: got %v %v, want %v %v", tt.value, got, ok, tt.want, tt.ok)
		}
	}
}

func TestParseLoad(t *testing.T) {
	for value, want := range map[string]Load{
		"3/6": {Busy: 3, Slots: 6, Known: true}, "0/0": {Known: true}, "3/6/120": {}, "": {}, "3": {}, "-1/6": {}, "3/x": {}, "9999999/6": {},
	} {
		if got := parseLoad(http.Header{call.HeaderLoad: {value}}); got != want {
			t.Errorf("%q: got %+v, want %+v", value, got, want)
		}
	}
}

func TestHopRoundTrip(t *testing.T) {
	for _, h := range []hop{
		{left: 1500 * time.Millisecond, class: "bookings", service: "berths", instance: "a"},
		{left: 0, class: "x", service: "y", instance: ""},
		{left: -time.Second, class: "x", service: "y", instance: "z"},
		{left: time.Second, class: "Boat Spot\n", service: "Håfen/%20", instance: "z"},
		{left: time.Second, class: "", service: "%", instance: "z"},
	} {
		got, ok := parseHop(h.String())
		if !ok || got != h {
			t.Errorf("%+v: got %+v %v", h, got, ok)
		}
	}
	for _, s := range []string{"", "5", "5 a", "5 a b", "x a b c", "5  b c", "99999999999999999999 a b c"} {
		if h, ok := parseHop(s); ok {
			t.Errorf("%q: taken as %+v", s, h)
		}
	}
}

func FuzzParseHop(f *testing.F) {
	f.Add("1500 bookings berths a")
	f.Add("-1 a b ")
	f.Add("-9223372036855 a b ")
	f.Fuzz(func(t *testing.T, s string) {
		h, ok := parseHop(s)
		if !ok {
			return
		}
		if h.left > maxDeadline || strings.HasPrefix(s, "-") && h.left > 0 {
			t.Fatalf("%q: granted %s", s, h.left)
		}
		again, ok := parseHop(h.String())
		if !ok || again != h {
			t.Fatalf("%q: %+v became %+v", s, h, again)
		}
	})
}

// Guards against overflow: a deadline of -9223372036855 ms was converted to 292 years, and the calls
// were held until the process ended.
func FuzzTimeLeft(f *testing.F) {
	for _, s := range []string{"1500", "0", "-1", "3600001", "-9223372036855", "9223372036854775807", "x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		left, ok := timeLeft(http.Header{call.HeaderDeadline: {s}}, time.Second)
		if left > maxDeadline {
			t.Fatalf("%q: granted %s", s, left)
		}
		if ok && strings.HasPrefix(s, "-") && left > 0 {
			t.Fatalf("%q: a negative deadline was granted %s", s, left)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("3/6")
	f.Add("-1/6")
	f.Fuzz(func(t *testing.T, s string) {
		l := parseLoad(http.Header{call.HeaderLoad: {s}})
		if l.Busy < 0 || l.Slots < 0 || !l.Known && l != (Load{}) {
			t.Fatalf("%q: taken as %+v", s, l)
		}
	})
}

// Only notrun.go may set the not-run header or create a refusal, since callers retry calls that must
// run at most once because of it.
func TestNotRunIsSetInOnePlace(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		if name == "notrun.go" || strings.HasSuffix(name, "_test.go") {
			continue
		}
		src, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, banned := range []string{"HeaderNotRun", "call.Refusal{", `"Marlpass-Not-Run"`} {
			if strings.Contains(string(src), banned) {
				t.Errorf("%s contains %s", name, banned)
			}
		}
	}
}
