package message

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
)

// WriteWatch is a connection that knows whether a write on it has failed. The kernel tells of a reset once:
// if a write learns of it, reads find a clean end.
type WriteWatch struct {
	net.Conn
	writes sync.Mutex // held while something is written; guards failed
	failed bool
}

// Write implements net.Conn.
func (c *WriteWatch) Write(p []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = true
	}
	return n, err
}

// WasReset reports whether a connection at whose end a read has arrived was reset. It ends a write that is
// under way, since its peer may have closed the connection and read nothing more.
func (c *WriteWatch) WasReset() bool {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // an error means that it is closed here
	c.writes.Lock()
	defer c.writes.Unlock()
	return c.failed && !defect.On(defect.MissResets)
}
