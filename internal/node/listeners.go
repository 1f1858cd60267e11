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

// headerTimeout bounds the time to receive a request's header, so that silent connections do not
// pile up.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the size of a request's header.
const maxHeaderBytes = 64 << 10

// maxStatedHeaderBytes bounds what operators may allow callers, whatever the configuration says.
const maxStatedHeaderBytes = 4 << 20

// listeners are the sockets of one node. All are opened before any is served, so a node starts
// with all of them or not at all.
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

// Addrs are the addresses that a node listens on, with the ports assigned by the system.
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

// newServer returns an HTTP server for calls. It sets no timeout for whole requests and answers:
// archive downloads take minutes, and the proxy bounds calls by their deadlines.
func newServer(h http.Handler, log zerolog.Logger) *http.Server {
	return &http.Server{
		ErrorLog:          errorLog(log),
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       proxy.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Timeouts for requests of operators, backend servers and metrics scrapers, from the end of the
// header on. Their bodies are small, and the slowest answer is that to a command forwarded to a
// peer.
const (
	sideReadTimeout  = 20 * time.Second
	sideWriteTimeout = 2 * time.Minute
)

// newSideServer returns a server for APIs that carry no calls.
//
// Without timeouts a client that stops sending or reading would hold its connection for ever, with
// or without a token, until the node runs out of file descriptors: net/http keeps reading the body
// of a refused request, and a handler blocks until its answer is read.
func newSideServer(h http.Handler, log zerolog.Logger) *http.Server {
	s := newServer(h, log)
	s.ReadTimeout = sideReadTimeout
	s.WriteTimeout = sideWriteTimeout
	return s
}

// maxErrorLinesPerSecond bounds the log lines about protocol errors of clients; a misconfigured
// client retries for ever.
const maxErrorLinesPerSecond = 5

func errorLog(log zerolog.Logger) *stdlog.Logger {
	few := log.Sample(&zerolog.BurstSampler{Burst: maxErrorLinesPerSecond, Period: time.Second})
	return stdlog.New(serverLog{few}, "", 0)
}

// serverLog logs the messages of net/http about connections and panicking handlers.
type serverLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	l.log.Warn().Msg("listener: " + strings.TrimSpace(string(p)))
	return len(p), nil
}

// serve serves until the server is closed. A nil TLS config means plain text.
func serve(s server, ln net.Listener, t *tls.Config) error {
	if t != nil {
		ln = tls.NewListener(ln, t)
	}
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("node: serve %s: %w", ln.Addr(), err)
	}
	return nil
}
