package pipeline

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/drain"
	"github.com/marlpass/marlpass/internal/hangup"
)

// Limits of a Server.
const (
	// MaxPipelined is the maximum number of pending requests of one connection.
	MaxPipelined = 32
	// MaxBufferedResponse is how many bytes of a response body are buffered until its turn.
	MaxBufferedResponse = 64 << 10
	// pollInterval is how often Shutdown checks for idle connections, and the delay after a
	// temporary accept error.
	pollInterval = 10 * time.Millisecond
)

// Limits bound the size and duration of a client's requests.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // between requests
}

// Server serves connections. Handler and Limits must be set.
type Server struct {
	Handler http.Handler
	// Limits is called for each request.
	Limits func() Limits
	// CanPipeline reports whether a request may be handled while earlier ones are pending; nil
	// means never.
	CanPipeline func(*http.Request) bool
	Log         zerolog.Logger
	// TLS is the configuration of connections; nil means plain text.
	TLS *tls.Config
	// MaxConns bounds the open connections; zero means no bound. Connections that wait for a request
	// are closed to make room for new ones.
	MaxConns int
	// Memory is what the headers and the pending requests of all connections may take; nil means no
	// bound. A request for which there is no room is answered by Reject without being handled.
	Memory *budget.Memory
	Reject http.Handler
	// WriteTimeout bounds each write to a client that does not read; zero means no bound.
	WriteTimeout time.Duration
	// ConnState, if set, is told of connections that open and close.
	ConnState func(net.Conn, http.ConnState)

	mu    sync.Mutex // guards the rest
	conns map[*conn]struct{}
	ln    *drain.Listener
	// stopping means that no connection is accepted except those that already wait at the socket,
	// closed that those are not accepted either.
	stopping, closed bool
	// draining makes connections close as soon as no request is pending on them.
	draining atomic.Bool
	hangups  hangup.Watcher
	// lastEviction is when connections were last looked through for some to close.
	lastEviction time.Time
	refusedConns atomic.Uint64
	evictedConns atomic.Uint64
}

// Serve accepts connections until StopAccepting, Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = drain.NewListener(ln)
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	stopping, l := s.stopping, s.ln
	s.mu.Unlock()
	if stopping {
		ln.Close()
		return http.ErrServerClosed
	}
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(raw)
		case s.isStopping() && !temporary(err):
			return http.ErrServerClosed
		case temporary(err):
			s.Log.Warn().Err(err).Msg("listener: accepting a connection failed")
			time.Sleep(pollInterval)
		default:
			return err
		}
	}
}

// temporary reports whether a later accept may succeed, for example when the process is out of
// file descriptors.
func temporary(err error) bool {
	var e interface{ Temporary() bool }
	return errors.As(err, &e) && e.Temporary()
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) startConn(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.makeRoom() {
		raw.Close()
		return
	}
	c := newConn(s, raw)
	s.conns[c] = struct{}{}
	if s.ConnState != nil {
		s.ConnState(raw, http.StateNew)
	}
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.ConnState != nil {
		s.ConnState(c.raw, http.StateClosed)
	}
}

// StopAccepting closes the socket after accepting the connections that wait at it. Their
// requests, and those on the other connections, are still served.
func (s *Server) StopAccepting(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	l := s.ln
	s.mu.Unlock()
	if l != nil {
		l.Stop(ctx)
	}
}

// Shutdown stops accepting, and closes each connection once no request is pending on it. It
// returns when all are closed, or with ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.StopAccepting(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// CancelRequests cancels the requests in progress, and returns when every pending response was
// sent, or with ctx's error. It is for a planned stop that takes too long, after Shutdown and
// before Close.
//
// On a connection with pipelined requests, a finished response waits for those before it, and
// closing the connection at the time limit would lose it too. With the requests before it
// cancelled and answered as failed, it can be sent.
func (s *Server) CancelRequests(ctx context.Context) error {
	s.mu.Lock()
	for c := range s.conns {
		c.cancelRequests()
	}
	s.mu.Unlock()
	return s.Shutdown(ctx)
}

// closeIdle closes the connections on which no request is pending, and returns how many are left.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	left := 0
	for _, c := range list {
		if !c.closeIdle() {
			left++
		}
	}
	return left
}

// Close stops accepting and closes all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.closed = true, true
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.abort()
	}
	return nil
}
