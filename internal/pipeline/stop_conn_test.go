package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// delayedListener is a listener whose connections can be read only once the server closes them or
// sets a deadline in the past.
type delayedListener struct {
	net.Listener
	accepted chan struct{}
}

func (l delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	return &delayedConn{Conn: c, open: make(chan struct{})}, nil
}

type delayedConn struct {
	net.Conn
	open chan struct{}
	once sync.Once
}

func (c *delayedConn) release() { c.once.Do(func() { close(c.open) }) }

func (c *delayedConn) Read(p []byte) (int, error) {
	<-c.open
	return c.Conn.Read(p)
}

// SetReadDeadline unblocks reads once the server stops waiting for a request.
func (c *delayedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		defer c.release()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *delayedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// Guards against a shutdown that closes a connection while a request waits in its socket. The
// caller could not know whether the request ran.
func TestShutdownAnswersArrivedRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "booked") }),
		Limits: func() Limits {
			return Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	late := delayedListener{Listener: ln, accepted: make(chan struct{}, 1)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(late) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c, "POST /book HTTP/1.1\nHost: h\nContent-Length: 2\n\nhi")
	<-late.accepted
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	if got := readResponse(t, bufio.NewReader(c)); got != "200 booked close" {
		t.Errorf("got %q", got)
	}
	c.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := <-served; err != http.ErrServerClosed {
		t.Error(err)
	}
}

// Guards against a silent connection delaying the shutdown: its final read must be short.
func TestShutdownClosesSilentConnections(t *testing.T) {
	var s Server
	s.Handler = http.NotFoundHandler()
	c, r := start(t, &s)
	send(t, c, "GET / HTTP/1.1\nHost: h\n\n")
	readResponse(t, r)
	bounded, cancel := context.WithTimeout(context.Background(), 30*time.Second) // the idle timeout is a minute
	defer cancel()
	if err := s.Shutdown(bounded); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("read after shutdown: %v", err)
	}
}
