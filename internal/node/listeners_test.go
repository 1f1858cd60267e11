package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// pipeListener is a listener with in-memory connections, so that a test runs on a fake clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// servePipeListener serves s until the test ends, and returns the listener to dial.
func servePipeListener(t *testing.T, s *http.Server) *pipeListener {
	ln := newPipeListener()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = serve(s, ln, nil)
	}()
	t.Cleanup(func() {
		s.Close()
		<-served
	})
	return ln
}

// connectionLifetime returns how long the server keeps the connection open after receiving text.
func connectionLifetime(t *testing.T, conn net.Conn, text string) time.Duration {
	t.Helper()
	start := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(start)
}

var refuseAll = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusUnauthorized)
})

// Guards against connections kept for ever by clients without a token that send the header of a
// request with a body and nothing more: net/http reads the body of a refused request first, and
// the node ran out of file descriptors for calls.
func TestSilentBodyEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := servePipeListener(t, newSideServer(refuseAll, zerolog.Nop()))
		if got := connectionLifetime(t, ln.dial(), "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"); got > sideReadTimeout {
			t.Errorf("connection kept for %s", got)
		}
	})
}

// Guards against a client that requests the metrics and reads none of the answer: its connection
// and the writing goroutine stayed as long as the client did.
func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wrote := make(chan time.Duration, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			_, _ = w.Write(make([]byte, 1<<20))
			wrote <- time.Since(start)
		})
		conn := servePipeListener(t, newSideServer(h, zerolog.Nop())).dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got := <-wrote; got > sideWriteTimeout {
			t.Errorf("write blocked for %s", got)
		}
	})
}
