package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/command/feed"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/follow"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/peer"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/client"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/wait"
)

// contactPoll is how often a starting node looks whether it was let in.
const contactPoll = 50 * time.Millisecond

// settleBound is how long a starting node waits for the membership's first
// contact before it looks for versions with what it has.
const settleBound = 3 * time.Second

// spread brings versions to this node and serves them to others: from the mesh's
// own log by a distribute.Runner, or from elsewhere by a follow.Runner.
type spread interface {
	// Run returns an error if the node has to be started again.
	Run(context.Context) error
	Heard(*peerpb.Envelope)
	ServePull(*peerpb.PullRequest) (*peerpb.PullResponse, error)
	Stamp() distribute.Stamp
	Held() (config.Version, bool)
	Ready() (bool, string)
	Accepted(*config.Delta)
	Conflicts() []*distribute.Conflict
	Timeline() []distribute.Timing
	Feeder() bool
}

// control is what a node does apart from calls: membership, the spreading of
// versions, operators' commands, and the platform behind them.
type control struct {
	n       *Node
	metrics *metrics.Set
	trust   *trustFiles

	client  *client.Client // nil when Options gave table and objects
	table   platform.Table
	objects platform.Objects

	members    *membership.Runner
	spread     spread
	peers      *peer.Client
	server     *peer.Server
	peerSum    *peer.Metrics
	log        *command.Reader
	commit     *command.Committer
	commands   command.Submitter
	maintainer *maintainer

	telling  sync.Mutex   // held while backend servers are told
	findings counterSet   // by kind
	heardAt  atomic.Int64 // when a peer was last heard, in Unix milliseconds
}

func newControl(n *Node) (*control, error) {
	c := &control{n: n, metrics: metrics.NewSet()}
	c.peerSum = peer.NewMetrics(c.metrics)
	var err error
	if c.trust, err = newTrust(n.set, telemetry.Part(n.log, "trust"), c.peerSum); err != nil {
		return nil, err
	}
	if err := c.openPlatform(); err != nil {
		return nil, err
	}
	if err := c.wirePeers(); err != nil {
		return nil, err
	}
	c.wireCommands()
	c.wireSpread()
	return c, nil
}

func (c *control) openPlatform() error {
	if c.n.o.Table != nil {
		c.table, c.objects = c.n.o.Table, c.n.o.Objects
		return nil
	}
	cl, err := client.New(client.Options{
		URL: c.n.set.Platform.URL, Timeout: c.n.set.Platform.Timeout.Duration, Dial: c.n.o.Dial,
	})
	if err != nil {
		return err
	}
	c.client, c.table, c.objects = cl, cl.Table(), cl.Objects()
	return nil
}

// wirePeers makes both ends of the protocol between nodes, and the membership
// that speaks it.
func (c *control) wirePeers() error {
	n := c.n
	var err error
	c.peers, err = peer.NewClient(peer.ClientConfig{
		Mesh: n.set.Mesh, VM: n.self.ID, TLS: c.trust.client(),
		Limits: peer.DefaultLimits(), Metrics: c.peerSum, Dial: c.n.o.Dial,
		Sender: c.sender, OnEnvelope: c.Heard,
	})
	if err != nil {
		return err
	}
	n.self.Incarnation = uint64(time.Now().UnixMilli())
	cfg := membership.DefaultConfig(n.self)
	cfg.Seeds = n.set.Peers.Seeds
	cfg.PushAllChanges = n.set.Profile == settings.ProfileTime
	if n.o.Source != nil {
		cfg = membership.FastConvergence(cfg)
	}
	if n.o.Membership != nil {
		n.o.Membership(&cfg)
	}
	c.members = membership.NewRunner(cfg, c.peers, membership.TableContacts{Table: c.table}, &n.views, n.log)
	c.server = peer.NewServer(peer.ServerConfig{
		Mesh: n.set.Mesh, VM: n.self.ID, TLS: c.trust.server(),
		Limits: peer.DefaultLimits(), Metrics: c.peerSum, Log: telemetry.Part(n.log, "peer"),
		Sender: c.sender, Membership: c.members, Distributor: c, Submitter: peerCommands{c}, Alerts: alerts{n}, Reporter: n.reports, Rollouts: n.rollouts, Collector: n.workspaces,
	})
	return nil
}

func (c *control) wireCommands() {
	held := command.SnapshotFunc(c.n.snapshot)
	c.log = command.NewReader(c.table, c.objects, held)
	c.commit = command.NewCommitter(c.log, c.table, command.Options{
		Held:     func() (config.Version, bool) { return c.spread.Held() },
		Accepted: func(_ *config.Snapshot, d *config.Delta) { c.spread.Accepted(d) },
	})
	c.commands = command.NewForwarder(c.commit, submitPeers{c})
	if c.n.o.Source != nil {
		c.commands = rejectingSubmitter{}
	}
}

func (c *control) wireSpread() {
	n := c.n
	if n.o.Source != nil {
		set := follow.Defaults(n.self.ID, n.self.DataCentre, n.self.LinkMbps)
		if bound := n.set.Versions.InForceWithin.Duration; bound > 0 {
			set = set.WithInForceBound(bound)
		}
		set.MaxAssuranceAge = n.set.Workspaces.ConfirmWithin.Duration
		c.spread = follow.NewRunner(set, follow.Deps{
			Source: n.o.Source, Views: &n.views, Client: c.peers, Store: wakingStore{n},
			Log:       telemetry.Part(n.log, "follow"),
			OnFinding: func(f follow.Finding) { c.findings.increment(string(f)) },
		})
		return
	}
	profile := distribute.TimeProfile()
	if n.set.Profile == settings.ProfileBytes {
		profile = distribute.BytesProfile()
	}
	set := distribute.Defaults(n.self.ID, n.self.DataCentre, profile)
	if d := n.set.Peers.AloneAfter.Duration; d > 0 {
		set.AloneAfter = d
	}
	c.spread = distribute.NewRunner(set, distribute.Deps{
		Views: &n.views, Platform: feed.New(c.log), Client: c.peers, Store: wakingStore{n},
		Log: telemetry.Part(n.log, "distribute"),
		OnFinding: func(f distribute.Finding) {
			c.findings.increment(f.Kind())
			n.findings.note(time.Now(), f)
		},
	})
}

// wireMaintenance makes the part that keeps the platform's rows bounded.
func (c *control) wireMaintenance() {
	m := newMaintainer(c.table, c.n.self.ID, time.Now)
	m.log = telemetry.Part(c.n.log, "maintenance")
	m.duty = func() bool {
		// The rows of versions accepted elsewhere are not this mesh's to keep.
		return c.n.o.Source == nil && c.spread.Feeder() && !c.n.leaving.Load()
	}
	m.compact = command.NewCompactor(c.log, c.table, c.objects, command.CompactOptions{})
	m.trim = c.n.calls.dedup
	c.maintainer = m
}

// sender is what every message of this node carries.
func (c *control) sender() peer.SenderInfo {
	s := c.spread.Stamp()
	return peer.SenderInfo{Incarnation: c.n.self.Incarnation, Version: s.Version, Behind: s.Behind, Confirmed: s.Confirmed}
}

// start serves the peers and starts the work of control.
func (c *control) start(p *parts) {
	c.trust.watch(p)
	p.run("control", func(context.Context) error { return c.server.Serve(c.n.ln.control) })
	p.run("membership", c.members.Run)
	p.run("maintenance", func(ctx context.Context) error { c.maintainer.run(ctx); return nil })
	p.run("distribute", func(ctx context.Context) error {
		if c.n.o.Source == nil {
			c.awaitContact(ctx)
		}
		return c.spread.Run(ctx)
	})
}

// awaitContact waits until the membership has let this node in or found nobody.
func (c *control) awaitContact(ctx context.Context) {
	deadline := time.Now().Add(settleBound)
	for !c.members.Joined() && time.Now().Before(deadline) && ctx.Err() == nil {
		_ = wait.For(ctx, contactPoll)
	}
}

// applied tells the membership which version is in force here.
func (c *control) applied(s *config.Snapshot, refused *config.Refused) {
	v := s.Version()
	a := membership.ConfigStatus{Version: v.Number}
	copy(a.Hash[:], v.Hash[:])
	if refused != nil {
		a.RefusedVersion = refused.Version.Number
		a.RefusedReason = refused.Err.Error()
	}
	c.members.SetConfigStatus(a)
}

// backends tells the membership which backend servers are beside this node, and what they
// take. The lock keeps an older state from being told after a newer one.
func (c *control) backends() {
	c.telling.Lock()
	defer c.telling.Unlock()
	seen := c.n.rollouts.setBackends(time.Now(), c.n.registry.Load())
	if err := c.members.SetBackends(announce.MembershipBackends(seen)); err != nil {
		c.n.log.Error().Err(err).Msg("membership: backend servers are not told")
	}
}

// notices tells the membership this node's own notices.
func (c *control) notices(ns []membership.Notice) {
	if err := c.members.SetNotices(ns); err != nil {
		c.n.log.Error().Err(err).Msg("membership: notices are not told")
	}
}

func (c *control) leave() { c.members.Leave() }

// close stops answering peers, and ends the connections to them and to the
// platform.
func (c *control) close() {
	_ = c.server.Close()
	c.peers.Close()
	if c.client != nil {
		c.client.Close()
	}
}
