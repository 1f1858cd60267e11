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

// Guards against sockets that close while clients still send: they must stay open until no call is in
// flight and none has arrived for a quiet period.
func TestWaitOutlastsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		start := time.Now()
		go c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		go func() {
			for range 30 {
				time.Sleep(quietPeriod / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		time.Sleep(time.Millisecond)
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		last := start.Add(30 * quietPeriod / 2)
		if left := time.Since(last); left < quietPeriod || left > 2*quietPeriod {
			t.Errorf("waited %v after the last call, want %v at least", left, quietPeriod)
		}
	})
}

// Guards against clients that ignore the drain and prolong a planned stop until its limit.
func TestWaitEndsWhileClientsSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		go func() {
			for range 100 {
				time.Sleep(quietPeriod / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		start := time.Now()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > quietTimeout+quietPeriod {
			t.Errorf("waited %v", took)
		}
		time.Sleep(100 * quietPeriod) // until the client has ended
	})
}

// Guards against lost calls on the connections that remain once the sockets are closed. The wait
// ended after a second, and the calls that followed lost their connections.
func TestWaitOutlastsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.acceptStopped.Store(true)
		const left = 100
		start := time.Now()
		go func() {
			for range left {
				time.Sleep(quietPeriod / 2)
				c.serve(func(http.ResponseWriter, *http.Request) {})
			}
		}()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took < left*quietPeriod/2+quietPeriod || took > left*quietPeriod/2+2*quietPeriod {
			t.Errorf("waited %v", took)
		}
	})
}

// Guards the limit of a planned stop against a call that doesn't end.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		time.Sleep(time.Millisecond)
		if err := c.Wait(ctx); err == nil {
			t.Error("Wait returned nil with a call in flight")
		}
		time.Sleep(time.Minute) // until it has ended
	})
}

// Guards against clients that keep sending to a draining server: each response must close its
// connection.
func TestDrainingClosesConnections(t *testing.T) {
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
