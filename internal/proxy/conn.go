package proxy

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/message"
)

// Errors of blocked writes.
var (
	errWritesBlocked = errors.New("proxy: writes of this request are blocked")
	errReplay        = errors.New("proxy: the connection broke after the request was sent")
)

// Write state of a connection for its current call, in the lowest bits of conn.state. The other bits
// are the generation: they count the calls that used the connection.
const (
	connClean      uint64 = iota // nothing was written for the call
	connWritten                  // something was or is being written
	connBlocked                  // nothing was written, and writes fail
	connDead                     // something was written, and the connection is closed
	connStateMask  uint64 = 3
	connGeneration uint64 = 4
)

// conn is a connection to another node or to a backend server that tracks whether its current call
// has written anything.
//
// It prevents two failures. The first is a wrong "not run": an attempt fails before any byte was
// written, the caller is answered "not run", and then the transport's writer goroutine writes the
// request after all. blockWrites and Write update the same atomic word, so either the write comes
// first and blockWrites returns false, or writes are blocked and Write fails. The second is
// described at attempt.gotConn.
type conn struct {
	*message.Conn
	raw   net.Conn // the socket under Conn if Conn is encrypted, else nil
	state atomic.Uint64
	// body is the streaming body of the current call.
	body atomic.Pointer[streamBody]
	// replay is set if the transport tried to resend on this connection a request that may
	// have run.
	replay atomic.Bool
	// open counts the open connections; it includes this one until closed is set.
	open   *atomic.Int64
	closed atomic.Bool
}

// newConn returns a connection over c. raw is the socket under c if c is encrypted, else nil.
func newConn(c, raw net.Conn, open *atomic.Int64) *conn {
	return &conn{Conn: message.NewConn(c), raw: raw, open: open}
}

// Close closes the connection and ends reads of the body that is being sent on it.
//
// It closes the socket without sending the TLS close_notify alert: that write would block on a peer
// that doesn't read, and Close is called under the lock of an attempt that has just timed out.
// HTTP/1.1 requests carry their length, so the peer doesn't take a truncated one for complete.
func (c *conn) Close() error {
	err := c.socket().Close()
	if c.open != nil && c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
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

// Write marks the call as possibly run before its first byte is written.
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

// refuseWrite writes nothing. For a request that must not be replayed it reports one byte as
// written: if nothing was written, the transport would retry on every idle connection in turn and
// close them all.
func (c *conn) refuseWrite() (int, error) {
	if c.replay.Load() {
		return 1, errReplay
	}
	return 0, errWritesBlocked
}

// assign assigns the connection to a call and returns the call's generation, which is the state of
// the clean connection. The transport assigns a connection to one call at a time, and only after
// the previous call was written completely.
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

// blockWrites reports whether nothing was written for the call with that generation, and if so
// blocks its later writes.
func (c *conn) blockWrites(generation uint64) bool {
	return c.state.CompareAndSwap(generation, generation|connBlocked) ||
		c.state.Load() == generation|connBlocked
}

// closeFor closes the connection if the call with that generation still uses it. A call that is
// assigned the connection at the same time finds its writes blocked and can use another one.
func (c *conn) closeFor(generation uint64) {
	if c.state.CompareAndSwap(generation|connWritten, generation|connDead) || c.blockWrites(generation) {
		_ = c.Close()
	}
}
