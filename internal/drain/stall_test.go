package drain_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/drain"
)

// stalling is a listener whose process stands still once, as it is to look for those who wait.
type stalling struct {
	*net.TCPListener
	until   atomic.Pointer[time.Time]
	stalled atomic.Bool
	begun   chan struct{}
	goOn    chan struct{}
}

func (s *stalling) SetDeadline(t time.Time) error {
	if t.After(time.Now()) {
		s.until.Store(&t)
	}
	return s.TCPListener.SetDeadline(t)
}

func (s *stalling) Accept() (net.Conn, error) {
	if t := s.until.Load(); t != nil && !s.stalled.Swap(true) {
		close(s.begun)
		<-s.goOn
		time.Sleep(time.Until(*t) + time.Millisecond)
	}
	return s.TCPListener.Accept()
}

// Guards the callers that connect while a stopping node's process gets no processor for longer than
// the last look at its socket takes: nobody looked, and the kernel reset their bookings.
func TestStopAnswersTheBacklogThoughTheProcessStalls(t *testing.T) {
	eachKind(t, func(t *testing.T, calls *drain.Calls, s stoppable) {
		ln := &stalling{TCPListener: listen(t), begun: make(chan struct{}), goOn: make(chan struct{})}
		serve(t, s, ln)
		stopped := make(chan error, 1)
		servers := drain.Servers{Calls: calls, List: []drain.Stopper{s}}
		first := bookings(t, ln.Addr(), 1)[0]
		if err := booked(first); err != nil { // once it is answered the server accepts
			t.Fatal(err)
		}
		go func() { stopped <- servers.Shutdown(context.Background()) }()
		<-ln.begun
		waiting := bookings(t, ln.Addr(), 4)
		close(ln.goOn)
		for i, c := range waiting {
			if err := booked(c); err != nil {
				t.Errorf("connection %d: %v", i, err)
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
