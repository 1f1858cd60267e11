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

// lateConns is a listener whose connections are read only once the server ends them.
type lateConns struct {
	net.Listener
	accepted chan struct{}
}

func (l lateConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	return &lateConn{Conn: c, open: make(chan struct{})}, nil
}

type lateConn struct {
	net.Conn
	open chan struct{}
	once sync.Once
}

func (c *lateConn) release() { c.once.Do(func() { close(c.open) }) }

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.open
	return c.Conn.Read(p)
}

// SetReadDeadline lets the connection be read once its server stops waiting for it.
func (c *lateConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		defer c.release()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *lateConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// Guards a booking that waits in the socket of a connection as a stop closes it: the connection
// was closed without a look, and the caller couldn't know whether the booking ran.
func TestStopAnswersARequestThatHasArrived(t *testing.T) {
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
	late := lateConns{Listener: ln, accepted: make(chan struct{}, 1)}
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
	if got := answer(t, bufio.NewReader(c)); got != "200 booked close" {
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

// Guards a stop against a connection that stays silent: the last look at it is a short one.
func TestStopEndsSilentConnections(t *testing.T) {
	var s Server
	s.Handler = http.NotFoundHandler()
	c, r := start(t, &s)
	send(t, c, "GET / HTTP/1.1\nHost: h\n\n")
	answer(t, r)
	bounded, cancel := context.WithTimeout(context.Background(), 30*time.Second) // the idle bound is a minute
	defer cancel()
	if err := s.Shutdown(bounded); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
}
