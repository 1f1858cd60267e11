package proxy

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// boundUnacked lets the kernel break a connection whose written bytes nobody
// acknowledges. Something between the two ends may have forgotten the
// connection: writes succeed, answers never come, and without this bound the
// kernel would go on resending for a quarter of an hour.
func (p ConnTimeouts) boundUnacked(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(p.UnackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return set
}
