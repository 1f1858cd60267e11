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
	})
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
