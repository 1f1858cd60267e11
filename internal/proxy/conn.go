package proxy

import (
	"errors"
	"net"
	"sync/atomic"
)

// errBarred is what a barred connection answers to a write.
var errBarred = errors.New("proxy: the connection is closed to this request")

// State of a connection with regard to the call that holds it, in the lowest
// bits of conn.word. The rest of the word counts the calls that held it.
const (
	connClean   uint64 = iota // nothing of the call was written
	connWritten               // something was, or is being, written
	connBarred                // nothing may be written any more
	connState   uint64 = 3
	connNext    uint64 = 4
)

// conn is a connection to another node or to a backend server that knows
// whether the call that holds it has written anything.
//
// It guards against two failures. The first is a wrong "not run": an attempt
// fails, no byte seems to have left, the caller is told so, and then the
// transport's writer, a goroutine of its own, writes the request after all.
// bar and Write meet in one atomic word, so either the write counts first and
// bar says false, or the bar holds and the write fails. The second is
// described at attempt.gotConn.
type conn struct {
	net.Conn
	word atomic.Uint64
	// body is the streaming body of the call that holds the connection.
	body atomic.Pointer[streamBody]
}

// Close closes the connection and ends the reading of the body that was being
// sent on it.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if b := c.body.Load(); b != nil {
		b.abort()
	}
	return err
}

// Write marks the call as possibly run before its first byte leaves.
func (c *conn) Write(p []byte) (int, error) {
	for {
		w := c.word.Load()
		switch w & connState {
		case connBarred:
			return 0, errBarred
		case connClean:
			if !c.word.CompareAndSwap(w, w|connWritten) {
				continue
			}
		}
		return c.Conn.Write(p)
	}
}

// begin hands the connection to a call and returns the call's ticket for bar.
// The transport gives a connection to one call at a time, and only when all of
// the call before is written.
func (c *conn) begin(b *streamBody) uint64 {
	c.body.Store(b)
	for {
		w := c.word.Load()
		if w&connState == connBarred {
			return w &^ connState
		}
		next := w&^connState + connNext
		if c.word.CompareAndSwap(w, next) {
			return next
		}
	}
}

// bar reports whether nothing was written for the call with that ticket, and
// if so makes sure that nothing ever is.
func (c *conn) bar(ticket uint64) bool {
	return c.word.CompareAndSwap(ticket|connClean, ticket|connBarred) ||
		c.word.Load() == ticket|connBarred
}
