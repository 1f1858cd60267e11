package drain

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// lateCaller is a server that receives a call on an open connection after it stopped accepting.
type lateCaller struct {
	calls           *Calls
	stopped, called bool
	cut             bool // connections closed before the call arrived
}

func (l *lateCaller) StopAccepting(context.Context) {
	l.stopped = true
	go func() {
		time.Sleep(quietPeriod - time.Millisecond)
		l.calls.serve(func(http.ResponseWriter, *http.Request) { l.called = true })
	}()
}

func (l *lateCaller) Shutdown(context.Context) error {
	l.cut = !l.stopped || !l.called
	return nil
}

// Guards against calls that are lost in transit as the sockets close. No connection may close before
// all servers have stopped accepting and no call has arrived for a quiet period.
func TestConnectionsCloseLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		first, second := &lateCaller{calls: &c}, &lateCaller{calls: &c}
		s := Servers{Calls: &c, List: []Stopper{first, second}}
		if err := s.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if first.cut || second.cut {
			t.Errorf("cut: %v, %v", first.cut, second.cut)
		}
		time.Sleep(quietPeriod)
	})
}
