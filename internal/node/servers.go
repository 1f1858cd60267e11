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
	// traffic serves calls; side serves operators, backend servers and metrics.
	traffic, side []boundServer
	// callers are the traffic servers whose clients may pipeline requests.
	callers  []*pipeline.Server
	nodes    *pipeline.Server // of calls from other nodes
	announce *announce.Server
	calls    drain.Calls
	stop     drain.Servers    // the traffic servers
	conns    *telemetry.Conns // from other nodes that send calls
	// toldRefusals are the refusals for want of room that a log line has told of.
	toldRefusals uint64
}

// boundServer is a server with its listener.
type boundServer struct {
	server server
	ln     net.Listener
	tls    *tls.Config
}

// server is the common interface of the node's servers.
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
	side := func(ln net.Listener, h http.Handler, t *tls.Config) boundServer {
		server := newSideServer(h, log)
		server.ConnState = newSideConns(n.capacity.side).note
		return boundServer{server: server, ln: ln, tls: t}
	}
	c := n.control
	s.callers = []*pipeline.Server{
		n.callerServer(s.calls.Handler(n.calls.entry.Public()), n.capacity.callers, log),
		n.callerServer(s.calls.Handler(n.calls.entry.Internal()), n.capacity.internal, log),
	}
	s.nodes = n.nodeServer(s.calls.Handler(n.calls.dest), log)
	s.nodes.ConnState = s.conns.Note
	s.stop = drain.Servers{Calls: &s.calls, List: []drain.Stopper{s.callers[0], s.callers[1], s.nodes}}
	s.traffic = []boundServer{
		{server: s.callers[0], ln: n.ln.callers},
		{server: s.callers[1], ln: n.ln.internal},
		{server: s.nodes, ln: n.ln.calls},
	}
	s.side = []boundServer{
		side(n.ln.admin, adminHandler, c.trust.admin()),
		side(n.ln.announce, announceHandler, nil),
		side(n.ln.metrics, n.metricsHandler(), nil),
	}
	if n.ln.ready != nil {
		s.side = append(s.side, side(n.ln.ready, http.HandlerFunc(n.readyHandler), nil))
	}
	return s, nil
}

// callerServer returns a server for callers, who may pipeline calls.
func (n *Node) callerServer(h http.Handler, maxConns int, log zerolog.Logger) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, CanPipeline: n.calls.entry.MayRunAhead, Log: log, Limits: n.callerLimits,
		MaxConns: maxConns, Memory: n.memory, Reject: n.calls.entry.RejectUnread(), WriteTimeout: writeTimeout,
	}
}

// writeTimeout bounds each write of an answer, of at most 32 KiB, to a client that does not read.
const writeTimeout = 30 * time.Second

// nodeServer serves calls from other nodes.
func (n *Node) nodeServer(h http.Handler, log zerolog.Logger) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, Log: log, TLS: n.control.trust.server(),
		Limits: func() pipeline.Limits {
			return pipeline.Limits{
				// Callers' headers and those between nodes.
				HeaderBytes: maxStatedHeaderBytes + maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: proxy.ServerIdleTimeout,
			}
		},
		MaxConns: n.capacity.calls, Memory: n.memory, Reject: n.calls.dest.RejectUnread(), WriteTimeout: writeTimeout,
	}
}

// callerLimits returns the limits for callers in the version in force, with the node's defaults
// for those not set.
func (n *Node) callerLimits() pipeline.Limits {
	stated := n.store.Load().Snapshot.Callers()
	return pipeline.Limits{
		HeaderBytes:   cmp.Or(int(min(stated.HeaderBytes, maxStatedHeaderBytes)), maxHeaderBytes),
		HeaderTimeout: cmp.Or(stated.HeaderTimeout(), headerTimeout),
		IdleTimeout:   cmp.Or(stated.IdleTimeout(), proxy.ServerIdleTimeout),
	}
}

// announceHandler returns the handler for announcements of backend servers.
func (n *Node) announceHandler(own *announce.Server) (http.Handler, error) {
	if n.o.Announce != nil {
		return n.o.Announce(AnnounceDeps{Registry: n.registry, KnowsService: n.knowsService, OnChange: n.backendsChanged, Departures: n.departures}), nil
	}
	return own.Handler()
}

// AnnounceDeps are the dependencies of a handler for announcements.
type AnnounceDeps struct {
	Registry *announce.Registry
	// KnowsService reports whether a service is in the configuration in force, or is the one that
	// this VM's settings name.
	KnowsService func(service string) bool
	// OnChange must be called after every change of the registry.
	OnChange func([]announce.Change)
	// Departures must have recorded a departure before it is acknowledged.
	Departures announce.Departures
}

// knowsService keeps an announcement under an unknown service name from replacing the backend
// server here. Before the first configuration only the settings name a service.
func (n *Node) knowsService(name string) bool {
	return name == n.set.VM.Service || n.store.Load().Snapshot.Service(name) != nil
}

// readyHandler answers 200 while the node takes calls, otherwise 503.
func (n *Node) readyHandler(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := n.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
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
	for _, list := range [][]boundServer{s.side, s.traffic} {
		for _, b := range list {
			p.run("listener "+b.ln.Addr().String(), func(context.Context) error {
				return serve(b.server, b.ln, b.tls)
			})
		}
	}
}

// leave makes each answer from now on close its connection, so that clients go to other nodes.
func (s *servers) leave() { s.calls.StartDraining() }

// cancelTimeout bounds how long answers may take to be sent once the calls in flight are
// cancelled: several round trips to the farthest data centre. It fits into the part of the
// platform's grace period that a stop reserves.
const cancelTimeout = 300 * time.Millisecond

// drain closes the listeners for calls and waits, up to limit, for the calls in flight and those
// that still arrive on open connections. It returns the number of calls that were cancelled.
func (s *servers) drain(ctx context.Context, limit time.Duration) int64 {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := s.stop.Shutdown(bounded)
	if err == nil {
		return 0
	}
	left := s.calls.InFlight()
	s.n.log.Warn().Err(err).Int64("calls", left).Msg("node: connections still open at the drain limit, closing them")
	s.cancelCalls(ctx)
	return left
}

// cancelCalls ends the callers' calls with an answer from this node, after which the answers that
// are ready are still sent.
func (s *servers) cancelCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range s.callers {
		all.Go(func() {
			if err := p.CancelRequests(ctx); err != nil {
				s.n.log.Warn().Err(err).Msg("node: some answers could not be sent before the time limit")
			}
		})
	}
	all.Wait()
}

// close closes all servers at once.
func (s *servers) close() {
	for _, list := range [][]boundServer{s.traffic, s.side} {
		for _, b := range list {
			b.server.Close()
		}
	}
}
