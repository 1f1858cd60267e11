package pipeline

import (
	"net"
	"slices"
	"time"
)

// ConnMemory is what an open connection takes of the live heap, in bytes: its buffers, its goroutine and
// what the runtime keeps of its socket.
const ConnMemory = 12 << 10

// Room for new connections.
const (
	// spareConns is the divisor of MaxConns that gives how many connections are kept free.
	spareConns = 8
	// evictionInterval is the least time between two looks for connections to close. A look goes through
	// all of them.
	evictionInterval = 10 * time.Millisecond
	// slowHeader is how long a header may take once connections are scarce.
	slowHeader = 500 * time.Millisecond
	// scarceLinger is how long a closing connection with unread bytes stays open then. Closed at once, it
	// could be reset before its client has read the response.
	scarceLinger = 100 * time.Millisecond
)

// makeRoom reports whether another connection may be opened. Connections that nobody needs are closed
// before there is no room. s.mu is held.
func (s *Server) makeRoom() bool {
	if s.MaxConns <= 0 {
		return true
	}
	if excess := len(s.conns) - (s.MaxConns - s.MaxConns/spareConns); excess >= 0 {
		s.evict(excess + 1)
	}
	if len(s.conns) < s.MaxConns {
		return true
	}
	s.refusedConns.Add(1)
	return false
}

// evict closes up to n connections: those whose clients have all that was sent, those whose header takes
// long, and those that wait for a request, longest first. s.mu is held.
func (s *Server) evict(n int) {
	now := time.Now()
	if now.Sub(s.lastEviction) < evictionInterval {
		return
	}
	s.lastEviction = now
	var idle []idleConn
	for c := range s.conns {
		switch state, since := c.evictable(now); state {
		case connDone:
			c.raw.Close()
			n--
			s.evictedConns.Add(1)
		case connIdle:
			idle = append(idle, idleConn{c, since})
		case connClosing:
			n--
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, i := range idle[:max(0, min(n, len(idle)))] {
		i.conn.closeIdle()
		s.evictedConns.Add(1)
	}
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// evictability says whether a connection may be closed to make room.
type evictability int

const (
	connBusy    evictability = iota
	connIdle                 // it waits for a request
	connClosing              // it is being closed
	connDone                 // closing it loses neither a request that was read nor a response
)

func (c *conn) evictable(now time.Time) (state evictability, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lingering && now.Sub(c.since) > scarceLinger:
		return connDone, c.since
	case c.lingering:
		return connClosing, c.since
	case len(c.pending) > 0:
		return connBusy, c.since
	case c.reading && now.Sub(c.since) > slowHeader:
		return connDone, c.since
	case c.finalRead:
		return connClosing, c.since
	case c.waiting && !c.readsDone:
		return connIdle, c.since
	}
	return connBusy, c.since
}

// ConnCounts are the connections that were refused, and those that were closed early, for want of room.
type ConnCounts struct{ Open, Refused, Evicted uint64 }

// Conns returns the open connections, and what was done for want of room.
func (s *Server) Conns() ConnCounts {
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	return ConnCounts{Open: uint64(open), Refused: s.refusedConns.Load(), Evicted: s.evictedConns.Load()}
}

// closeWriter is a connection whose sending side can be closed.
type closeWriter interface {
	net.Conn
	CloseWrite() error
}
