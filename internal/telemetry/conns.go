package telemetry

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// firstMany is how many open connections of one listener are worth a line. The next line comes
// when they have doubled.
const firstMany = 512

// Conns counts the open connections of one listener. It is safe for concurrent use.
type Conns struct {
	log  zerolog.Logger
	open atomic.Int64
	most atomic.Int64 // of which a line has told
}

// NewConns returns the counter of a listener that a line names by its name.
func NewConns(log zerolog.Logger, listener string) *Conns {
	c := &Conns{log: log.With().Str("listener", listener).Logger()}
	c.most.Store(firstMany / 2)
	return c
}

// Open returns how many connections are open.
func (c *Conns) Open() int64 { return c.open.Load() }

// Note takes in a change; it is for http.Server.ConnState.
func (c *Conns) Note(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.opened(conn)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

func (c *Conns) opened(conn net.Conn) {
	n := c.open.Add(1)
	told := c.most.Load()
	if n >= 2*told && c.most.CompareAndSwap(told, 2*told) {
		c.log.Warn().Int64("open", n).Str("last_from", conn.RemoteAddr().String()).
			Msg("listener: many connections are open")
	}
}
