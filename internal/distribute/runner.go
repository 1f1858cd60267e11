package distribute

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

// Platform reads versions from the platform. Since returns an error that wraps
// ErrCompacted when the deltas are no longer there.
type Platform interface {
	Head(ctx context.Context) (config.Version, error)
	Since(ctx context.Context, v config.Version) ([]*config.Delta, error)
	Snapshot(ctx context.Context, head config.Version) (*config.Snapshot, error)
}

// Client sends messages to a peer. It fills in the mesh, the sender and the
// sender's version, and hands what each answer says of the peer's version to
// Runner.Heard.
type Client interface {
	Push(ctx context.Context, addr string, changes *peerpb.Packed) error
	// Pull fails when another VM than to answers at addr.
	Pull(ctx context.Context, to, addr string, req *peerpb.PullRequest) (*peerpb.PullResponse, error)
}

// Store puts versions in force; config.Store is one.
type Store interface {
	Offer(*config.Snapshot) (bool, error)
}

const (
	tickEvery       = 100 * time.Millisecond
	tellTimeout     = time.Second
	pullTimeout     = 5 * time.Second
	platformTimeout = 5 * time.Second
	// maxTells bounds the tells in flight.
	maxTells = 32
	// servedBytesPerSecond and servedBurst cap what pulls may take, so that a
	// herd of starting nodes cannot fill a sender's link.
	servedBytesPerSecond = 2 << 20
	servedBurst          = 2 << 20
	// retryAfter is what a refused pull is told; the asker adds jitter.
	retryAfter = time.Second
	// maxTimeline bounds the versions whose times are kept.
	maxTimeline = 64
)

// Stamp is what every message of this node carries of its versions.
type Stamp struct {
	Version config.Version
	Behind  uint64 // how far the version in force lies behind Version
	// Confirmed tells when the source of versions was last heard, or nil.
	Confirmed *peerpb.Confirmation
}

// Timing tells when one version was accepted and came into force here. The two
// clocks are those of two nodes.
type Timing struct {
	Version  config.Version
	Accepted time.Time
	InForce  time.Time
}

// Deps are what a Runner works with.
type Deps struct {
	Views    *membership.CurrentView
	Platform Platform
	Client   Client
	Store    Store
	Log      zerolog.Logger
	// OnFinding is told of every finding; it may be nil.
	OnFinding func(Finding)
}

// Runner drives a State: it holds its lock, keeps its timer and carries out
// its actions. Start Run once membership has made first contact, or the node
// takes itself to be alone and reads the platform at once.
type Runner struct {
	deps Deps

	mu       sync.Mutex // guards state, rng and timeline; not held across I/O
	state    *State
	rng      *rand.Rand
	timeline []Timing

	stamp  atomic.Pointer[stamped]
	packed atomic.Pointer[packedSnapshot]
	served *rate.Limiter
	tells  *semaphore.Weighted

	ctx    context.Context // ends with Run
	end    context.CancelFunc
	ended  bool // guarded by mu; nothing is spawned after it
	flying sync.WaitGroup
}

// stamped is a Stamp whose confirmation grows older.
type stamped struct {
	Stamp
	confirmed Confirmation
}

type packedSnapshot struct {
	version config.Version
	packed  *peerpb.Packed
}

// NewRunner returns a runner for a node that has just started.
func NewRunner(set Settings, deps Deps) *Runner {
	ctx, end := context.WithCancel(context.Background())
	r := &Runner{
		deps:   deps,
		state:  New(set, time.Now()),
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		served: rate.NewLimiter(servedBytesPerSecond, servedBurst),
		tells:  semaphore.NewWeighted(maxTells),
		ctx:    ctx, end: end,
	}
	r.stamp.Store(&stamped{Stamp: Stamp{Version: r.state.Version()}})
	return r
}

// Run drives the state until ctx ends, then waits for what is in flight and returns nil. It
// returns ErrOrphaned earlier if the node has to be started again.
func (r *Runner) Run(ctx context.Context) error {
	defer r.stop()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		r.step(Tick{})
		if r.stranded() {
			return ErrOrphaned
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (r *Runner) stranded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Orphaned()
}

// stop ends what is in flight and waits for it.
func (r *Runner) stop() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.end()
	r.flying.Wait()
}

// Stamp returns what messages carry of this node's versions.
func (r *Runner) Stamp() Stamp {
	held := r.stamp.Load()
	s := held.Stamp
	s.Confirmed = held.confirmed.Proto(time.Now())
	return s
}

// Ready reports whether the node may carry traffic, and if not, why.
func (r *Runner) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Ready()
}

// Held returns the newest version held, in force or not, and whether the mesh
// is known to hold no newer one: a node that starts does not know at first.
func (r *Runner) Held() (config.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Version(), r.state.CaughtUp()
}

// Accepted tells of a change that this node committed itself.
func (r *Runner) Accepted(d *config.Delta) { r.step(Accepted{d}) }

// Conflicts returns the latest conflicts, for the handover.
func (r *Runner) Conflicts() []*Conflict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Conflicts()
}

// Timeline returns when the latest versions came into force, oldest first.
func (r *Runner) Timeline() []Timing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Timing(nil), r.timeline...)
}

// Feeder reports whether this node reads the platform's head on a timer.
func (r *Runner) Feeder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Feeder()
}

// Heard takes the version that a message of a peer carried. The caller has
// made sure that the message comes from that peer.
func (r *Runner) Heard(e *peerpb.Envelope) {
	v, err := versionFromProto(e.Version, e.Hash)
	if err != nil {
		r.deps.Log.Warn().Str("peer", e.From).Err(err).Msg("distribute: drop a message")
		return
	}
	ds, _, err := unpackTold(e.Changes)
	if err != nil {
		r.deps.Log.Warn().Str("peer", e.From).Err(err).Msg("distribute: drop changes")
		ds = nil
	}
	heard := VersionReceived{
		Peer: e.From, Version: v, InForce: v.Number - min(e.Behind, v.Number),
		Pushed: e.Membership == nil, Deltas: ds, Confirmed: ConfirmationFromProto(time.Now(), e.Confirmed),
	}
	if len(ds) == 0 && e.Behind == 0 && r.known(heard) {
		return
	}
	r.step(heard)
}

// known reports whether a message tells nothing new of its sender's version, as nearly every one
// does. All it says then is that the sender is there, and confirms the version or not.
func (r *Runner) known(e VersionReceived) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	if e.Version != s.Version() || s.held[e.Peer] < e.InForce || s.jump != nil || !s.believed(e.Peer) {
		return false
	}
	s.RecordMessage(time.Now(), e)
	r.publish()
	return true
}

// publish keeps what messages carry in step with the state. The caller holds the lock.
func (r *Runner) publish() {
	v := r.state.Version()
	s := stamped{Stamp{Version: v, Behind: v.Number - r.state.InForce()}, r.state.confirmed}
	if s != *r.stamp.Load() {
		r.stamp.Store(&s)
	}
}

// step feeds one event to the state and carries out what it asks for.
func (r *Runner) step(ev Event) {
	r.mu.Lock()
	actions := r.state.Step(time.Now(), r.rng, r.deps.Views.Load(), ev)
	r.publish()
	r.mu.Unlock()
	for _, a := range actions {
		r.perform(a)
	}
}
