package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

// Server is an http.Server that can stop accepting connections while it keeps serving. HTTP must be
// set.
type Server struct {
	HTTP *http.Server
	// TLS is the configuration of connections; nil means plain text.
	TLS *tls.Config

	mu       sync.Mutex // guards the rest
	ln       *Listener
	stopping bool
}

// Serve accepts connections until the server stops, and then returns http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	l := NewListener(ln)
	s.mu.Lock()
	s.ln = l
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		ln.Close()
		return http.ErrServerClosed
	}
	ln = l
	if s.TLS != nil {
		ln = tls.NewListener(ln, s.TLS)
	}
	err := s.HTTP.Serve(ln)
	if l.Stopping() {
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting closes the socket once its accept queue is empty. Calls on the connections accepted
// so far are still served.
func (s *Server) StopAccepting(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	l := s.ln
	s.mu.Unlock()
	if l != nil {
		l.Stop(ctx)
	}
}

// Shutdown stops accepting, and closes each connection once it is idle. A call that arrives as its
// connection closes is lost; planned stops use Servers.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting(ctx)
	return s.HTTP.Shutdown(ctx)
}

// Close closes the server and its connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }
