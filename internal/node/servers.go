package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// servers are the HTTP servers of one node.
type servers struct {
	n *Node
	// traffic carries calls; side serves operators, backend servers and
	// metrics.
	traffic, side []bound
	announce      *announce.Server
}

// bound is a server with the socket it serves.
type bound struct {
	server *http.Server
	ln     net.Listener
	tls    *tls.Config
}

func newServers(n *Node) (*servers, error) {
	s := &servers{n: n}
	adminHandler, err := n.adminHandler()
	if err != nil {
		return nil, err
	}
	s.announce = announce.NewServer(n.registry, time.Now, n.backendsChanged)
	announceHandler, err := s.announce.Handler()
	if err != nil {
		return nil, err
	}
	with := func(ln net.Listener, h http.Handler, t *tls.Config) bound {
		return bound{server: newServer(h), ln: ln, tls: t}
	}
	c := n.control
	s.traffic = []bound{
		with(n.ln.callers, n.calls.entry.Public(), nil),
		with(n.ln.internal, n.calls.entry.Internal(), nil),
		with(n.ln.calls, n.calls.dest, c.trust.server()),
	}
	s.side = []bound{
		with(n.ln.admin, adminHandler, c.trust.admin()),
		with(n.ln.announce, announceHandler, nil),
		with(n.ln.metrics, n.metricsHandler(), nil),
	}

	return s, nil
}

func (n *Node) adminHandler() (http.Handler, error) {
	var ops []admin.OperatorSetting
	for _, o := range n.set.Operators {
		ops = append(ops, admin.OperatorSetting{
			Name: o.Name, Team: o.Team, TokenSHA256: o.TokenSHA256, ReadOnly: o.ReadOnly,
		})
	}
	operators, err := admin.NewOperators(ops)
	if err != nil {
		return nil, err
	}
	return admin.NewServer(admin.Options{
		Commander: n.control.commands,
		Reader:    &reader{n},
		Lifter:    lifter{n},
		Operators: operators,
		Now:       time.Now,
		Log:       telemetry.Part(n.log, "admin"),
	}).Handler()
}

func (s *servers) start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { s.announce.Run(ctx); return nil })
	for _, list := range [][]bound{s.side, s.traffic} {
		for _, b := range list {
			g.Go(func() error { return serve(b.server, b.ln, b.tls) })
		}
	}
}

// leave asks clients to go elsewhere: each answer from now on ends its
// connection, so that none is idle when the listener closes.
func (s *servers) leave() {
	for _, b := range s.traffic {
		b.server.SetKeepAlivesEnabled(false)
	}
}

// drain closes the sockets for calls and waits for those in flight, up to
// limit. What is left after that is cut off, and told by the error.
func (s *servers) drain(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	errs := make(chan error, len(s.traffic))
	for _, b := range s.traffic {
		go func() { errs <- b.server.Shutdown(ctx) }()
	}
	var all error
	for range s.traffic {
		all = errors.Join(all, <-errs)
	}
	return all
}

// close ends all servers at once.
func (s *servers) close() {
	for _, list := range [][]bound{s.traffic, s.side} {
		for _, b := range list {
			b.server.Close()
		}
	}
}
