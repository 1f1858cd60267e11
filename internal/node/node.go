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
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/follow"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/rollout"
	"github.com/marlpass/marlpass/internal/settings"
)

// Options are what a node is made of.
type Options struct {
	Settings settings.Node
	Log      zerolog.Logger
	// LostLines, if set, returns how many lines the log's writer has dropped
	// since it was last asked.
	LostLines func() uint64
	// Table and Objects replace the platform client.
	Table   platform.Table
	Objects platform.Objects
	// Source, if set, gives the versions that are accepted elsewhere; operators'
	// commands are then refused here.
	Source follow.Source
	// Orders, if set, reads operators' orders for rollouts, and Inbox holds those that
	// Source has met. Without them the versions of backend servers make no difference.
	Orders rollout.Orders
	Inbox  *rollout.Inbox
	// Probe, if set, asks the backend server at an address who it is.
	Probe func(ctx context.Context, address, path string) (announce.Announcement, error)
	// Metrics, if set, are served with the node's own.
	Metrics *metrics.Set
	// Dialect, if set, says what calls look like outside the mesh.
	Dialect proxy.Dialect
	// Announce, if set, makes the handler by which backend servers announce
	// themselves.
	Announce func(AnnounceParts) http.Handler
	// Membership changes the membership's settings, for measurements.
	Membership func(*membership.Config)
	// Dial opens the connections to other nodes, backend servers and the
	// platform, by TCP if nil. Tests cut connections with it.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Policies replace the node's own policies for calls, for measurements.
	Policies Policies
	// CallAddr, if set, gives the address at which other nodes reach the
	// calls listener of this node, for tests with something between them.
	CallAddr func(listen string) string
}

// Node is one running node.
type Node struct {
	o     Options
	set   settings.Node
	log   zerolog.Logger
	self  membership.VM
	ln    *listeners
	views membership.CurrentView
	store *config.Store[*program]

	registry   *announce.Registry
	calls      *callPath
	rollouts   *rollouts
	workspaces *workspaces
	control    *control
	servers    *servers
	reports    *reports
	findings   findings

	// changed holds an element when refresh has something to look at.
	changed chan struct{}
	leaving atomic.Bool
	// carries says that the node holds a version it may carry traffic with.
	carries atomic.Bool
	start   *start
	// superseded says that another process runs under this VM's ID.
	superseded atomic.Bool
	operators  *admin.Operators
	quiet      *controlCPUMeter
	parts      *parts
	once       sync.Once
}

// New opens the sockets of a node and wires its parts. Nothing is served yet.
func New(o Options) (*Node, error) {
	n := &Node{o: o, set: o.Settings, log: o.Log, parts: newParts(), changed: make(chan struct{}, 1), start: newStart(time.Now())}
	n.views.OnChange(n.wake)
	store, err := config.NewStore(compile)
	if err != nil {
		return nil, err
	}
	n.store = store
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
		AllowNonLoopback: rows, NoInstanceReuse: rows,
	})
	n.rollouts = newRollouts(n)
	n.workspaces = newWorkspaces(n)
	var err error
	if n.control, err = newControl(n); err != nil {
		return err
	}
	if n.calls, err = newCallPath(n); err != nil {
		return err
	}
	n.control.wireMaintenance()
	if n.servers, err = newServers(n); err != nil {
		return err
	}
	n.quiet = &controlCPUMeter{calls: &n.servers.calls}
	return nil
}

// Addrs returns the addresses that the node listens on.
func (n *Node) Addrs() Addrs { return n.ln.addrs() }

// Settings returns the settings that the node started with.
func (n *Node) Settings() settings.Node { return n.set }

// Ready reports whether the node carries traffic, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.Load():
		return false, "the node leaves"
	case n.superseded.Load():
		return false, "another process runs under this VM's id"
	}
	if ok, why := n.control.spread.Ready(); !ok {
		return false, why
	}
	// Calls go by what refresh noted, a moment later: a load balancer told
	// "ready" before that would send calls that are refused as not ready.
	if !n.carries.Load() {
		return false, "the node is about to take calls"
	}
	return true, ""
}

// Version returns the version in force.
func (n *Node) Version() config.Version { return n.store.Load().Snapshot.Version() }

// Endpoints returns how many backend servers of a service this node knows that
// take calls.
func (n *Node) Endpoints(service string) int { return n.calls.pickers.readyBackends(service) }

// Start serves everything, and returns at once.
func (n *Node) Start() {
	n.control.start(n.parts)
	n.servers.start(n.parts)
	n.parts.run("refresh", func(ctx context.Context) error { n.refresh(ctx); return nil })
	n.parts.run("quiet", func(ctx context.Context) error { n.quiet.run(ctx); return nil })
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

// Failed is closed when a part of the node ended without being asked to; Err
// then tells which. The node has to be stopped.
func (n *Node) Failed() <-chan struct{} { return n.parts.failed }

// Err returns why Failed was closed.
func (n *Node) Err() error { return n.parts.err }

// InFlight returns how many calls the node has in its hands.
func (n *Node) InFlight() int64 { return n.servers.calls.InFlight() }
