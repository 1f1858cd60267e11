package drain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

func (c *Calls) serve(h http.HandlerFunc) {
	c.Handler(h).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}

// Guards against sockets that are closed while clients still send: they stay open until no call
// is in flight and none has come for a while.
func TestWaitOutlastsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		begun := time.Now()
		go c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		go func() {
			for range 30 {
				time.Sleep(quietFor / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		time.Sleep(time.Millisecond)
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		last := begun.Add(30 * quietFor / 2)
		if left := time.Since(last); left < quietFor || left > 2*quietFor {
			t.Errorf("waited %v after the last call, want %v at least", left, quietFor)
		}
	})
}

// Guards a planned stop against clients that never learn of it: it doesn't last until its limit.
func TestWaitEndsThoughClientsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		go func() {
			for range 100 {
				time.Sleep(quietFor / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		begun := time.Now()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > quietWithin+quietFor {
			t.Errorf("waited %v", took)
		}
		time.Sleep(100 * quietFor) // until the client has ended
	})
}

// Guards the connections that are left once the sockets are closed: each may still bring a call, and
// the wait ended after a second and had the next ones cut.
func TestWaitOutlastsKeptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.noneNew.Store(true)
		const left = 100
		begun := time.Now()
		go func() {
			for range left {
				time.Sleep(quietFor / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took < left*quietFor/2+quietFor || took > left*quietFor/2+2*quietFor {
			t.Errorf("waited %v", took)
		}
	})
}

// Guards the limit of a planned stop against clients that send on and on.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		time.Sleep(time.Millisecond)
		if err := c.Wait(ctx); err == nil {
			t.Error("the call in flight isn't waited for")
		}
		time.Sleep(time.Minute) // until it has ended
	})
}

// Guards the connections of clients that go on: each answer ends its own while the server leaves.
func TestLeavingEndsConnections(t *testing.T) {
	var c Calls
	for _, want := range []string{"", "close"} {
		w := httptest.NewRecorder()
		c.Handler(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := w.Header().Get("Connection"); got != want {
			t.Errorf("Connection %q, want %q", got, want)
		}
		c.StartDraining()
	}
}
