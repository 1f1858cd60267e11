package drain

import (
	"net/http"
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
		c.noneNew()
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
