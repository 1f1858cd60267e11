package localmesh

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// cutConn is a connection that a cut can end or silence.
type cutConn struct {
	net.Conn
	cuts     *Cuts
	from, to place
	in, out  *atomic.Int64 // bytes, or nil

	silent   atomic.Bool
	deadline atomic.Pointer[time.Time] // for reads
	once     sync.Once
	closed   chan struct{}
}

func (c *cutConn) cut(m Mode) {
	if m == Silent {
		c.silent.Store(true)
		return
	}
	// Close itself would take the lock that the caller holds.
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		return 0, c.hang()
	}
	if c.in != nil {
		c.in.Add(int64(n))
	}
	return n, err
}

// hang returns when the connection is closed here, or the deadline for reads
// passes: nothing arrives any more, not even the far end's goodbye.
func (c *cutConn) hang() error {
	var expired <-chan time.Time
	if d := c.deadline.Load(); d != nil && !d.IsZero() {
		t := time.NewTimer(time.Until(*d))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if c.out != nil {
		c.out.Add(int64(n))
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *cutConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *cutConn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.cuts.forget(c)
	})
	return c.Conn.Close()
}
