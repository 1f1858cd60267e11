package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// sideConns bounds the open connections of a side server. The connection that waits longest for a request
// gives way to a new one; without any that waits, the new one is closed.
type sideConns struct {
	most int

	mu   sync.Mutex // guards open
	open map[net.Conn]sideConn
}

type sideConn struct {
	waiting bool // for a request
	since   time.Time
}

func newSideConns(most int) *sideConns {
	return &sideConns{most: most, open: make(map[net.Conn]sideConn)}
}

// note records the state of a connection; it is for http.Server.ConnState.
func (s *sideConns) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.open) >= s.most && !s.closeWaiting() {
			c.Close()
			return
		}
		s.open[c] = sideConn{waiting: true, since: time.Now()}
	case http.StateActive, http.StateIdle:
		if _, ok := s.open[c]; ok {
			s.open[c] = sideConn{waiting: state == http.StateIdle, since: time.Now()}
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// closeWaiting closes the connection that waits longest, and reports whether there is one.
func (s *sideConns) closeWaiting() bool {
	var longest net.Conn
	for c, state := range s.open {
		if state.waiting && (longest == nil || state.since.Before(s.open[longest].since)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	delete(s.open, longest)
	longest.Close()
	return true
}
