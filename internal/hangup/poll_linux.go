package hangup

import "golang.org/x/sys/unix"

// poller keeps its buffers from poll to poll.
type poller struct {
	fds    []unix.PollFd
	closed []int
}

// poll returns the indexes of the connections in list whose peers have closed or reset them. It does
// not wait.
func (p *poller) poll(list []*watch) []int {
	p.fds, p.closed = p.fds[:0], p.closed[:0]
	for _, x := range list {
		p.fds = append(p.fds, unix.PollFd{Fd: int32(x.fd), Events: unix.POLLRDHUP})
	}
	if n, err := unix.Poll(p.fds, 0); err != nil || n == 0 {
		return nil // an interrupted poll is repeated after Interval
	}
	for i := range p.fds {
		if p.fds[i].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			p.closed = append(p.closed, i)
		}
	}
	return p.closed
}
