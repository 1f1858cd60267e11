//go:build unix

package drain

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasPending reports whether the accept queue holds a connection. Accept doesn't check the queue
// once its deadline has passed, as in a process that got no processor for that long.
func (l *Listener) hasPending() bool {
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
