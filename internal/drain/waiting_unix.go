//go:build unix

package drain

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// somebodyWaits reports whether a connection waits to be accepted. Accept doesn't look once its
// deadline has passed, as in a process that got no processor for as long.
func (l *Listener) somebodyWaits() bool {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // the socket is closed
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // an error means the same
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}
