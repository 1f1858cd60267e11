package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
)

// Guards against a truncated answer that looks complete: when the backend server dies in the middle
// of an answer, the node must break the caller's connection.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	for _, length := range []string{"100000", ""} {
		t.Run("length "+length, func(t *testing.T) {
			m := newMesh(t, lookups(), func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				io.WriteString(w, strings.Repeat("x", 50000))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			resp, body, err := m.call("GET", "/archive", "")
			if err == nil {
				t.Fatalf("%d bytes ended cleanly with status %d", len(body), resp.StatusCode)
			}
		})
	}
}

// Guards against half an upload that is stored as a whole one: when the caller's connection breaks,
// the request to the backend server must not end normally.
func TestTruncatedRequestAbortsUpstream(t *testing.T) {
	ended := make(chan error, 1)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(m.public.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "POST /submit HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
	c.Close()
	if err := <-ended; err == nil {
		t.Fatal("the backend server received a complete request")
	}
}

// closingServer answers the first request on each connection, and closes the connection after
// reading the second one.
type closingServer struct {
	net.Listener
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &closingServer{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *closingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		f.requests.Add(1)
		if n == 1 {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against net/http's own replay: if a reused connection breaks, it sends a bodyless request
// with a safe method or an Idempotency-Key again, although the backend server may have run it.
func TestTransportCannotReplay(t *testing.T) {
	for _, tt := range []struct {
		method string
		header []string
	}{
		{"GET", nil},
		{"HEAD", nil},
		{"POST", []string{"Idempotency-Key", "k"}},
		{"DELETE", []string{"X-Idempotency-Key", "k"}},
	} {
		t.Run(tt.method, func(t *testing.T) {
			f := newClosingServer(t)
			m := newMesh(t, bookings(), nil)
			for _, d := range m.dest {
				d.Backends = fixedBackends{{Service: testService, Addr: f.Addr().String(), Instance: "a", Slots: 8, State: membership.BackendReady}}
			}
			m.useOnly(0)
			if _, _, err := m.call("GET", "/", ""); err != nil {
				t.Fatal(err)
			}
			resp, _, err := m.call(tt.method, "/book", "", tt.header...)
			if err != nil {
				t.Fatal(err)
			}
			if n := f.requests.Load(); n != 2 {
				t.Fatalf("the backend server received %d requests, want 2", n)
			}
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(call.HeaderNotRun) != "" {
				t.Fatalf("got %d, not run: %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
			}
		})
	}
}

// Shows that net/http still replays such requests. If this fails, the guard tested by
// TestTransportCannotReplay is no longer needed.
func TestPlainTransportReplays(t *testing.T) {
	f := newClosingServer(t)
	c := &http.Client{Transport: &http.Transport{}}
	for _, key := range []string{"", "k"} {
		req, _ := http.NewRequest("POST", "http://"+f.Addr().String(), nil)
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := c.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if n := f.requests.Load(); n != 3 {
		t.Fatalf("the server received %d requests, want 3: one was replayed", n)
	}
}

// Guards against a second run of a booking whose backend server ran it, was refused by another
// service, and copied the headers of that refusal to its own answer.
func TestCopiedRefusalIsIgnored(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderNotRun, string(call.ReasonOverloaded))
		w.Header().Set(call.HeaderRefused, "1234567890abcdef")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	resp, _, err := m.call("POST", "/book", "slip")
	if err != nil {
		t.Fatal(err)
	}
	if n := m.runs.Load(); n != 1 {
		t.Fatalf("run %d times", n)
	}
	if got := resp.Header.Get(call.HeaderNotRun); got != "" {
		t.Fatalf("reported as not run: %s", got)
	}
}

// A refusal with the nonce of the attempt means that nothing was run, so the call goes to the next
// endpoint.
func TestRefusalWithNonceIsRetried(t *testing.T) {
	var refused atomic.Bool
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(false, true) {
			w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.Copy(w, r.Body)
	})
	resp, body, err := m.call("POST", "/book", "slip 3")
	if err != nil || resp.StatusCode != http.StatusOK || body != "slip 3" {
		t.Fatalf("got %v %q, %v", resp, body, err)
	}
}

// Guards against an upload, too large to buffer, that a draining endpoint refuses unread and that
// is then cut at the next endpoint. The transport closes the connection to the first endpoint after
// the refusal, which aborted the reading from the caller: 128 of 2,000 runs failed, all in the
// attempt after a refusal, 14 of them with the "i/o timeout" of the aborting deadline.
func TestRefusedUploadIsRetriedElsewhere(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		io.WriteString(w, strconv.FormatInt(n, 10)+r.Header.Get("Expect"))
	})
	m.dest[0].Drain()
	for range 2 { // in either order of the endpoints
		_, body, err := m.call("POST", "/photos", strings.Repeat("x", 4*maxBufferedBody))
		if err != nil || body != strconv.Itoa(4*maxBufferedBody) {
			t.Fatalf("got %q %v", body, err)
		}
	}
}

// Guards against a wrong "not run": a refused second attempt says nothing about a lost first
// attempt, which may have run.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	m := newMesh(t, lookups(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m.picker.next.Store(^uint64(0)) // picks dest[0] next
	m.dest[1].Drain()
	resp, _, err := m.call("GET", "/", "")
	if err != nil {
		t.Fatal(err)
	}
	if n := m.runs.Load(); n != 1 {
		t.Fatalf("run %d times, want 1", n)
	}
	if got := resp.Header.Get(call.HeaderNotRun); got != "" || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %d, not run: %q", resp.StatusCode, got)
	}
}

// If no connection can be made, no byte was sent, and the call is reported as not run.
func TestUnreachableIsNotRun(t *testing.T) {
	m := newMesh(t, bookings(), nil)
	for _, s := range m.nodes {
		s.Close()
	}
	resp, _, err := m.call("POST", "/book", "slip")
	if err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get(call.HeaderNotRun); got != string(call.ReasonUnreachable) {
		t.Fatalf("got %d, not run: %q", resp.StatusCode, got)
	}
	if resp.Header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
}

// When a caller closes its connection, the backend server's request must be canceled.
func TestCancellationReachesBackend(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	m := newMesh(t, lookups(), func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", m.public.URL+"/", nil)
	go func() {
		<-begun
		cancel()
	}()
	if _, err := m.public.Client().Do(req); err == nil {
		t.Fatal("the call was answered")
	}
	<-ended
}

// Each hop must pass on less time than it received. Otherwise a chain of fifteen hops works on for
// a caller that has long left.
func TestDeadlineShrinks(t *testing.T) {
	seen := make(chan string, 1)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get(call.HeaderDeadline)
	})
	if _, _, err := m.call("POST", "/", "x", call.HeaderDeadline, "5000"); err != nil {
		t.Fatal(err)
	}
	ms, err := strconv.Atoi(<-seen)
	if err != nil || ms <= 0 || ms >= 5000 {
		t.Fatalf("the backend server received %d ms of 5000, %v", ms, err)
	}
	resp, _, err := m.call("POST", "/", "x", call.HeaderDeadline, "0")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonExpired) {
		t.Fatalf("a call without time: %v, %v", resp.Header, err)
	}
}

// Guards against a call that an entry node with stale data sends to a VM without its backend
// server, and that runs at another backend server there.
func TestServiceNotHeldIsRefused(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.dest[0].Backends = fixedBackends{{Service: "surveys", Addr: "127.0.0.1:1", State: membership.BackendReady}}
	rec := httptest.NewRecorder()
	r := httptest.NewRequest("POST", "/book", nil)
	r.Header.Set(call.HeaderHop, hop{left: time.Second, class: "bookings", service: testService}.String())
	m.dest[0].ServeHTTP(rec, r)
	if rec.Code != http.StatusMisdirectedRequest || rec.Header().Get(call.HeaderNotRun) != string(call.ReasonNotHeld) {
		t.Fatalf("got %d %v", rec.Code, rec.Header())
	}
	for range 4 { // the entry node retries at the node that has the service
		resp, body, err := m.call("POST", "/book", "x")
		if err != nil || body != "ok" {
			t.Fatalf("got %v %q %v", resp, body, err)
		}
	}
}

// Guards against a deadlock: the destination breaks while the caller pauses in its upload. net/http
// waits for its writer, which waits for the caller, which waits for the node.
func TestBrokenUploadIsAnswered(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		r.Body.Read(make([]byte, 1))
		// An aborted handler would wait for the rest of the body.
		c, _, _ := http.NewResponseController(w).Hijack()
		c.Close()
	})
	pr, pw := io.Pipe()
	defer pw.Close()
	go io.WriteString(pw, "the first part")
	req, _ := http.NewRequest("POST", m.public.URL+"/upload", pr)
	resp, err := m.public.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(call.HeaderNotRun) != "" {
		t.Fatalf("got %d, not run: %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
	}
}

// As above, but the answer has begun. The caller must see it break off before its upload has ended.
func TestBrokenStreamIsAborted(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		r.Body.Read(make([]byte, 1))
		io.WriteString(w, "half an answer")
		w.(http.Flusher).Flush()
		c, _, _ := http.NewResponseController(w).Hijack()
		c.Close()
	})
	pr, pw := io.Pipe()
	defer pw.Close()
	go io.WriteString(pw, "the first part")
	req, _ := http.NewRequest("POST", m.public.URL+"/upload", pr)
	resp, err := m.public.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Fatalf("%q ended cleanly", b)
	}
}
