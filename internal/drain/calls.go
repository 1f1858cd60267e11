// Package drain counts the calls that a server has in its hands, and tells when its sockets can be
// closed in a planned stop without losing a call.
//
// When a server closes a kept connection in the moment its client sends the next call on it, the
// client can't know whether the call ran. The same goes for a connection that waits to be
// accepted. So a leaving server closes no connection as long as it can: each answer says
// Connection: close, after which the client sends nothing more on it. The listening sockets close
// first, so that nobody begins anew, and the connections once the calls in flight have ended and
// none has come for a while. Servers keeps that order.
package drain

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/wait"
)

// Calls counts the calls of one process. Its zero value is ready for use.
type Calls struct {
	leaving  atomic.Bool
	noneNew  atomic.Bool // no connection is accepted any more
	inFlight atomic.Int64
	started  atomic.Uint64
}

// StartDraining asks clients to go elsewhere: each answer from now on ends its connection.
func (c *Calls) StartDraining() { c.leaving.Store(true) }

// InFlight returns how many calls are in the process's hands.
func (c *Calls) InFlight() int64 { return c.inFlight.Load() }

// Started returns how many calls have come since the start of the process.
func (c *Calls) Started() uint64 { return c.started.Load() }

// UnreadBodyTimeout is how long the rest of a body that nobody read may take to come.
const UnreadBodyTimeout = 5 * time.Second

var closeConnection = []string{"close"}

// Handler counts the calls that h handles.
func (c *Calls) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.started.Add(1)
		c.inFlight.Add(1)
		defer c.inFlight.Add(-1)
		if c.leaving.Load() {
			w.Header()["Connection"] = closeConnection
		}
		h.ServeHTTP(w, r)
		boundUnread(w, r)
	})
}

// boundUnread bounds how long net/http reads on in a body that the handler left.
//
// It guards against a caller that sends the header of a call and falls silent.
// When the call is refused, net/http reads the body before it sends the answer,
// and without a bound the connection is never done with: a stop would wait for
// it until the drain limit. The next request on the connection sets its own
// bound.
func boundUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection is gone already.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
	}
}

const (
	// lookEvery is how often a leaving server looks whether its calls have ended.
	lookEvery = 10 * time.Millisecond
	// quietFor is how long no call may have come: a call may be on its way from another region,
	// on a connection that is being made.
	quietFor = 100 * time.Millisecond
	// quietWithin bounds the wait for that while connections are accepted: some clients never
	// learn that the server leaves, and come again and again.
	quietWithin = time.Second
	// closeWithin is what the wait for quiet leaves of a stop's time for closing the connections.
	closeWithin = 500 * time.Millisecond
)

// Wait returns when no call is in flight and none has come for a while, or with ctx's error. Where
// calls come all the while it ends without that quiet, in time for closing the connections before
// ctx's deadline.
func (c *Calls) Wait(ctx context.Context) error {
	if err := c.waitIdle(ctx); err != nil {
		return err
	}
	end, bounded := c.quietUntil(ctx)
	for !bounded || time.Now().Before(end) {
		seen := c.Started()
		if err := wait.For(ctx, quietFor); err != nil {
			return err
		}
		if err := c.waitIdle(ctx); err != nil {
			return err
		}
		if c.Started() == seen {
			return nil
		}
	}
	return c.waitIdle(ctx)
}

// quietUntil returns until when quiet is waited for. Once no connection is accepted any more, ctx is
// the only bound: what can still come is one call on each connection that is left, since its answer
// ends it.
func (c *Calls) quietUntil(ctx context.Context) (end time.Time, bounded bool) {
	if !c.noneNew.Load() {
		return time.Now().Add(quietWithin), true
	}
	deadline, ok := ctx.Deadline()
	return deadline.Add(-closeWithin), ok
}

// waitIdle returns when no call is in flight.
func (c *Calls) waitIdle(ctx context.Context) error {
	for c.InFlight() > 0 {
		if err := wait.For(ctx, lookEvery); err != nil {
			return err
		}
	}
	return nil
}
