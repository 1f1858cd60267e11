package node

import (
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/settings"
)

// headerTimeout bounds how long a client may take to send a request's header,
// so that silent connections do not pile up.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 64 << 10

// listeners are the sockets of one node. All are opened before any is served,
// so that a node either starts whole or not at all.
type listeners struct {
	callers, internal, calls, control, admin, announce, metrics net.Listener
	ready                                                       net.Listener // nil when the settings name no address
}

// openListeners opens all sockets, or none.
func openListeners(l settings.Listen) (*listeners, error) {
	out := new(listeners)
	for _, a := range []struct {
		key, addr string
		into      *net.Listener
	}{
		{"callers", l.Callers, &out.callers},
		{"internal", l.Internal, &out.internal},
		{"calls", l.Calls, &out.calls},
		{"control", l.Control, &out.control},
		{"admin", l.Admin, &out.admin},
		{"announce", l.Announce, &out.announce},
		{"metrics", l.Metrics, &out.metrics},
		{"ready", l.Ready, &out.ready},
	} {
		if a.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", a.addr)
		if err != nil {
			out.close()
			return nil, fmt.Errorf("node: listen.%s cannot be opened: %w", a.key, err)
		}
		*a.into = ln
	}
	return out, nil
}

func (l *listeners) all() []net.Listener {
	return []net.Listener{l.callers, l.internal, l.calls, l.control, l.admin, l.announce, l.metrics}
}

func (l *listeners) close() {
	for _, ln := range append(l.all(), l.ready) {
		if ln != nil {
			ln.Close()
		}
	}
}

// Addrs are the addresses that a node listens on, as they came out.
type Addrs struct {
	Callers, Internal, Calls, Control, Admin, Announce, Metrics string
}

func (l *listeners) addrs() Addrs {
	return Addrs{
		Callers:  l.callers.Addr().String(),
		Internal: l.internal.Addr().String(),
		Calls:    l.calls.Addr().String(),
		Control:  l.control.Addr().String(),
		Admin:    l.admin.Addr().String(),
		Announce: l.announce.Addr().String(),
		Metrics:  l.metrics.Addr().String(),
	}
}

// newServer returns an HTTP server for calls. Whole requests and answers have no
// bound of time here: archive pulls take minutes, and the proxy bounds calls by
// their deadlines.
func newServer(h http.Handler, log zerolog.Logger) *http.Server {
	return &http.Server{
		ErrorLog:          errorLog(log),
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       proxy.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Bounds of the requests that operators, backend servers and readers of metrics
// send, from the end of the header on: their bodies are small, and no answer
// takes longer than a command that goes through a peer.
const (
	sideRead  = 20 * time.Second
	sideWrite = 2 * time.Minute
)

// newSideServer returns a server for a part that carries no calls.
//
// It guards against clients that fall silent. net/http reads on in the body of
// a request that was refused, and a handler waits until its answer is taken;
// without a bound each such client, with a token or not, holds a connection for
// ever, until the node has no files left for calls.
func newSideServer(h http.Handler, log zerolog.Logger) *http.Server {
	s := newServer(h, log)
	s.ReadTimeout = sideRead
	s.WriteTimeout = sideWrite
	return s
}

// errorsPerSecond bounds the lines about clients that do not speak as they
// should: one that is set up wrongly tries again for ever.
const errorsPerSecond = 5

func errorLog(log zerolog.Logger) *stdlog.Logger {
	few := log.Sample(&zerolog.BurstSampler{Burst: errorsPerSecond, Period: time.Second})
	return stdlog.New(serverLines{few}, "", 0)
}

// serverLines logs what net/http says of connections and of handlers that
// panicked.
type serverLines struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l serverLines) Write(p []byte) (int, error) {
	l.log.Warn().Msg("listener: " + strings.TrimSpace(string(p)))
	return len(p), nil
}

// serve serves until the server is shut down. A nil config means plain text.
func serve(s server, ln net.Listener, t *tls.Config) error {
	if t != nil {
		ln = tls.NewListener(ln, t)
	}
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("node: serve %s: %w", ln.Addr(), err)
	}
	return nil
}
