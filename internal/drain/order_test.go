package drain

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// lateCaller is a server on one of whose connections a call comes after it stopped accepting.
type lateCaller struct {
	calls           *Calls
	stopped, called bool
	cut             bool // the connections were closed before the call came
}

func (l *lateCaller) StopAccepting(context.Context) {
	l.stopped = true
	go func() {
		time.Sleep(quietFor - time.Millisecond)
		l.calls.serve(func(http.ResponseWriter, *http.Request) { l.called = true })
	}()
}

func (l *lateCaller) Shutdown(context.Context) error {
	l.cut = !l.stopped || !l.called
	return nil
}

// Guards the calls that were on their way as the sockets closed, on any of a node's servers: no
// connection is closed before all servers have stopped accepting and nothing came for a while.
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
		time.Sleep(quietFor)
	})
}
