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

// A trader pulls an archive and the backend server dies half way. Had the node
// ended its answer as usual, the trader would take half an archive for the
// whole: the node must break the connection instead.
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

// A clerk's connection breaks in the middle of an upload. Had the node ended
// the request to the backend server as usual, half a submission would be
// stored as a whole one.
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
		t.Fatal("the backend server saw a whole request")
	}
}

// flaky is a server that answers the first request on each connection and
// closes the connection on the second one, having read it.
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

// An owner's booking reaches the backend server over a connection that was used
// before, the backend server runs it and dies before it answers. net/http sees
// a broken reused connection and an Idempotency-Key, takes the booking for one
// that can be sent again, and it is run twice.
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
				t.Fatalf("the backend server saw %d requests, want 2", n)
			}
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(call.HeaderNotRun) != "" {
				t.Fatalf("got %d, not run: %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
			}
		})
	}
}

// The trap that TestTransportCannotReplay guards against is still there: if
// net/http ever stops replaying, the guard can go.
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
		t.Fatalf("the server saw %d requests, want 3: one was replayed", n)
	}
}

// A backend server runs a booking, and on its way calls another service, which
// refuses. It answers 503 and copies the headers of that refusal. A node that
// believed them would run the booking again.
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
		t.Fatalf("the caller was told that the call was not run: %s", got)
	}
}

// A backend server that is out of slots refuses a booking with the nonce of
// the attempt. Nothing was run, so the booking goes to the next endpoint.
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

// An upload of survey photos is too large to keep, and the first endpoint is
// draining. It refuses before any of the body was sent, so the upload goes to
// the next endpoint whole. At times it was cut there and ended with 502: a moment after
// the refusal the transport closes the connection to the first endpoint, and that ended the
// reading from the caller. The lines of 128 failures in 2,000 runs all told of the attempt
// behind a refusal, 14 of them with "i/o timeout", which is the deadline that ends the reading.
func TestRefusedUploadIsRetriedElsewhere(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		io.WriteString(w, strconv.FormatInt(n, 10)+r.Header.Get("Expect"))
	})
	m.dest[0].Drain()
	for range 2 { // whichever endpoint comes first
		_, body, err := m.call("POST", "/photos", strings.Repeat("x", 4*maxBufferedBody))
		if err != nil || body != strconv.Itoa(4*maxBufferedBody) {
			t.Fatalf("got %q %v", body, err)
		}
	}
}

// An idempotent lookup breaks at one endpoint, is sent again, and the next
// endpoint refuses it. The refusal is true of the second attempt only: the
// first may have run, so the caller must not be told "not run".
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	m := newMesh(t, lookups(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m.picker.next.Store(^uint64(0)) // the next pick is dest[0]
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

// Both VMs that hold a service are replaced. No connection can be made, so no
// byte of the booking was sent, and the caller may be told that it was not run.
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

// A caller closes its connection while the backend server works. The work is
// of no use any more, and the backend server must learn so.
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

// Each hop grants the next one what is left, and never more: else a chain of
// fifteen would work on for a caller that has long given up.
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
		t.Fatalf("the backend server was granted %d ms of 5000, %v", ms, err)
	}
	resp, _, err := m.call("POST", "/", "x", call.HeaderDeadline, "0")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonExpired) {
		t.Fatalf("a call without time: %v, %v", resp.Header, err)
	}
}

// An entry node that lags behind sends a booking to a VM whose backend server
// is gone. That node must not hand it to whatever it holds now.
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
	for range 4 { // the entry node goes on to the one that holds it
		resp, body, err := m.call("POST", "/book", "x")
		if err != nil || body != "ok" {
			t.Fatalf("got %v %q %v", resp, body, err)
		}
	}
}

// A caller has sent part of an upload and pauses, and the destination node
// dies. net/http waits for its writer, which waits for the caller: without the
// guard in streamBody the caller would wait for the node and the node for the
// caller.
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

// As above, but the answer has begun when the backend server dies. The caller
// must see it break off although it has not sent all of its upload.
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
