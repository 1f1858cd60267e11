package drain_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/drain"
)

// stalling is a listener whose process stalls once, just before it checks the accept queue.
type stalling struct {
	*net.TCPListener
	deadline     atomic.Pointer[time.Time]
	stalled      atomic.Bool
	stallStarted chan struct{}
	resume       chan struct{}
}

func (s *stalling) SetDeadline(t time.Time) error {
	if t.After(time.Now()) {
		s.deadline.Store(&t)
	}
	return s.TCPListener.SetDeadline(t)
}

func (s *stalling) Accept() (net.Conn, error) {
	if t := s.deadline.Load(); t != nil && !s.stalled.Swap(true) {
		close(s.stallStarted)
		<-s.resume
		time.Sleep(time.Until(*t) + time.Millisecond)
	}
	return s.TCPListener.Accept()
}

// Guards against lost calls when a stopping process gets no processor for longer than its last accept
// deadline: the queue was not checked again, and the kernel reset the connections in it.
func TestStopAnswersTheBacklogAfterStall(t *testing.T) {
	eachKind(t, func(t *testing.T, calls *drain.Calls, s stoppable) {
		ln := &stalling{TCPListener: listen(t), stallStarted: make(chan struct{}), resume: make(chan struct{})}
		serve(t, s, ln)
		stopped := make(chan error, 1)
		servers := drain.Servers{Calls: calls, List: []drain.Stopper{s}}
		first := bookings(t, ln.Addr(), 1)[0]
		if err := readResponse(first); err != nil { // its response shows that the server accepts
			t.Fatal(err)
		}
		go func() { stopped <- servers.Shutdown(context.Background()) }()
		<-ln.stallStarted
		waiting := bookings(t, ln.Addr(), 4)
		close(ln.resume)
		for i, c := range waiting {
			if err := readResponse(c); err != nil {
				t.Errorf("connection %d: %v", i, err)
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
