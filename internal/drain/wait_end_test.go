package drain

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards the calls that come while a long one ends: the quiet before the long one's end counted, and
// the connections closed within the moment it ended, though others had just sent calls.
func TestWaitIsQuietAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.noneNew.Store(true)
		var lastCall atomic.Int64
		go func() {
			time.Sleep(quietFor / 2)
			c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * quietFor) })
		}()
		go func() { // begins once the first quiet while is over
			time.Sleep(5 * quietFor)
			for range 200 {
				c.serve(func(http.ResponseWriter, *http.Request) { lastCall.Store(time.Now().UnixNano()) })
				time.Sleep(quietFor / 4)
			}
		}()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if quiet := time.Since(time.Unix(0, lastCall.Load())); quiet < quietFor {
			t.Errorf("the last call came %v before, want %v at least", quiet, quietFor)
		}
		time.Sleep(100 * quietFor) // until the clients have ended
	})
}

// Guards the connections that a stop has to close before its limit: clients that send all the while
// on kept connections used up the whole limit, and the connections were then closed unseen.
func TestWaitLeavesTimeToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.noneNew.Store(true)
		const limit = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		var client sync.WaitGroup
		client.Go(func() {
			for ctx.Err() == nil {
				c.serve(func(http.ResponseWriter, *http.Request) {})
				time.Sleep(quietFor / 2)
			}
		})
		begun := time.Now()
		if err := c.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		if left := limit - time.Since(begun); left < closeWithin-quietFor {
			t.Errorf("%v are left for closing, want %v", left, closeWithin-quietFor)
		}
		client.Wait()
	})
}
