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

// pipes is a listener whose connections are pipes in memory, so that a test runs
// on fake time.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// servePipes serves s until the test ends, and returns what to dial.
func servePipes(t *testing.T, s *http.Server) *pipes {
	ln := newPipes()
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

// connectionLifetime returns how long the server keeps the connection after it was sent text.
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

// Somebody without a token opened connection after connection to the admin API,
// sent the header of a request with a body on each, and nothing more. Each was
// refused and yet kept for ever, since net/http reads on in the body first and
// nothing bounded that: the node ran out of files, and calls failed.
func TestSilentBodyEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := servePipes(t, newSideServer(refuseAll, zerolog.Nop()))
		if got := connectionLifetime(t, ln.dial(), "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"); got > sideReadTimeout {
			t.Errorf("kept for %s", got)
		}
	})
}

// A client asked for the metrics and read none of the answer. The goroutine that
// wrote it, and its connection, stayed for as long as the client did.
func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wrote := make(chan time.Duration, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			_, _ = w.Write(make([]byte, 1<<20))
			wrote <- time.Since(start)
		})
		conn := servePipes(t, newSideServer(h, zerolog.Nop())).dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got := <-wrote; got > sideWriteTimeout {
			t.Errorf("written for %s", got)
		}
	})
}
