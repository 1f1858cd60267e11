package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// start serves s on loopback and returns a connection to it.
func start(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits == nil {
		s.Limits = func() Limits {
			return Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		}
	}
	s.Log = zerolog.Nop()
	s.CanPipeline = func(r *http.Request) bool { return r.Method == http.MethodGet }
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response as "status body", followed by "close" if it closes the
// connection.
func readResponse(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprintf("%d %s", resp.StatusCode, body)
	if resp.Close {
		out += " close"
	}
	return out
}

// Guards against a short request waiting behind a slow one on the same connection, as it does
// with net/http. Both must run at once, with their responses in order.
func TestRequestsAreReadAhead(t *testing.T) {
	second := make(chan struct{})
	c, r := start(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-second
		} else {
			close(second)
		}
		io.WriteString(w, r.URL.Path)
	})})
	send(t, c, "GET /slow HTTP/1.1\nHost: h\n\nGET /quick HTTP/1.1\nHost: h\n\n")
	for _, want := range []string{"200 /slow", "200 /quick"} {
		if got := readResponse(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against a second run: a response that closes the connection makes the client resend the
// POST behind it, so the POST must not have started.
func TestUnsafeRequestWaitsForEarlierOnes(t *testing.T) {
	started := make(chan string, 4)
	release := make(chan struct{})
	c, r := start(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.Method
		if r.Method == http.MethodGet {
			<-release
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, r.Method)
	})})
	send(t, c, "GET / HTTP/1.1\nHost: h\n\n")
	<-started
	send(t, c, "POST / HTTP/1.1\nHost: h\nContent-Length: 2\n\nhi")
	select {
	case m := <-started:
		t.Fatalf("%s started behind a pending request", m)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if got := readResponse(t, r); got != "200 GET" {
		t.Fatalf("got %q", got)
	}
	// It was read before the response, which therefore could not close the connection.
	if got := readResponse(t, r); got != "200 POST close" {
		t.Fatalf("got %q", got)
	}
}

// Guards against wasted work: when the client disconnects, all its requests must be cancelled.
func TestDisconnectCancelsRequests(t *testing.T) {
	began, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	c, _ := start(t, &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})})
	send(t, c, "GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\nConnection: close\n\n")
	<-began
	<-began
	c.Close()
	<-ended
	<-ended
}

// Covers bodies with a length and in chunks, a response before the body was read, a header over
// the limit and malformed requests.
func TestRequestForms(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Write(b)
	})
	ignoreBody := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for _, c := range []struct {
		name, send string
		handler    http.Handler
		want       []string
	}{
		{"length", "POST / HTTP/1.1\nHost: h\nContent-Length: 2\n\nhiGET / HTTP/1.1\nHost: h\n\n", echo, []string{"200 hi", "200 "}},
		{"chunks", "POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n2\nhi\n0\n\nGET / HTTP/1.1\nHost: h\n\n", echo, []string{"200 hi", "200 "}},
		{"unread body", "POST / HTTP/1.1\nHost: h\nContent-Length: 2\n\nhiGET / HTTP/1.1\nHost: h\n\n", ignoreBody, []string{"204 ", "204 "}},
		{"close", "GET / HTTP/1.1\nHost: h\nConnection: close\n\n", echo, []string{"200  close"}},
		{"large header", "GET / HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 40<<10) + "\n\n", echo, []string{"431 Request Header Fields Too Large\n close"}},
		{"no request", "hello\n\n", echo, []string{"400 Bad Request\n close"}},
		{"no host", "GET / HTTP/1.1\n\n", echo, []string{"400 Bad Request\n close"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, r := start(t, &Server{Handler: c.handler})
			send(t, conn, c.send)
			for _, want := range c.want {
				if got := readResponse(t, r); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			}
		})
	}
}

// Guards against a response that breaks off halfway and looks complete to the caller.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	c, r := start(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})})
	send(t, c, "GET / HTTP/1.1\nHost: h\n\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%q looks complete", b)
	}
}

// On shutdown, idle connections close at once; a connection with a pending response closes with
// that response.
func TestShutdownWaitsForResponses(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		io.WriteString(w, "done")
	})}
	c, r := start(t, s)
	send(t, c, "GET / HTTP/1.1\nHost: h\n\n")
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for !s.draining.Load() {
		runtime.Gosched()
	}
	close(release)
	if got := readResponse(t, r); got != "200 done close" {
		t.Errorf("got %q", got)
	}
	c.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards the header limit against the read buffer: bytes buffered behind a header must not count
// towards the header, nor extend the limit.
func TestHeaderLimitIsExact(t *testing.T) {
	limits := func() Limits {
		return Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	const frame = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\nX: \r\n\r\n"
	for _, c := range []struct {
		over int
		want string
	}{{0, "200"}, {1, "431"}} {
		conn, r := start(t, &Server{Handler: echo, Limits: limits})
		x := strings.Repeat("x", 8<<10-len(frame)+c.over)
		body := strings.Repeat("b", 3000)
		send(t, conn, "POST / HTTP/1.1\nHost: h\nContent-Length: 3000\nX: "+x+"\n\n"+body)
		if got := readResponse(t, r); !strings.HasPrefix(got, c.want) {
			t.Errorf("%d bytes over: %.40q", c.over, got)
		}
	}
}

// Guards against closing an idle connection by an outdated timeout: operators raise it from 20 ms
// to an hour, and the client relies on the new one.
func TestRaisedIdleTimeoutAppliesAtOnce(t *testing.T) {
	var raised atomic.Bool
	limitsRead := make(chan struct{}, 16)
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		Limits: func() Limits {
			l := Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: 20 * time.Millisecond}
			if raised.Load() {
				l.IdleTimeout = time.Hour
			}
			select {
			case limitsRead <- struct{}{}:
			default:
			}
			return l
		},
	}
	conn, r := start(t, s)
	<-limitsRead // the wait for the first request has begun with the short timeout
	raised.Store(true)
	<-limitsRead // the short timeout has passed and the new one was read
	send(t, conn, "GET / HTTP/1.1\nHost: h\n\n")
	if got := readResponse(t, r); got != "204 " {
		t.Errorf("%q", got)
	}
}
