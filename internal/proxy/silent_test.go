package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
)

// silencingListener is a listener behind a middlebox that drops connection state: connections
// accepted before silence accept bytes and deliver none.
type silencingListener struct {
	net.Listener
	epoch    atomic.Int64
	accepted atomic.Int64
}

func (f *silencingListener) silence() { f.epoch.Add(1) }

func (f *silencingListener) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f.accepted.Add(1)
	return &silencedConn{Conn: c, of: f, epoch: f.epoch.Load()}, nil
}

type silencedConn struct {
	net.Conn
	of    *silencingListener
	epoch int64
}

// Read delivers nothing once the connection is silenced. A deadline or a close still ends it.
func (c *silencedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.epoch == c.of.epoch.Load() {
			return n, err
		}
	}
}

// Guards against a second timeout after a switch silenced all connections to a backend server: once
// one call timed out, the other idle connections must not be used, and no connection may be opened
// without a call.
func TestSilentConnectionsAreRetiredTogether(t *testing.T) {
	var together sync.WaitGroup
	together.Add(2)
	m := newMesh(t, bookings(), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &silencingListener{Listener: l}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			together.Done()
			together.Wait() // so that each has a connection of its own
		}
		io.WriteString(w, "ok")
	}))
	s.Listener.Close()
	s.Listener = f
	s.Start()
	t.Cleanup(s.Close)
	m.dest[0].Backends = fixedBackends{{Service: testService, Instance: "a", Slots: 8,
		Addr: strings.TrimPrefix(s.URL, "http://"), State: membership.BackendReady}}
	m.useOnly(0)
	var warm sync.WaitGroup
	for range 2 {
		warm.Go(func() { m.call("POST", "/warm", "x") })
	}
	warm.Wait()
	f.silence()
	resp, _, err := m.call("POST", "/book", "x", call.HeaderDeadline, "50")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(call.HeaderNotRun) != "" {
		t.Fatalf("on a silent connection: %v %v", resp, err)
	}
	resp, body, err := m.call("POST", "/book", "x")
	if err != nil || body != "ok" {
		t.Fatalf("after it: %v %q %v", resp, body, err)
	}
	if n := f.accepted.Load(); n != 3 {
		t.Fatalf("%d connections were opened, want 3", n)
	}
}

// silentPool returns the listener of a server to which two idle connections have been silenced, and
// a function that sends a call that must be answered within wait.
func silentPool(t *testing.T) (f *silencingListener, send func(ctx context.Context, wait time.Duration) answer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f = &silencingListener{Listener: l}
	var together sync.WaitGroup
	together.Add(2)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			together.Done()
			together.Wait() // so that each has a connection of its own
		}
	}))
	s.Listener.Close()
	s.Listener = f
	s.Start()
	t.Cleanup(s.Close)
	ups := NewUpstreams(SlowDetection)
	t.Cleanup(ups.Close)
	path := "/warm"
	send = func(ctx context.Context, wait time.Duration) answer {
		r := httptest.NewRequest("POST", path, nil)
		return ups.send(ctx, time.Now(), &outbound{in: r, header: http.Header{}, body: new(body),
			addr: l.Addr().String(), answerTimeout: wait, stallTimeout: wait})
	}
	var warm sync.WaitGroup
	for range 2 {
		warm.Go(func() {
			if a := send(t.Context(), maxDeadline); a.resp != nil {
				discard(a.resp)
			}
		})
	}
	warm.Wait()
	path = "/book"
	f.silence()
	return f, send
}

// Guards against a second timeout when the previous hop, whose deadline passes a little earlier,
// cancels the call first: the destination must retire the silent connections all the same.
func TestCancelAtDeadlineRetiresSilentConnections(t *testing.T) {
	f, send := silentPool(t)
	const bound = 300 * time.Millisecond
	leaving, leave := context.WithCancel(t.Context())
	time.AfterFunc(bound-deadlineSkew/2, leave)
	if a := send(leaving, bound); a.resp != nil || a.refusal != nil {
		t.Fatalf("on a silent connection: %v", a)
	}
	a := send(t.Context(), time.Second)
	if a.resp == nil {
		t.Fatalf("after it: %v", a.err)
	}
	discard(a.resp)
	if n := f.accepted.Load(); n != 3 {
		t.Fatalf("%d connections were opened, want 3", n)
	}
}

// A cancel long before the deadline is no evidence against connections. If it retired the idle
// ones, impatient callers would cost a busy backend server a new connection per call.
func TestEarlyCancelRetiresNoConnections(t *testing.T) {
	f, send := silentPool(t)
	leaving, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	if a := send(leaving, maxDeadline); a.resp != nil || a.refusal != nil {
		t.Fatalf("on a silent connection: %v", a)
	}
	if a := send(t.Context(), 50*time.Millisecond); a.resp != nil || a.refusal != nil {
		t.Fatalf("the other connection was not used: %v", a)
	}
	if n := f.accepted.Load(); n != 2 {
		t.Fatalf("%d connections were opened, want 2", n)
	}
}

// A call on a silent connection must be answered within its deadline, and not as "not run".
func TestSilentBackendTimesOut(t *testing.T) {
	release := make(chan struct{})
	m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	resp, _, err := m.call("POST", "/", "x", call.HeaderDeadline, "50")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(call.HeaderNotRun) != "" {
		t.Fatalf("got %d, not run: %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
	}
}

// If a node accepts connections but never answers, not even the handshake, an idempotent lookup
// keeps half of its time and is answered by the other endpoint.
func TestSilentNodeLeavesTimeForRetry(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := newMesh(t, lookups(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.endpoints[0].Addr = l.Addr().String()
	m.picker.next.Store(^uint64(0))
	resp, body, err := m.call("GET", "/", "", call.HeaderDeadline, "2000")
	if err != nil || body != "ok" {
		t.Fatalf("got %v %q %v", resp, body, err)
	}
}
