package match

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

func snapshot(t interface{ Fatal(...any) }, ms ...config.Match) *config.Snapshot {
	objects := []config.Object{config.EncodeService(config.Service{Name: "s", Team: "t"})}
	for i, m := range ms {
		objects = append(objects, config.EncodeTarget(config.Target{
			Name: fmt.Sprintf("t%03d", i), Team: "t", Service: "s", Match: m,
		}))
	}
	s, err := config.New(1, config.Hash{}, objects)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMatch(t *testing.T) {
	m, err := Compile(snapshot(t,
		config.Match{PathPrefix: "/"},
		config.Match{PathPrefix: "/berths/"},
		config.Match{PathPrefix: "/berths", Host: "gal.lk"},
		config.Match{PathPrefix: "/berths", Methods: []string{"POST"}},
		config.Match{PathPrefix: "/berths/launch", Methods: []string{"POST"}},
	))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, method, want string }{
		{"x", "/", "GET", "t000"},
		{"x", "/berths2", "GET", "t000"},
		{"x", "/berths", "GET", "t001"},
		{"x", "/berths/", "GET", "t001"},
		{"x", "/berths/7/x/y/z", "PROPFIND", "t001"},
		{"x", "/berths/7", "POST", "t003"},
		{"GAL.lk:8080", "/berths/7", "POST", "t002"},
		{"gal.lk.", "/berths/7", "GET", "t002"},
		{"gal.lk", "/berths/launch/2", "POST", "t004"},
		{"gal.lk", "/berths/launch/2", "GET", "t002"},
		{"x", "/a/../berths", "GET", ""},
		{"x", "//berths", "GET", ""},
		{"x", "*", "OPTIONS", ""},
		{"x", "", "GET", ""},
		{strings.Repeat("h", 400), "/berths", "GET", "t001"},
	}
	for _, c := range cases {
		got := ""
		if k := m.Match(c.host, c.path, c.method); k != nil {
			got = k.Target.Name
		}
		if got != c.want {
			t.Errorf("%s %s %s: got %q, want %q", c.method, c.host, c.path, got, c.want)
		}
	}
	if m.Class("t003") == nil || m.Class("none") != nil || len(m.Classes()) != 5 {
		t.Error("classes by name")
	}
}

// linear is the rule of config.Match word for word, over all targets.
func linear(ts []*config.Target, host, path, method string) *config.Target {
	var best *config.Target
	for _, t := range ts {
		p := t.Match.Prefix()
		under := path == p || strings.HasPrefix(path, p+"/")
		hostOK := t.Match.Host == "" || t.Match.Host == host
		methodOK := len(t.Match.Methods) == 0 || slices.Contains(t.Match.Methods, method)
		if under && hostOK && methodOK && (best == nil || before(t.Match, best.Match)) {
			best = t
		}
	}
	return best
}

func before(a, b config.Match) bool {
	if len(a.Prefix()) != len(b.Prefix()) {
		return len(a.Prefix()) > len(b.Prefix())
	}
	if (a.Host == "") != (b.Host == "") {
		return a.Host != ""
	}
	return len(a.Methods) > 0 && len(b.Methods) == 0
}

// Every snapshot that Check accepts compiles, and the matcher agrees with the
// rule as written.
func TestMatcherFollowsTheRule(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab]{1,2}){0,4}/?`)
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) config.Match {
			return config.Match{
				Host:       rapid.SampledFrom([]string{"", "a.nl", "b.nl"}).Draw(t, "host"),
				PathPrefix: "/" + strings.TrimPrefix(paths.Draw(t, "prefix"), "/"),
				Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"PUT", "POST"}}).Draw(t, "methods"),
			}
		}), 0, 12).Draw(t, "matches")
		s := snapshot(t, ms...)
		m, err := Compile(s)
		if (err == nil) != (s.Check() == nil) {
			t.Fatalf("check says %v, compile says %v", s.Check(), err)
		}
		if err != nil {
			return
		}
		for range 10 {
			path := "/" + strings.TrimPrefix(paths.Draw(t, "path"), "/")
			host := rapid.SampledFrom([]string{"a.nl", "b.nl", "c.nl"}).Draw(t, "host")
			method := rapid.SampledFrom([]string{"GET", "PUT", "TRACE"}).Draw(t, "method")
			want := linear(s.Targets(), host, path, method)
			got := m.Match(host, path, method)
			if (got == nil) != (want == nil) || got != nil && got.Target != want {
				t.Fatalf("%s %s%s: got %+v, want %+v", method, host, path, got, want)
			}
		}
	})
}

// sized is the users' two-year size: 61 services with about five classes each.
func sized(t interface{ Fatal(...any) }) *config.Snapshot {
	var ms []config.Match
	for i := range 300 {
		m := config.Match{PathPrefix: fmt.Sprintf("/service%d/v1/class%d", i%61, i)}
		if i%3 == 0 {
			m.Host = fmt.Sprintf("h%d.example.nl", i%61)
		}
		ms = append(ms, m)
	}
	return snapshot(t, ms...)
}

const (
	benchHost = "h59.example.nl"
	benchPath = "/service59/v1/class120/items/4711"
)

func TestMatchAllocatesNothing(t *testing.T) {
	m, err := Compile(sized(t))
	if err != nil {
		t.Fatal(err)
	}
	n := testing.AllocsPerRun(100, func() { m.Match("H59.example.nl:443", benchPath, "GET") })
	if n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	s := sized(b)
	m, err := Compile(s)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("matcher", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Match(benchHost, benchPath, "GET")
		}
	})
	targets := s.Targets()
	b.Run("linear", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			linear(targets, benchHost, benchPath, "GET")
		}
	})
	b.Run("compile", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Compile(s); err != nil {
				b.Fatal(err)
			}
		}
	})
}
