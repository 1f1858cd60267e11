package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// traffic counts the calls that this node has in its hands, and ends callers'
// connections while the node leaves.
//
// It guards against a call that is lost with a connection. When a server closes
// a kept connection in the moment its caller sends the next call on it, the
// caller cannot know whether the call ran. So a leaving node closes no idle
// connection as long as it can: each answer says Connection: close, after which
// the caller sends nothing more on it, and the sockets stay open, refusing calls
// as not run, until the calls in flight have ended.
type traffic struct {
	leaving  atomic.Bool
	inFlight atomic.Int64
	started  atomic.Uint64
}

// unreadBody is how long the rest of a body that nobody read may take to come.
const unreadBody = 5 * time.Second

var closeConnection = []string{"close"}

// handler counts the calls that h handles.
func (t *traffic) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.started.Add(1)
		t.inFlight.Add(1)
		defer t.inFlight.Add(-1)
		if t.leaving.Load() {
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
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBody))
	}
}

// idleEvery is how often a leaving node looks whether its calls have ended.
const idleEvery = 10 * time.Millisecond

// wait returns when no call is in flight, or with ctx's error.
func (t *traffic) wait(ctx context.Context) error {
	ticker := time.NewTicker(idleEvery)
	defer ticker.Stop()
	for t.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
