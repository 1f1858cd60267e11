package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/drain"
	"github.com/marlpass/marlpass/internal/pipeline"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// servers are the HTTP servers of one node.
type servers struct {
	n *Node
	// traffic carries calls; side serves operators, backend servers and
	// metrics.
	traffic, side []bound
	// callers are those of traffic whose clients may send ahead.
	callers  []*pipeline.Server
	announce *announce.Server
	calls    drain.Calls
	stop     drain.Servers    // those of traffic
	conns    *telemetry.Conns // of other nodes that send calls
}

// bound is a server with the socket it serves.
type bound struct {
	server server
	ln     net.Listener
	tls    *tls.Config
}

// server is what the servers of a node have in common.
type server interface {
	Serve(net.Listener) error
	Close() error
}

func newServers(n *Node) (*servers, error) {
	s := &servers{n: n}
	adminHandler, err := n.adminHandler()
	if err != nil {
		return nil, err
	}
	s.announce = announce.NewServer(n.registry, time.Now, n.backendsChanged)
	announceHandler, err := n.announceHandler(s.announce)
	if err != nil {
		return nil, err
	}
	log := telemetry.Part(n.log, "listener")
	s.conns = telemetry.NewConns(log, "calls")
	callsServer := newServer(s.calls.Handler(n.calls.dest), log)
	callsServer.ConnState = s.conns.Note
	side := func(ln net.Listener, h http.Handler, t *tls.Config) bound {
		return bound{server: newSideServer(h, log), ln: ln, tls: t}
	}
	c := n.control
	s.callers = []*pipeline.Server{
		n.callerServer(s.calls.Handler(n.calls.entry.Public()), log),
		n.callerServer(s.calls.Handler(n.calls.entry.Internal()), log),
	}
	calls := &drain.Server{HTTP: callsServer, TLS: c.trust.server()}
	s.stop = drain.Servers{Calls: &s.calls, List: []drain.Stopper{s.callers[0], s.callers[1], calls}}
	s.traffic = []bound{
		{server: s.callers[0], ln: n.ln.callers},
		{server: s.callers[1], ln: n.ln.internal},
		{server: calls, ln: n.ln.calls},
	}
	s.side = []bound{
		side(n.ln.admin, adminHandler, c.trust.admin()),
		side(n.ln.announce, announceHandler, nil),
		side(n.ln.metrics, n.metricsHandler(), nil),
	}
	if n.ln.ready != nil {
		s.side = append(s.side, side(n.ln.ready, http.HandlerFunc(n.readyHandler), nil))
	}
	return s, nil
}

// callerServer returns a server for callers, who may send calls ahead.
func (n *Node) callerServer(h http.Handler, log zerolog.Logger) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, CanPipeline: n.calls.entry.MayRunAhead, Log: log, Limits: n.callerLimits,
	}
}

// callerLimits returns what the version in force allows callers, and the node's
// own bounds where it says nothing.
func (n *Node) callerLimits() pipeline.Limits {
	stated := n.store.Load().Snapshot.Callers()
	return pipeline.Limits{
		HeaderBytes:   cmp.Or(int(stated.HeaderBytes), maxHeaderBytes),
		HeaderTimeout: cmp.Or(stated.HeaderTimeout(), headerTimeout),
		IdleTimeout:   cmp.Or(stated.IdleTimeout(), proxy.ServerIdleTimeout),
	}
}

// announceHandler returns the handler for backend servers that announce
// themselves.
func (n *Node) announceHandler(own *announce.Server) (http.Handler, error) {
	if n.o.Announce != nil {
		return n.o.Announce(AnnounceParts{Registry: n.registry, Known: n.knowsService, Changed: n.backendsChanged}), nil
	}
	return own.Handler()
}

// AnnounceParts are what a handler for announcements is made of.
type AnnounceParts struct {
	Registry *announce.Registry
	// Known reports whether a service is in the configuration in force, or the one
	// that this VM's settings name.
	Known func(service string) bool
	// Changed must be called after every change of the registry.
	Changed func([]announce.Change)
}

// knowsService keeps a name that nobody gave out from taking the place of the
// backend server that is here. Before the first configuration, only the settings
// tell of a service.
func (n *Node) knowsService(name string) bool {
	return name == n.set.VM.Service || n.store.Load().Snapshot.Service(name) != nil
}

// readyHandler answers every request with 200 while the node takes calls.
func (n *Node) readyHandler(w http.ResponseWriter, _ *http.Request) {
	if ok, why := n.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
	}
}

func (n *Node) adminHandler() (http.Handler, error) {
	var err error
	if n.operators, err = admin.NewOperators(operatorSettings(n.set)); err != nil {
		return nil, err
	}
	return admin.NewServer(admin.Options{
		Commander: n.control.commands,
		Reader:    &reader{n},
		Lifter:    lifter{n},
		Operators: n.operators,
		Now:       time.Now,
		Log:       telemetry.Part(n.log, "admin"),
	}).Handler()
}

func (s *servers) start(p *parts) {
	p.run("announcements", func(ctx context.Context) error { s.announce.Run(ctx); return nil })
	for _, list := range [][]bound{s.side, s.traffic} {
		for _, b := range list {
			p.run("listener "+b.ln.Addr().String(), func(context.Context) error {
				return serve(b.server, b.ln, b.tls)
			})
		}
	}
}

// leave asks clients to go elsewhere: each answer from now on ends its
// connection.
func (s *servers) leave() { s.calls.StartDraining() }

// giveUpFor is how long answers may take to go out once the calls in flight were
// given up: some ways to the farthest data centre and back. It fits into what a stop
// keeps free of the platform's grace.
const giveUpFor = 300 * time.Millisecond

// drain closes the sockets for calls, and waits, up to limit, for the calls in flight and for those
// that still come on connections. It returns how many calls were left, which were given up.
func (s *servers) drain(ctx context.Context, limit time.Duration) int64 {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := s.stop.Shutdown(bounded)
	if err == nil {
		return 0
	}
	left := s.calls.InFlight()
	s.n.log.Warn().Err(err).Int64("calls", left).Msg("node: connections were still open at the drain limit, they are closed at once")
	s.giveUp(ctx)
	return left
}

// giveUp ends the calls of callers with an answer of this node's own, behind which
// the answers that are ready still go out.
func (s *servers) giveUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpFor)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range s.callers {
		all.Go(func() {
			if err := p.CancelRequests(ctx); err != nil {
				s.n.log.Warn().Err(err).Msg("node: answers were still due when the time to send them was over")
			}
		})
	}
	all.Wait()
}

// close ends all servers at once.
func (s *servers) close() {
	for _, list := range [][]bound{s.traffic, s.side} {
		for _, b := range list {
			b.server.Close()
		}
	}
}
