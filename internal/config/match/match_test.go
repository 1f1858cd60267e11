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
	m := Compile(snapshot(t,
		config.Match{PathPrefix: "/"},
		config.Match{PathPrefix: "/berths/"},
		config.Match{PathPrefix: "/berths", Host: "gal.lk"},
		config.Match{PathPrefix: "/berths", Methods: []string{"POST"}},
		config.Match{PathPrefix: "/berths/launch", Methods: []string{"POST"}},
		config.Match{PathPrefix: "/piers/"},
	))
	cases := []struct{ host, path, method, want string }{
		{"x", "/", "GET", "t000"},
		{"x", "/berths2", "GET", "t000"},
		{"x", "/berths", "GET", "t000"},
		{"x", "/berths", "POST", "t003"},
		{"x", "/berths/", "GET", "t001"},
		{"x", "/berths/7/x/y/z", "PROPFIND", "t001"},
		{"x", "/berths/7", "POST", "t001"},
		{"GAL.lk:8080", "/berths", "POST", "t002"},
		{"gal.lk.", "/berths", "GET", "t002"},
		{"gal.lk", "/berths/7", "GET", "t001"},
		{"gal.lk", "/berths/launch/2", "POST", "t004"},
		{"gal.lk", "/berths/launch/2", "GET", "t001"},
		{"x", "/piers", "GET", "t000"},
		{"x", "/piers%2F7", "GET", "t000"},
		{"x", "/%70iers/7", "GET", "t000"},
		{"x", "/piers//7", "GET", "t005"},
		{"x", "/piers/../berths", "GET", "t005"},
		{"x", "/a/../piers/7", "GET", "t000"},
		{"x", "//piers/7", "GET", "t000"},
		{"x", "*", "OPTIONS", ""},
		{"x", "", "GET", ""},
		{strings.Repeat("h", 400), "/berths/", "GET", "t001"},
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
	if m.Class("t003") == nil || m.Class("none") != nil || len(m.Classes()) != 6 {
		t.Error("classes by name")
	}
}

// linear is the rule of config.Match word for word, over all targets.
func linear(ts []*config.Target, host, path, method string) *config.Target {
	var best *config.Target
	for _, t := range ts {
		p := t.Match.PathPrefix
		under := path == p || strings.HasPrefix(path, p+"/") || strings.HasSuffix(p, "/") && strings.HasPrefix(path, p)
		hostOK := t.Match.Host == "" || t.Match.Host == host
		methodOK := len(t.Match.Methods) == 0 || slices.Contains(t.Match.Methods, method)
		if under && hostOK && methodOK && (best == nil || before(t.Match, best.Match)) {
			best = t
		}
	}
	return best
}

func before(a, b config.Match) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Host == "") != (b.Host == "") {
		return a.Host != ""
	}
	return len(a.Methods) > 0 && len(b.Methods) == 0
}

// The matcher agrees with the rule as written. Of targets that match the same calls the first by name
// gets them.
func TestMatcherFollowsTheRule(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab]{1,2}){0,4}/?`)
	requested := rapid.StringMatching(`(/([ab]{1,2}|\.\.?|%2[Ff]|%61|)){0,4}/?`)
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) config.Match {
			return config.Match{
				Host:       rapid.SampledFrom([]string{"", "a.nl", "b.nl"}).Draw(t, "host"),
				PathPrefix: "/" + strings.TrimPrefix(paths.Draw(t, "prefix"), "/"),
				Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"PUT", "POST"}}).Draw(t, "methods"),
			}
		}), 0, 12).Draw(t, "matches")
		s := snapshot(t, ms...)
		m := Compile(s)
		for range 10 {
			path := "/" + strings.TrimPrefix(requested.Draw(t, "path"), "/")
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

// Guards against a call that takes the route of a prefix which its path does not begin with, and so
// runs at another service, or twice.
func FuzzMatchIsTheLongestPrefix(f *testing.F) {
	for _, path := range []string{"/look", "/look/", "/look%2F7", "/%6Cook/7", "/look//7", "/look/../x", "//look/7", "/./look/", "/desk/../look/7", "/l", "", "*"} {
		f.Add("look/", "look/deep/", "/", path)
	}
	f.Add("look//", "look%2F", "look/", "/look//7")
	f.Fuzz(func(t *testing.T, a, b, c, path string) {
		var ms []config.Match
		for _, p := range []string{"/" + a, "/" + b, "/" + c} {
			if !strings.HasSuffix(p, "/") {
				p += "/"
			}
			if !slices.ContainsFunc(ms, func(m config.Match) bool { return m.PathPrefix == p }) {
				ms = append(ms, config.Match{PathPrefix: p})
			}
		}
		m := Compile(snapshot(t, ms...))
		want := ""
		for _, r := range ms {
			if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		got := ""
		if k := m.Match("x", path, "POST"); k != nil {
			got = k.Target.Match.PathPrefix
		}
		if got != want {
			t.Errorf("%q takes %q, the longest prefix is %q", path, got, want)
		}
	})
}

// Guards against a call that reaches an internal class because a backend server decodes or cleans a
// path that matches another class.
func TestPathThatResolvesToAnInternalClass(t *testing.T) {
	objects := []config.Object{config.EncodeService(config.Service{Name: "s", Team: "t"})}
	for _, x := range []config.Target{
		{Name: "prices", Match: config.Match{PathPrefix: "/prices"}},
		{Name: "index", Match: config.Match{PathPrefix: "/index"}, Audience: config.AudienceInternal},
	} {
		x.Team, x.Service = "t", "s"
		objects = append(objects, config.EncodeTarget(x))
	}
	s, err := config.New(1, config.Hash{}, objects)
	if err != nil {
		t.Fatal(err)
	}
	m := Compile(s)
	for path, want := range map[string]string{
		"/prices/../index": "index", "/prices/%2e%2e/index/7": "index", "/%69ndex/": "index", "//index": "index",
		"/prices/./index": "prices", "/prices/index": "prices", "/index/../prices": "index",
	} {
		if c := m.Match("x", path, "GET"); c == nil || c.Target.Name != want {
			t.Errorf("%s: got %+v, want %s", path, c, want)
		}
	}
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
	m := Compile(sized(t))
	n := testing.AllocsPerRun(100, func() { m.Match("H59.example.nl:443", benchPath, "GET") })
	if n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	s := sized(b)
	m := Compile(s)
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
			Compile(s)
		}
	})
}
