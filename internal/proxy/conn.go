package proxy

import (
	"errors"
	"net"
	"sync/atomic"
)

// Errors of writes to a connection that may not be written to.
var (
	errWritesBlocked = errors.New("proxy: the connection is closed to this request")
	errReplay        = errors.New("proxy: the connection broke after the request was sent")
)

// State of a connection with regard to the call that holds it, in the lowest
// bits of conn.word. The rest of the word counts the calls that held it.
const (
	connClean      uint64 = iota // nothing of the call was written
	connWritten                  // something was, or is being, written
	connBlocked                  // nothing was, and nothing may be written any more
	connDead                     // something was; the connection is closed
	connStateMask  uint64 = 3
	connGeneration uint64 = 4
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
	raw   net.Conn // the socket below Conn if that is encrypted, else nil
	state atomic.Uint64
	// body is the streaming body of the call that holds the connection.
	body atomic.Pointer[streamBody]
	// replay says that a request that may have run was led onto this
	// connection.
	replay atomic.Bool
}

// Close closes the connection and ends the reading of the body that was being
// sent on it.
//
// It closes the socket, without the farewell that TLS would write first: that
// write waits for a far end that reads nothing, and Close is called under the
// lock of an attempt whose bound has just passed. HTTP/1.1 requests say their
// own length, so the far end takes none for whole that was cut.
func (c *conn) Close() error {
	err := c.socket().Close()
	if b := c.body.Load(); b != nil {
		b.connClosed(c)
	}
	return err
}

func (c *conn) socket() net.Conn {
	if c.raw != nil {
		return c.raw
	}
	return c.Conn
}

// Write marks the call as possibly run before its first byte leaves.
func (c *conn) Write(p []byte) (int, error) {
	for {
		w := c.state.Load()
		switch w & connStateMask {
		case connBlocked, connDead:
			return c.refuseWrite()
		case connClean:
			if !c.state.CompareAndSwap(w, w|connWritten) {
				continue
			}
		}
		return c.Conn.Write(p)
	}
}

// refuseWrite writes nothing. To a request that must not be replayed it claims
// that a byte was written: the transport sends a request of which it believes
// nothing was written to one connection after another, and would close them
// all on its way.
func (c *conn) refuseWrite() (int, error) {
	if c.replay.Load() {
		return 1, errReplay
	}
	return 0, errWritesBlocked
}

// begin hands the connection to a call and returns the call's ticket, which is
// the word of the clean connection. The
// transport gives a connection to one call at a time, and only when all of the
// call before is written.
func (c *conn) assign(b *streamBody) uint64 {
	c.body.Store(b)
	if b != nil {
		b.sendOn(c)
	}
	for {
		w := c.state.Load()
		next := w&^connStateMask + connGeneration
		state := connClean
		if s := w & connStateMask; s == connBlocked || s == connDead {
			state = connBlocked
		}
		if c.state.CompareAndSwap(w, next|state) {
			return next
		}
	}
}

// bar reports whether nothing was written for the call with that ticket, and
// if so makes sure that nothing ever is.
func (c *conn) blockWrites(ticket uint64) bool {
	return c.state.CompareAndSwap(ticket, ticket|connBlocked) ||
		c.state.Load() == ticket|connBlocked
}

// kill closes the connection if the call with that ticket still holds it. A
// call that takes it in the same moment finds it barred, and can go elsewhere.
func (c *conn) closeFor(ticket uint64) {
	if c.state.CompareAndSwap(ticket|connWritten, ticket|connDead) || c.blockWrites(ticket) {
		_ = c.Close()
	}
}
