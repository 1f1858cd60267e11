package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/lineage"
	"github.com/marlpass/marlpass/internal/once"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// flushInterval is the time between two attempts to store outcomes that the platform lacks.
const flushInterval = 2 * time.Second

// callPath holds the components that handle a call at this node.
type callPath struct {
	n               *Node
	pickers         *pickers
	gates           *gates
	advertisements  *advertisements
	suspects        *suspects
	dedup           *once.Deduplicator
	upstreams       *proxy.Upstreams // to backend servers
	nodes           *proxy.Upstreams // to other nodes
	entry           *proxy.Entry
	dest            *proxy.Destination
	meters          *proxy.Meters
	retries         *retries
	lineage         *lineage.Tracker
	draining        atomic.Bool
	decisions       *decisions.Log
	shutdownTracing func(context.Context) error
}

func newCallPath(n *Node) (*callPath, error) {
	provider, shutdownTracing, err := telemetry.NewTracerProvider(context.Background(), telemetry.TraceOptions{
		Endpoint:   n.set.Trace.Endpoint,
		Sample:     n.set.Trace.Sample,
		Service:    "marlpass-node",
		VM:         n.self.ID,
		DataCentre: n.self.DataCentre,
	})
	if err != nil {
		return nil, err
	}
	c := &callPath{
		n:               n,
		pickers:         newPickers(n.self, n.o.Source != nil),
		gates:           newGates(),
		dedup:           once.New(once.Options{Table: n.control.table, Holder: n.self.ID}),
		upstreams:       n.upstreams().WithMaxConns(n.capacity.backends),
		nodes:           n.upstreams().WithMaxConns(n.capacity.nodes).WithHandshake(n.control.trust.handshake()),
		meters:          proxy.NewMeters(),
		retries:         &retries{set: n.set.Retries},
		decisions:       decisions.New(telemetry.Part(n.log, "calls"), n.o.LostLines),
		lineage:         lineage.NewTracker(rand.Uint64()),
		shutdownTracing: shutdownTracing,
	}
	c.advertisements = &advertisements{gates: c.gates, registry: n.registry, onChange: n.backendsChanged, decisions: c.decisions,
		departed: func(d announce.Departure) { n.departures.store(d) },
	}
	c.pickers.onEject = c.logEjection
	c.suspects = &suspects{
		list:          quarantine.New(time.Now(), quarantine.Options{Self: n.self.ID}),
		log:           telemetry.Part(n.log, "quarantine"),
		alerter:       n.control,
		setNotices:    n.control.publishNotices,
		endpointByKey: c.pickers.endpointByKey,
	}
	tracer := proxy.NewTracer(provider)
	programs := programs{n.store}
	link := proxy.NewLinkPacer(n.set.VM.LinkMbps)
	c.dest = proxy.NewDestination(n.o.Policies.destinationOptions(proxy.DestinationOptions{
		Programs: programs, Backends: backends{n.registry}, Gates: c.gates, SlotUse: c.gates.slotUse,
		Advertisements: c.advertisements, Lineage: c.lineage,
		Deduplicator: dedupAdapter{c.dedup}, Suspects: c.suspects, Rollouts: n.rollouts, Upstreams: c.upstreams, Tracer: tracer,
		Dialect: n.o.Dialect, Decisions: c.decisions,
		Spool: n.spool(), Link: link, Memory: n.memory,
	}))
	c.entry = proxy.NewEntry(n.o.Policies.entryOptions(proxy.EntryOptions{
		Self: n.self.ID, Programs: programs, Readiness: n.startup, Admitter: nodeAdmitter{c}, Pickers: c.pickers,
		Retrier: c.retries, Suspects: c.suspects, Workspaces: n.workspaces, Local: c.dest, Upstreams: c.nodes,
		Meters: c.meters, Tracer: tracer, Dialect: n.o.Dialect,
		NoAttemptTimeout: n.o.Source != nil, Decisions: c.decisions, Memory: n.memory,
	}, c.pickers))
	return c, nil
}

func (n *Node) upstreams() *proxy.Upstreams {
	if n.o.Dial != nil {
		return proxy.NewUpstreamsWithDialer(n.o.Dial)
	}
	if n.o.Source != nil {
		return proxy.NewUpstreams(proxy.FastDetection)
	}
	return proxy.NewUpstreams(proxy.SlowDetection)
}

// spool returns the buffer for answers, or nil if the VM's memory is not configured.
func (n *Node) spool() *proxy.Spool {
	if n.capacity.spool == 0 {
		return nil
	}
	return proxy.NewSpool(n.capacity.spool)
}

// pool is a set of connections to others.
type pool struct {
	to   string
	pool *proxy.Upstreams
}

func (c *callPath) pools() []pool { return []pool{{"backends", c.upstreams}, {"nodes", c.nodes}} }

func (c *callPath) logEjection(endpoint string, ejected bool, failing float64) {
	c.n.log.Info().Str("part", "route").Str("endpoint", endpoint).Bool("ejected", ejected).
		Float64("failing", failing).Msg("route: an endpoint is ejected for its failures, or back")
}

// runBackground publishes this node's suspect requests, stores outcomes that the platform
// lacks and logs summaries of decisions, until ctx ends.
func (c *callPath) runBackground(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	summary := time.NewTicker(decisions.SummaryEvery)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			c.decisions.Summarise()
			c.n.servers.logRefusals()
		case <-ticker.C:
			c.suspects.publishNotices(time.Now())
			c.suspects.pruneBackends(time.Now(), c.n.registry.Load())
			if err := c.dedup.Flush(ctx); err != nil && ctx.Err() == nil {
				c.n.log.Warn().Err(err).Msg("once: outcomes are not stored yet")
			}
		}
	}
}

// drain starts to refuse new calls.
func (c *callPath) drain() {
	c.draining.Store(true)
	c.dest.Drain()
}

// shutdown waits for the work that follows calls, stores the remaining outcomes, and closes
// the connections and the tracer.
func (c *callPath) shutdown() {
	c.dest.Wait()
	c.suspects.checksRunning.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := c.dedup.Flush(ctx); err != nil {
		c.n.log.Error().Err(err).Msg("once: outcomes could not be stored before the stop")
	}
	c.upstreams.Close()
	c.nodes.Close()
	_ = c.shutdownTracing(ctx)
}

// nodeAdmitter refuses calls while the node may not carry traffic: a node that has just
// started may hold an older version than before its restart, and a draining node takes no new
// calls.
type nodeAdmitter struct{ c *callPath }

var errDraining = &call.Refusal{Reason: call.ReasonDraining, RetryAfter: time.Second}

// Admit implements proxy.Admitter.
func (a nodeAdmitter) Admit(time.Time, *config.Target) *call.Refusal {
	switch {
	case a.c.draining.Load():
		return errDraining
	case !a.c.n.takesCalls.Load():
		return &call.Refusal{Reason: call.ReasonNotReady, RetryAfter: startupRetryAfter/2 + rand.N(startupRetryAfter)}
	}
	return nil
}
