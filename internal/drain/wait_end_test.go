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

// Guards against a quiet period that is counted before a long call ends: the connections then closed
// right at its end, although other clients had just sent calls.
func TestWaitEndsAfterQuietPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.acceptStopped.Store(true)
		var lastCall atomic.Int64
		go func() {
			time.Sleep(quietPeriod / 2)
			c.serve(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * quietPeriod) })
		}()
		go func() { // starts once the first quiet period is over
			time.Sleep(5 * quietPeriod)
			for range 200 {
				c.serve(func(http.ResponseWriter, *http.Request) { lastCall.Store(time.Now().UnixNano()) })
				time.Sleep(quietPeriod / 4)
			}
		}()
		if err := c.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if quiet := time.Since(time.Unix(0, lastCall.Load())); quiet < quietPeriod {
			t.Errorf("the last call arrived %v before, want %v at least", quiet, quietPeriod)
		}
		time.Sleep(100 * quietPeriod) // until the clients have ended
	})
}

// Guards against clients whose steady calls on open connections use up the whole limit of a stop: the
// connections then closed without a check for calls.
func TestWaitLeavesTimeToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Calls
		c.acceptStopped.Store(true)
		const limit = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		var client sync.WaitGroup
		client.Go(func() {
			for ctx.Err() == nil {
				c.serve(func(http.ResponseWriter, *http.Request) {})
				time.Sleep(quietPeriod / 2)
			}
		})
		start := time.Now()
		if err := c.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		if left := limit - time.Since(start); left < closeReserve-quietPeriod {
			t.Errorf("%v are left for closing, want %v", left, closeReserve-quietPeriod)
		}
		client.Wait()
	})
}
