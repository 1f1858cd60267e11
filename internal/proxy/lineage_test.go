package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/lineage"
	"github.com/marlpass/marlpass/internal/retry"
)

// admittingGate records the callers of calls and admits them.
type admittingGate chan limit.Caller

func (g admittingGate) Acquire(_ context.Context, _ Backend, _ *config.Target, o limit.AcquireOptions) (Permit, error) {
	g <- o.Caller
	return noPermit{}, nil
}

// newNestedMesh returns a mesh whose entry node runs, on its own VM, one call of a root.
func newNestedMesh(t *testing.T, h http.HandlerFunc) (m *mesh, gate admittingGate, token lineage.Token) {
	target := bookings()
	target.Keyless = true
	m = newMesh(t, target, h)
	m.useOnly(0)
	gate = make(admittingGate, 2)
	program := keyedProgram{singleClass{target}, keyring(t)}
	m.entry.Programs, m.dest[0].Programs, m.dest[1].Programs = program, program, program
	m.dest[0].Gates = gate
	m.dest[0].Lineage, m.dest[1].Lineage = lineage.NewTracker(1), lineage.NewTracker(1<<40)
	m.entry.Local = m.dest[1]
	m.entry.Retrier = RetryUpTo(1)
	root := lineage.Root{Class: "browse", Workspace: "quay", Priority: 2, ClassPriority: 4, Deadline: time.Now().Add(time.Second)}
	token = m.dest[1].Lineage.Begin(time.Now(), lineage.Call{Class: "browse", Root: root})
	return m, gate, token
}

// Guards the priority of nested calls: the gate at their destination must receive the workspace and
// the priority of their root, and the backend server must receive neither as those of the caller.
func TestNestedCallCarriesItsRoot(t *testing.T) {
	var got http.Header
	m, gate, token := newNestedMesh(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
	named := m.dest[1].Lineage.Header(token)
	ask := func(url string, header ...string) limit.Caller {
		t.Helper()
		m.public.URL = url
		if resp, _, err := m.call("POST", "/seat", "x", header...); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		return <-gate
	}
	public, internal := m.public.URL, m.internal.URL
	root := limit.Caller{Workspace: "quay", Priority: 2, ClassPriority: 4}
	for _, tt := range []struct {
		name, url string
		header    []string
		want      limit.Caller
	}{
		{"named by the backend server", internal, []string{headerRoot, named}, root},
		{"malformed", internal, []string{headerRoot, "9 4 0 1000 browse quay"}, limit.Caller{}},
		{"no header, nothing learnt", internal, nil, limit.Caller{}},
		{"named by a caller from outside", public, []string{headerRoot, named}, limit.Caller{}},
		{"forged by a caller from outside", public, []string{headerRoot, "9 4 0 1000 browse quay"}, limit.Caller{}},
		{"a call with a key", internal, []string{headerRoot, named, headerAuthorization, "Bearer " + harbourKey}, limit.Caller{Workspace: harbourWorkspace, Priority: 8}},
	} {
		if caller := ask(tt.url, tt.header...); caller != tt.want {
			t.Errorf("%s: the gate received %+v, want %+v", tt.name, caller, tt.want)
		}
		if w := got.Get(headerWorkspace); w != "" && w != tt.want.Workspace || w == root.Workspace || strings.Contains(got.Get(headerRoot), root.Workspace) {
			t.Errorf("%s: the backend server received the root's workspace: %v", tt.name, got)
		}
	}
	for range 4 {
		ask(internal)
	}
	if caller := ask(internal); caller != root {
		t.Errorf("no header, learnt: the gate received %+v", caller)
	}
}

// Guards the root's workspace against a retry on the entry node's own VM, whose header also has what
// the attempt at another node was given.
func TestLocalRetryHidesTheRoot(t *testing.T) {
	var got http.Header
	m, _, token := newNestedMesh(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
	m.entry.Self, m.entry.Retrier = "vm1", RetryUpTo(3)
	m.dest[1].Dialect = struct{ Dialect }{ownDialect{}} // a dialect whose backend servers get no token
	m.dest[0].Drain()
	m.useAll()
	m.public.URL = m.internal.URL
	retried := false
	for range 4 {
		resp, _, err := m.call("POST", "/seat", "x", headerRoot, m.dest[1].Lineage.Header(token))
		if err != nil || resp.StatusCode != http.StatusOK || got.Get(headerRoot) != "" {
			t.Errorf("got %v %v; the backend server received %v", resp, err, got)
		}
		retried = retried || got.Get(retry.HeaderRetried) != ""
	}
	if !retried {
		t.Error("no call was sent to the other node first")
	}
}

// Guards against running calls that are never forgotten, or not known while they run: a run names
// itself to the backend server until it ends, whatever its end.
func TestDestinationTracksRunningCalls(t *testing.T) {
	for name, end := range map[string]func(http.ResponseWriter){
		"answered": func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) },
		"failed":   func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"broken":   func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			var tracker *lineage.Tracker
			var named string
			m, _, _ := newNestedMesh(t, func(w http.ResponseWriter, r *http.Request) {
				named = r.Header.Get(headerRoot)
				if root, ok := tracker.Named(named); !ok || root.Workspace != harbourWorkspace || root.Priority != 8 || root.Class != "bookings" {
					t.Errorf("during the run: %+v %v", root, ok)
				}
				end(w)
			})
			tracker = m.dest[0].Lineage
			if _, _, err := m.call("POST", "/launch", "x", headerAuthorization, "Bearer "+harbourKey); err != nil {
				t.Fatal(err)
			}
			if _, ok := tracker.Named(named); ok {
				t.Error("the call is still known after its end")
			}
		})
	}
}

// Guards deployments without workspaces: nothing is tracked, and no header is added.
func TestNoRootsWithoutWorkspaces(t *testing.T) {
	var got http.Header
	m, _, token := newNestedMesh(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
	plain := singleClass{m.entry.Programs.(keyedProgram).t}
	m.entry.Programs, m.dest[0].Programs, m.dest[1].Programs = plain, plain, plain
	m.public.URL = m.internal.URL
	if _, _, err := m.call("POST", "/seat", "x", headerRoot, m.dest[1].Lineage.Header(token)); err != nil {
		t.Fatal(err)
	}
	if s := m.dest[1].Lineage.Stats(); got.Get(headerRoot) != "" || s != (lineage.Stats{}) {
		t.Errorf("the backend server received %v; counts %+v", got, s)
	}
}

func TestRootRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, r := range []callRoot{
		{lineage.Root{Class: "browse", Workspace: "quay", Priority: 2, ClassPriority: 4, Deadline: now.Add(time.Second), Retried: true}, true},
		{lineage.Root{Class: "browse", Priority: 9, ClassPriority: 9, Deadline: now.Add(-time.Second)}, true},
	} {
		if got := parseRoot(now, r.encode(now)); got != r {
			t.Errorf("got %+v, want %+v", got, r)
		}
	}
	for _, s := range []string{"", "x", "2 4 0 1000 browse", "2 4 0 1000  quay", "0 4 0 1000 browse quay", "11 4 0 1 a b", "2 0 0 1 a b", "2 11 0 1 a b", "2 4 2 1 a b", "2 4 0 x a b", "2 4 0 1 a b c"} {
		if got := parseRoot(now, s); got.known {
			t.Errorf("%q: %+v", s, got)
		}
	}
}
