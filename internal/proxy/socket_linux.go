package proxy

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// boundUnacked makes the kernel break a connection whose written bytes are not acknowledged in
// time. A middlebox may have dropped the connection's state: writes succeed, answers never arrive,
// and without this bound the kernel would retransmit for a quarter of an hour.
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
