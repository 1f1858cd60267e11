package node

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/follow"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/wait"
)

// Times of a node's own work.
const (
	refreshGap  = 50 * time.Millisecond // least time between two refreshes
	watchEvery  = time.Second           // looking whether the VM's ID was taken
	flushEvery  = 2 * time.Second       // storing outcomes that the platform lacks
	leaveNotice = 2 * time.Second       // for the word of leaving to get around
	stopGrace   = 5 * time.Second       // for everything but calls in flight
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
	views membership.Views
	store *config.Store[*program]

	registry *announce.Registry
	calls    *callPath
	control  *control
	servers  *servers
	reports  *reports
	findings findings

	// changed holds an element when refresh has something to look at.
	changed chan struct{}
	leaving atomic.Bool
	// carries says that the node holds a version it may carry traffic with.
	carries atomic.Bool
	start   *start
	// superseded says that another process runs under this VM's ID.
	superseded atomic.Bool
	operators  *admin.Operators
	quiet      *quiet
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
		TTL: n.set.Announce.TTLOr(announce.DefaultTTL), Max: announce.DefaultMax,
		AnyAddress: rows, FreshNames: rows,
	})
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
	n.quiet = &quiet{traffic: &n.servers.calls}
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
func (n *Node) Endpoints(service string) int { return n.calls.pickers.holders(service) }

// Start serves everything, and returns at once.
func (n *Node) Start() {
	n.control.start(n.parts)
	n.servers.start(n.parts)
	n.parts.run("refresh", func(ctx context.Context) error { n.refresh(ctx); return nil })
	n.parts.run("quiet", func(ctx context.Context) error { n.quiet.run(ctx); return nil })
	n.parts.run("discover", func(ctx context.Context) error { n.discover(ctx); <-ctx.Done(); return nil })
	n.parts.run("once", func(ctx context.Context) error { n.calls.upkeep(ctx); return nil })
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
func (n *Node) InFlight() int64 { return n.servers.calls.inFlight.Load() }

// refresh brings what is derived from the membership view and from the version
// in force up to date. It is woken by both; the timer is for what tells of
// itself to nobody, which is readiness and another process under this VM's ID.
// Changes that come together are taken in together: while a data centre returns,
// views follow each other faster than each could be worked on.
func (n *Node) refresh(ctx context.Context) {
	var done refreshed
	for ctx.Err() == nil {
		n.refreshOnce(time.Now(), &done)
		_ = wait.For(ctx, refreshGap)
		every := watchEvery
		if !n.carries.Load() {
			every = refreshGap
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-n.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refreshed is what refresh has taken in.
type refreshed struct {
	view     *membership.View
	snapshot *config.Snapshot
	refused  *config.Refused
}

func (n *Node) refreshOnce(now time.Time, done *refreshed) {
	v, f, r := n.views.Load(), n.store.Load(), n.store.Refused()
	if v != done.view {
		n.logView(done.view, v)
		n.calls.pickers.update(now, v)
		n.calls.suspects.merge(now, v)
		n.calls.retries.setNodes(len(v.Records))
	}
	if f.Snapshot != done.snapshot || r != done.refused {
		n.control.applied(f.Snapshot, r)
	}
	if v != done.view || f.Snapshot != done.snapshot {
		n.updateGates(now)
	}
	*done = refreshed{v, f.Snapshot, r}
	n.watchID()
	ok, _ := n.control.spread.Ready()
	n.carries.Store(ok && !n.superseded.Load())
	if ok {
		n.start.end()
	}
}

// wake makes refresh look now.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// wakingStore is a node's store that wakes refresh when a version was offered.
//
// The gates follow at once, and not with the refresh: entry nodes send calls of
// a new class as soon as they run the version, and a gate that does not know the
// class yet would run them without its share, rate and priority.
type wakingStore struct{ n *Node }

// Offer implements distribute.Store.
func (s wakingStore) Offer(snap *config.Snapshot) (bool, error) {
	defer s.n.wake()
	inForce, err := s.n.store.Offer(snap)
	if inForce {
		s.n.updateGates(time.Now())
	}
	return inForce, err
}

// watchID stops the traffic of a node whose VM's ID another process has taken.
//
// It guards against two nodes under one name: a VM was replaced while its old
// machine was cut off or paused, and that one comes back. The mesh believes the
// process that started later, so calls for this one's backend servers go
// elsewhere; whoever still reaches it would run on an old configuration. It
// stays up, not ready, and does not end: a supervisor would start it anew, as
// the later one, and the two would take the name from each other in turns.
func (n *Node) watchID() {
	if n.superseded.Load() {
		return
	}
	since, yes := n.control.members.Superseded()
	if !yes {
		return
	}
	n.superseded.Store(true)
	n.calls.dest.Drain()
	n.log.Error().Time("since", since).
		Msg("node: another process runs under this VM's id; this one takes no more calls, stop it")
}

// updateGates fits the gates to the backend servers here, the classes in force
// and the number of backend servers elsewhere.
func (n *Node) updateGates(now time.Time) {
	holders := n.calls.pickers.holders
	n.calls.gates.update(now, n.registry.Load(), n.store.Load().Program, holders)
}

// backendsChanged takes in what backend servers announced.
func (n *Node) backendsChanged(changes []announce.Change) {
	list := n.registry.Load()
	n.updateGates(time.Now())
	n.control.backends(list)
	for _, c := range changes {
		n.log.Info().Str("service", c.Backend.Service).Str("instance", c.Backend.Instance).
			Stringer("change", c.Kind).Msg("announce: backend server changed")
		if c.Kind == announce.Replaced {
			n.calls.suspects.replaced(backendOf(c.Backend), c.Was)
		}
	}
}

// ErrDrainLimit means that a planned stop cut off calls, because they were
// still in flight at the limit.
var ErrDrainLimit = errors.New("node: calls were still in flight at the drain limit")

// Shutdown stops the node gracefully: it tells the mesh, refuses new calls, and
// waits for those in flight until the drain limit. It returns ErrDrainLimit if
// that was hit.
func (n *Node) Shutdown(ctx context.Context) error {
	var err error
	if defect.On(defect.StopAtOnce) {
		n.Kill()
		return nil
	}
	n.once.Do(func() { err = n.shutdown(ctx) })
	return err
}

func (n *Node) shutdown(ctx context.Context) error {
	start := time.Now()
	n.parts.leaving.Store(true)
	n.leaving.Store(true)
	n.log.Info().Msg("node: leaving the mesh")
	n.servers.leave()
	n.giveNotice(ctx)
	n.calls.drain()
	limit := n.set.Drain.LimitWithin(n.set.Drain.NoticeOr(leaveNotice))
	ctx, cancel := context.WithTimeout(ctx, limit+stopGrace)
	defer cancel()
	cut := n.servers.drain(ctx, limit)
	n.calls.wait()
	n.servers.close()
	n.control.close()
	n.parts.stop()
	if cut > 0 {
		n.log.Error().Int64("calls", cut).Dur("after", time.Since(start)).Msg("node: calls cut off at the drain limit")
		return fmt.Errorf("%w: %d after %s", ErrDrainLimit, cut, limit)
	}
	n.log.Info().Dur("after", time.Since(start)).Msg("node: stopped")
	return nil
}

// giveNotice goes on taking calls until whoever sends them has learned that the
// node leaves. Callers learn it by its readiness, which they ask for now and then,
// and the other nodes at once by the membership. So those may be told later: till
// then the backend server here runs calls of the whole mesh.
func (n *Node) giveNotice(ctx context.Context) {
	notice, word := n.set.Drain.NoticeOr(leaveNotice), n.set.Drain.Word.Duration
	if word > 0 {
		_ = wait.For(ctx, notice-word)
		notice = word
	}
	n.control.leave()
	_ = wait.For(ctx, notice)
}

// Kill ends the node at once, as a crash would. It is for tests.
func (n *Node) Kill() {
	n.once.Do(func() {
		n.parts.leaving.Store(true)
		n.parts.cancel()
		n.servers.close()
		n.control.close()
		n.parts.stop()
	})
}
