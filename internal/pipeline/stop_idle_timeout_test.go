package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a reset request during shutdown: after operators lowered the idle timeout, the
// final read was skipped while a request waited in the socket.
func TestShutdownReadsAfterIdleTimeoutWasLowered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	var asked sync.Once
	waits := make(chan struct{})
	s := &Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "booked") }),
		Limits: func() Limits {
			bound := time.Duration(idle.Load())
			asked.Do(func() { close(waits) })
			return Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: bound}
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
	<-waits // with the old timeout
	idle.Store(int64(time.Nanosecond))
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
