// Package drain counts the calls in flight in a server, and closes its sockets in a planned stop
// without losing a call.
//
// When a server closes a keep-alive connection just as its client sends the next call, the client
// can't know whether the call ran. The same holds for a connection that waits to be accepted. So a
// draining server keeps connections open as long as it can: each response has Connection: close,
// after which the client sends nothing more on the connection. The listening sockets close first,
// so that no new connection is made. The connections close once no call is in flight and none has
// arrived for a while. Servers implements this order.
package drain

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/wait"
)

// Calls counts the calls of one process. The zero value is ready for use.
type Calls struct {
	draining      atomic.Bool
	acceptStopped atomic.Bool // no new connection is accepted
	inFlight      atomic.Int64
	started       atomic.Uint64
}

// StartDraining makes each response from now on close its connection, so that clients go elsewhere.
func (c *Calls) StartDraining() { c.draining.Store(true) }

// InFlight returns the number of calls in flight.
func (c *Calls) InFlight() int64 { return c.inFlight.Load() }

// Started returns how many calls have arrived since the start of the process.
func (c *Calls) Started() uint64 { return c.started.Load() }

// UnreadBodyTimeout bounds how long the rest of a request body that the handler left unread may
// take to arrive.
const UnreadBodyTimeout = 5 * time.Second

var closeConnection = []string{"close"}

// Handler counts the calls that h handles.
func (c *Calls) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.started.Add(1)
		c.inFlight.Add(1)
		defer c.inFlight.Add(-1)
		if c.draining.Load() {
			w.Header()["Connection"] = closeConnection
		}
		h.ServeHTTP(w, r)
		limitUnreadBody(w, r)
	})
}

// limitUnreadBody limits how long net/http reads a body that the handler left unread.
//
// It guards against a caller that sends the header of a call and then stalls. When the call is
// refused, net/http reads the body before it sends the response. Without a deadline the connection
// never becomes idle, and a stop waits for it until the drain limit. The next request on the
// connection sets its own deadline.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection is already closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
	}
}

const (
	// pollInterval is how often a draining server checks whether its calls have ended.
	pollInterval = 10 * time.Millisecond
	// quietPeriod is how long no call may arrive before connections are closed: a call may be in
	// transit from another region, on a connection that is being established.
	quietPeriod = 100 * time.Millisecond
	// quietTimeout bounds the wait for that while connections are accepted: some clients don't
	// notice that the server drains, and keep reconnecting.
	quietTimeout = time.Second
	// closeReserve is the part of a stop's time that is left for closing the connections.
	closeReserve = 500 * time.Millisecond
)

// Wait returns once no call is in flight and none has arrived for a quiet period, or with ctx's
// error. If calls keep arriving, it returns without the quiet period, early enough to close the
// connections before ctx's deadline.
func (c *Calls) Wait(ctx context.Context) error {
	if err := c.waitIdle(ctx); err != nil {
		return err
	}
	end, bounded := c.quietDeadline(ctx)
	for !bounded || time.Now().Before(end) {
		started := c.Started()
		if err := wait.For(ctx, quietPeriod); err != nil {
			return err
		}
		if err := c.waitIdle(ctx); err != nil {
			return err
		}
		if c.Started() == started {
			return nil
		}
	}
	return c.waitIdle(ctx)
}

// quietDeadline returns the end of the wait for a quiet period. Once no connection is accepted, ctx
// is the only bound: each remaining connection carries at most one more call, since its response
// closes the connection.
func (c *Calls) quietDeadline(ctx context.Context) (end time.Time, bounded bool) {
	if !c.acceptStopped.Load() {
		return time.Now().Add(quietTimeout), true
	}
	deadline, ok := ctx.Deadline()
	return deadline.Add(-closeReserve), ok
}

// waitIdle returns when no call is in flight.
func (c *Calls) waitIdle(ctx context.Context) error {
	for c.InFlight() > 0 {
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
