package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/drain"
	"github.com/marlpass/marlpass/internal/membership"
)

// singleClass is a program with a single class.
type singleClass struct{ t *config.Target }

func (o singleClass) Match(_, path, _ string) (*config.Target, bool) {
	return o.t, strings.HasPrefix(path, o.t.Match.PathPrefix)
}

func (o singleClass) Target(name, service string) *config.Target {
	if name == o.t.Name && service == o.t.Service {
		return o.t
	}
	return nil
}

func (o singleClass) Program() *Program { return &Program{Matcher: o, Targets: o} }

// fixedBackends are the backend servers of one VM.
type fixedBackends []Backend

func (h fixedBackends) Find(service, instance string) (Backend, bool) {
	for _, b := range h {
		if b.Service == service && (instance == "" || b.Instance == instance) {
			return b, true
		}
	}
	return Backend{}, false
}

// mesh is an entry node, two destination nodes and a backend server on loopback.
type mesh struct {
	t         *testing.T
	entry     *Entry
	dest      [2]*Destination
	backend   *httptest.Server
	public    *httptest.Server
	internal  *httptest.Server
	picker    *RoundRobin
	nodes     [2]*testNode
	calls     [2]drain.Calls // of nodes
	endpoints []Endpoint
	runs      atomic.Int64
}

const testService = "berths"

// bookings returns a class that is not idempotent.
func bookings() *config.Target {
	return &config.Target{Name: "bookings", Service: testService, Match: config.Match{PathPrefix: "/"}}
}

// lookups returns an idempotent class.
func lookups() *config.Target {
	t := bookings()
	t.Name, t.Idempotent = "lookups", true
	return t
}

func newMesh(t *testing.T, target *config.Target, h http.HandlerFunc) *mesh {
	m := &mesh{t: t, picker: new(RoundRobin)}
	m.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.runs.Add(1)
		h(w, r)
	}))
	t.Cleanup(m.backend.Close)
	addr := strings.TrimPrefix(m.backend.URL, "http://")
	for i := range m.dest {
		ups := NewUpstreams(SlowDetection)
		t.Cleanup(ups.Close)
		m.dest[i] = NewDestination(DestinationOptions{
			Programs: singleClass{target}, Upstreams: ups, Gates: new(FixedLimit),
			Backends: fixedBackends{{Service: testService, Instance: "a", Addr: addr, Slots: 8, State: membership.BackendReady}},
		})
		s := startNode(t, &m.calls[i], m.dest[i])
		m.nodes[i] = s
		m.endpoints = append(m.endpoints, Endpoint{ID: "vm" + string(rune('0'+i)) + "/a", VM: "vm" + string(rune('0'+i)),
			Instance: "a", Addr: strings.TrimPrefix(s.URL, "http://")})
	}
	m.useAll()
	ups := NewUpstreams(SlowDetection)
	t.Cleanup(ups.Close)
	m.entry = NewEntry(EntryOptions{
		Self: "vm9", Programs: singleClass{target}, Pickers: m.picker, Retrier: RetryUpTo(3), Upstreams: ups,
	})
	m.public = httptest.NewServer(m.entry.Public())
	t.Cleanup(m.public.Close)
	m.internal = httptest.NewServer(m.entry.Internal())
	t.Cleanup(m.internal.Close)
	return m
}

// useAll gives the entry node both endpoints.
func (m *mesh) useAll() { m.picker.Set(map[string][]Endpoint{testService: m.endpoints}) }

// useOnly gives the entry node endpoint i alone.
func (m *mesh) useOnly(i int) {
	m.picker.Set(map[string][]Endpoint{testService: m.endpoints[i : i+1]})
}

// call makes a call and returns its answer and body.
func (m *mesh) call(method, path, body string, header ...string) (*http.Response, string, error) {
	m.t.Helper()
	u, _ := url.Parse(m.public.URL + path)
	r := &http.Request{Method: method, URL: u, Header: http.Header{}}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return m.do(r)
}

// do sends a request and returns its answer and body.
func (m *mesh) do(r *http.Request) (*http.Response, string, error) {
	resp, err := m.public.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func TestForward(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Marlpass-Load", "2/6")
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-Forwarded-For"))
		w.WriteHeader(http.StatusCreated)
		w.Write(append([]byte("got "), b...))
	})
	resp, body, err := m.call("POST", "/book?hull=7", "slip 3")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusCreated || body != "got slip 3" || resp.ContentLength != 10 {
		t.Fatalf("got %d %q, length %d", resp.StatusCode, body, resp.ContentLength)
	}
	if s := resp.Header.Get("X-Seen"); s != "POST /book?hull=7 127.0.0.1" {
		t.Fatalf("the backend server received %q", s)
	}
	if resp.Header.Get("Marlpass-Load") != "" {
		t.Fatal("a header between nodes reached the caller")
	}
}

// Each part of a stream must be forwarded before the next one is written, in both directions.
func TestStreamBothWays(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		buf := make([]byte, 64)
		for {
			n, err := r.Body.Read(buf)
			w.Write(buf[:n])
			w.(http.Flusher).Flush()
			if err != nil {
				return
			}
		}
	})
	pr, pw := io.Pipe()
	req, _ := http.NewRequest("POST", m.public.URL+"/feed", pr)
	go io.WriteString(pw, "first")
	resp, err := m.public.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	buf := make([]byte, 64)
	for _, line := range []string{"first", "second", "third"} {
		if line != "first" {
			io.WriteString(pw, line)
		}
		n, err := resp.Body.Read(buf)
		if string(buf[:n]) != line {
			t.Fatalf("got %q, %v, want %q", buf[:n], err, line)
		}
	}
	pw.Close()
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) != 0 {
		t.Fatalf("the end: %q, %v", rest, err)
	}
}
