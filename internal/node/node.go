package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/follow"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/rollout"
	"github.com/marlpass/marlpass/internal/settings"
)

// Options configure a node and may replace its dependencies.
type Options struct {
	Settings settings.Node
	Log      zerolog.Logger
	// LostLines, if set, returns how many log lines the writer has dropped since the previous
	// call.
	LostLines func() uint64
	// Table and Objects, if set, are used instead of a platform client.
	Table   platform.Table
	Objects platform.Objects
	// Source, if set, supplies versions that are accepted outside this mesh; the node then refuses
	// operators' commands.
	Source follow.Source
	// Orders, if set, reads operators' orders for rollouts, and Inbox holds the orders that Source
	// has read. Without them the node ignores the versions of backend servers.
	Orders rollout.Orders
	Inbox  *rollout.Inbox
	// Probe, if set, requests the identity of the backend server at an address, and what it
	// advertises. An error may come with the instance of one that says that it is not in service.
	Probe func(ctx context.Context, address, path string) (announce.Announcement, proxy.Advertised, error)
	// Metrics, if set, are served with the node's own.
	Metrics *metrics.Set
	// Dialect, if set, translates calls from and to the format used outside the mesh.
	Dialect proxy.Dialect
	// Announce, if set, makes the handler that serves announcements of backend servers.
	Announce func(AnnounceDeps) http.Handler
	// Membership, if set, changes the membership's settings, for measurements.
	Membership func(*membership.Config)
	// Dial opens connections to other nodes, backend servers and the platform; nil means plain
	// TCP. Tests use it to cut connections.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Policies replace the node's own policies for calls, for measurements.
	Policies Policies
	// CallAddr, if set, returns the address at which other nodes reach this node's calls listener.
	// Tests use it to put a proxy in between.
	CallAddr func(listen string) string
}

// Node is one running node.
type Node struct {
	o        Options
	set      settings.Node
	log      zerolog.Logger
	capacity capacity
	memory   *budget.Memory // of the clients' requests
	self     membership.VM
	ln       *listeners
	views    membership.CurrentView
	store    *config.Store[*program]

	registry   *announce.Registry
	departures *departures
	calls      *callPath
	rollouts   *rollouts
	workspaces *workspaces
	control    *control
	servers    *servers
	reports    *reports
	findings   findings

	// changed holds an element when a refresh is due.
	changed chan struct{}
	leaving atomic.Bool
	// takesCalls reports whether the node holds a version recent enough to take calls.
	takesCalls atomic.Bool
	startup    *startup
	// superseded reports whether another process runs under this VM's ID.
	superseded atomic.Bool
	operators  *admin.Operators
	controlCPU *controlCPUMeter
	parts      *parts
	once       sync.Once
}

// New opens the sockets of a node and wires its parts. Start serves them.
func New(o Options) (*Node, error) {
	n := &Node{o: o, set: o.Settings, log: o.Log, parts: newParts(), changed: make(chan struct{}, 1), startup: newStartup(time.Now())}
	n.views.OnChange(n.wake)
	store, err := config.NewStore(compile)
	if err != nil {
		return nil, err
	}
	n.store = store
	n.capacity = newCapacity(n.set.VM.MemoryMB, descriptorLimit(n.set.VM.Descriptors))
	if !defect.On(defect.IgnoreMemory) {
		n.memory = budget.NewMemory(n.capacity.requests)
	}
	if defect.On(defect.IgnoreConnLimits) {
		n.capacity.callers, n.capacity.internal, n.capacity.calls, n.capacity.nodes, n.capacity.backends = 0, 0, 0, 0, 0
	}
	if n.ln, err = openListeners(n.set.Listen); err != nil {
		return nil, err
	}
	if err := n.wire(); err != nil {
		n.ln.close()
		return nil, err
	}
	return n, nil
}

// wire builds the parts, lower layers first.
func (n *Node) wire() error {
	a := n.ln.addrs()
	if n.o.CallAddr != nil {
		a.Calls = n.o.CallAddr(a.Calls)
	}
	n.self = membership.VM{
		ID: n.set.VM.ID, Region: n.set.VM.Region, DataCentre: n.set.VM.DataCentre,
		ControlAddr: a.Control, CallAddr: a.Calls, AdminAddr: a.Admin,
		LinkMbps: uint32(n.set.VM.LinkMbps),
	}
	n.reports = &reports{n: n}
	rows := n.set.Platform.Form == settings.FormRows
	n.registry = announce.NewRegistry(announce.Limits{
		TTL: n.set.Announce.TTLOr(announce.DefaultTTL), MaxBackends: announce.DefaultMaxBackends,
		AllowNonLoopback: rows, NoInstanceReuse: rows, RestoreDepartures: rows,
	})
	n.rollouts = newRollouts(n)
	n.workspaces = newWorkspaces(n)
	var err error
	if n.control, err = newControl(n); err != nil {
		return err
	}
	n.departures = newDepartures(n)
	if n.calls, err = newCallPath(n); err != nil {
		return err
	}
	n.control.wireMaintenance()
	if n.servers, err = newServers(n); err != nil {
		return err
	}
	n.controlCPU = &controlCPUMeter{calls: &n.servers.calls}
	return nil
}

// Addrs returns the addresses that the node listens on.
func (n *Node) Addrs() Addrs { return n.ln.addrs() }

// Settings returns the settings that the node started with.
func (n *Node) Settings() settings.Node { return n.set }

// Ready reports whether the node takes calls and, if not, the reason.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.Load():
		return false, "the node leaves"
	case n.superseded.Load():
		return false, "another process runs under this VM's id"
	}
	if ok, reason := n.control.distributor.Ready(); !ok {
		return false, reason
	}
	// Calls are admitted by the state that refresh stores a moment later. A load balancer that
	// got "ready" before that would send calls that are refused as not ready.
	if !n.takesCalls.Load() {
		return false, "the node is about to take calls"
	}
	return true, ""
}

// Version returns the version in force.
func (n *Node) Version() config.Version { return n.store.Load().Snapshot.Version() }

// Endpoints returns the number of backend servers of a service that this node sees as ready.
func (n *Node) Endpoints(service string) int { return n.calls.pickers.readyBackends(service) }

// Start starts serving and all background work, and returns at once.
func (n *Node) Start() {
	n.control.start(n.parts)
	n.servers.start(n.parts)
	n.parts.run("refresh", func(ctx context.Context) error { n.refresh(ctx); return nil })
	n.parts.run("quiet", func(ctx context.Context) error { n.controlCPU.run(ctx); return nil })
	n.parts.run("departures", func(ctx context.Context) error { n.departures.restore(ctx); <-ctx.Done(); return nil })
	n.parts.run("discover", func(ctx context.Context) error { n.discover(ctx); <-ctx.Done(); return nil })
	n.parts.run("once", func(ctx context.Context) error { n.calls.runBackground(ctx); return nil })
	n.parts.run("rollouts", func(ctx context.Context) error { n.rollouts.run(ctx); return nil })
	n.parts.run("workspaces", func(ctx context.Context) error { n.workspaces.run(ctx); return nil })
	n.parts.run("conduct", func(ctx context.Context) error { newRolloutCoordinators(n).run(ctx); return nil })
	a := n.Addrs()
	n.log.Info().Str("callers", a.Callers).Str("internal", a.Internal).
		Str("calls", a.Calls).Str("control", a.Control).Str("admin", a.Admin).
		Str("announce", a.Announce).Str("metrics", a.Metrics).Msg("node: started")
	warnPlainText(n.log, n.set)
}

// Failed returns a channel that is closed when a part of the node ends unexpectedly. Err then
// returns the reason, and the node has to be shut down.
func (n *Node) Failed() <-chan struct{} { return n.parts.failed }

// Err returns the reason why Failed was closed.
func (n *Node) Err() error { return n.parts.err }

// InFlight returns the number of calls in flight at the node.
func (n *Node) InFlight() int64 { return n.servers.calls.InFlight() }
