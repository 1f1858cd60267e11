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

// start serves h on loopback and returns a connection to it.
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

// answer reads one answer as "status body", with "close" behind it if it ends the
// connection.
func answer(t *testing.T, r *bufio.Reader) string {
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

// An owner's page asks for a slow answer and a quick one on one connection. The
// quick one waited until the slow one was done: net/http reads the next request
// only after the answer. Both have to run at once, and their answers come in order.
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
		if got := answer(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A booking is sent behind a lookup whose answer closes the connection. The client
// takes the booking for unread and sends it again, so it must not have started.
func TestNothingUnrepeatableStartsBehindAnother(t *testing.T) {
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
		t.Fatalf("%s started behind a request that is not answered", m)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if got := answer(t, r); got != "200 GET" {
		t.Fatalf("got %q", got)
	}
	// It was read before the answer, which therefore could not close.
	if got := answer(t, r); got != "200 POST close" {
		t.Fatalf("got %q", got)
	}
}

// An owner closes the page. Both requests on the connection go on at their backend
// servers for nobody, unless the end of the connection ends them.
func TestLeavingClientEndsItsRequests(t *testing.T) {
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

// Bodies with a length and in chunks, an answer before the body was read, a header
// over the limit, and what is no request at all.
func TestRequestForms(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Write(b)
	})
	deaf := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for _, c := range []struct {
		name, send string
		handler    http.Handler
		want       []string
	}{
		{"length", "POST / HTTP/1.1\nHost: h\nContent-Length: 2\n\nhiGET / HTTP/1.1\nHost: h\n\n", echo, []string{"200 hi", "200 "}},
		{"chunks", "POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n2\nhi\n0\n\nGET / HTTP/1.1\nHost: h\n\n", echo, []string{"200 hi", "200 "}},
		{"unread body", "POST / HTTP/1.1\nHost: h\nContent-Length: 2\n\nhiGET / HTTP/1.1\nHost: h\n\n", deaf, []string{"204 ", "204 "}},
		{"close", "GET / HTTP/1.1\nHost: h\nConnection: close\n\n", echo, []string{"200  close"}},
		{"large header", "GET / HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 40<<10) + "\n\n", echo, []string{"431 Request Header Fields Too Large\n close"}},
		{"no request", "hello\n\n", echo, []string{"400 Bad Request\n close"}},
		{"no host", "GET / HTTP/1.1\n\n", echo, []string{"400 Bad Request\n close"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, r := start(t, &Server{Handler: c.handler})
			send(t, conn, c.send)
			for _, want := range c.want {
				if got := answer(t, r); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			}
		})
	}
}

// An answer breaks off in its middle. Ended like a whole one, a caller would take
// half a picture for the picture.
func TestCutAnswerLooksCut(t *testing.T) {
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
		t.Errorf("%q looks whole", b)
	}
}

// A node stops. Idle connections end at once; one on which an answer is due ends
// with that answer.
func TestShutdownWaitsForAnswers(t *testing.T) {
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
	if got := answer(t, r); got != "200 done close" {
		t.Errorf("got %q", got)
	}
	c.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Operators bound headers at 8 KiB, and a client sends 9 KiB beside a request that
// keeps within it. What the read buffer holds beyond a header must not count for it,
// nor be allowed to it.
func TestHeaderBoundIsExact(t *testing.T) {
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
		if got := answer(t, r); !strings.HasPrefix(got, c.want) {
			t.Errorf("%d bytes over: %.40q", c.over, got)
		}
	}
}

// Operators raise the bound on idle connections from 20 ms to an hour while a
// client's connection lies idle. The client goes by the new bound; closed by the
// old one, the connection took its next request with it.
func TestRaisedIdleBoundHoldsAtOnce(t *testing.T) {
	var raised atomic.Bool
	asked := make(chan struct{}, 16)
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		Limits: func() Limits {
			l := Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: 20 * time.Millisecond}
			if raised.Load() {
				l.IdleTimeout = time.Hour
			}
			select {
			case asked <- struct{}{}:
			default:
			}
			return l
		},
	}
	conn, r := start(t, s)
	<-asked // the wait for the first request has begun, under the short bound
	raised.Store(true)
	<-asked // the short bound has passed, and the new one is known
	send(t, conn, "GET / HTTP/1.1\nHost: h\n\n")
	if got := answer(t, r); got != "204 " {
		t.Errorf("%q", got)
	}
}
