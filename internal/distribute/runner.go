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

// Platform reads versions from the platform. Since returns an error that wraps ErrCompacted when
// the deltas are no longer available.
type Platform interface {
	Head(ctx context.Context) (config.Version, error)
	Since(ctx context.Context, v config.Version) ([]*config.Delta, error)
	Snapshot(ctx context.Context, head config.Version) (*config.Snapshot, error)
}

// Client sends messages to a peer. It fills in the mesh, the sender and the sender's version, and
// passes the version in each answer to Runner.Heard.
type Client interface {
	Push(ctx context.Context, addr string, changes *peerpb.Packed) error
	// Pull fails when a VM other than to answers at addr.
	Pull(ctx context.Context, to, addr string, req *peerpb.PullRequest) (*peerpb.PullResponse, error)
}

// Store puts versions in force; config.Store is one.
type Store interface {
	Offer(*config.Snapshot) (bool, error)
}

const (
	tickInterval    = 100 * time.Millisecond
	pushTimeout     = time.Second
	pullTimeout     = 5 * time.Second
	platformTimeout = 5 * time.Second
	// maxPushes limits the pushes in flight.
	maxPushes = 32
	// servedBytesPerSecond and servedBurst limit the bytes served to pulls, so that many starting
	// nodes cannot saturate the sender's link.
	servedBytesPerSecond = 2 << 20
	servedBurst          = 2 << 20
	// retryAfter is the delay sent with a refused pull; the requester adds jitter.
	retryAfter = time.Second
	// maxTimeline limits the versions in the timeline.
	maxTimeline = 64
)

// Stamp is the version information in every message of this node.
type Stamp struct {
	Version config.Version
	Behind  uint64 // how many versions the one in force lags Version
	// Confirmed is the age of the newest confirmation, or nil if there is none.
	Confirmed *peerpb.Confirmation
}

// Timing is when a version was accepted and when it came into force here. The times are from the
// clocks of two nodes.
type Timing struct {
	Version  config.Version
	Accepted time.Time
	InForce  time.Time
}

// Deps are the dependencies of a Runner.
type Deps struct {
	Views    *membership.CurrentView
	Platform Platform
	Client   Client
	Store    Store
	Log      zerolog.Logger
	// OnFinding is called with every finding; it may be nil.
	OnFinding func(Finding)
}

// Runner drives a State: it guards it with a lock, runs its timer and performs its actions. Start
// Run only after the first contact of membership; otherwise the node considers itself the only one
// and reads the platform at once.
type Runner struct {
	deps Deps

	mu       sync.Mutex // guards state, rng and timeline; not held across I/O
	state    *State
	rng      *rand.Rand
	timeline []Timing

	stamp       atomic.Pointer[timedStamp]
	packed      atomic.Pointer[packedSnapshot]
	pullLimiter *rate.Limiter
	pushes      *semaphore.Weighted

	ctx      context.Context // cancelled when Run returns
	end      context.CancelFunc
	ended    bool // guarded by mu; nothing is spawned once set
	inFlight sync.WaitGroup
}

// timedStamp is a Stamp and the confirmation from which the age in messages is computed.
type timedStamp struct {
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
		deps:        deps,
		state:       New(set, time.Now()),
		rng:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pullLimiter: rate.NewLimiter(servedBytesPerSecond, servedBurst),
		pushes:      semaphore.NewWeighted(maxPushes),
		ctx:         ctx, end: end,
	}
	r.stamp.Store(&timedStamp{Stamp: Stamp{Version: r.state.Version()}})
	return r
}

// Run drives the state until ctx ends, then waits for the requests in flight and returns nil. It
// returns ErrOrphaned earlier if the node has to be restarted.
func (r *Runner) Run(ctx context.Context) error {
	defer r.stop()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		r.step(Tick{})
		if r.orphaned() {
			return ErrOrphaned
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (r *Runner) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Orphaned()
}

// stop cancels the requests in flight and waits for them.
func (r *Runner) stop() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.end()
	r.inFlight.Wait()
}

// Stamp returns the version information for messages of this node.
func (r *Runner) Stamp() Stamp {
	cur := r.stamp.Load()
	s := cur.Stamp
	s.Confirmed = cur.confirmed.Proto(time.Now())
	return s
}

// Ready reports whether the node may carry traffic, and if not, why.
func (r *Runner) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Ready()
}

// Held returns the newest version held, in force or not, and whether the mesh is known to hold no
// newer one: a starting node does not know at first.
func (r *Runner) Held() (config.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Version(), r.state.CaughtUp()
}

// Accepted handles a change that this node committed itself.
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

// Heard handles the version in a peer's message. The caller has authenticated the peer.
func (r *Runner) Heard(e *peerpb.Envelope) {
	v, err := versionFromProto(e.Version, e.Hash)
	if err != nil {
		r.deps.Log.Warn().Str("peer", e.From).Err(err).Msg("distribute: dropping a message with a malformed version")
		return
	}
	ds, _, err := unpackPushed(e.Changes)
	if err != nil {
		r.deps.Log.Warn().Str("peer", e.From).Err(err).Msg("distribute: dropping malformed changes")
		ds = nil
	}
	ev := VersionReceived{
		Peer: e.From, Version: v, InForce: v.Number - min(e.Behind, v.Number),
		Pushed: e.Membership == nil, Deltas: ds, Confirmed: ConfirmationFromProto(time.Now(), e.Confirmed),
	}
	if len(ds) == 0 && e.Behind == 0 && r.unchanged(ev) {
		return
	}
	r.step(ev)
}

// unchanged handles a message whose sender's version holds nothing new, as in nearly all messages,
// and reports whether it was one. Such a message shows only that its sender is reachable, and may
// carry a confirmation.
func (r *Runner) unchanged(e VersionReceived) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	if e.Version != s.Version() || s.peerInForce[e.Peer] < e.InForce || s.pending != nil || !s.allowed(e.Peer) {
		return false
	}
	s.RecordMessage(time.Now(), e)
	r.publish()
	return true
}

// publish updates the stamp for messages from the state. The caller holds the lock.
func (r *Runner) publish() {
	v := r.state.Version()
	s := timedStamp{Stamp{Version: v, Behind: v.Number - r.state.InForce()}, r.state.confirmed}
	if s != *r.stamp.Load() {
		r.stamp.Store(&s)
	}
}

// step passes one event to the state and performs the resulting actions.
func (r *Runner) step(ev Event) {
	r.mu.Lock()
	actions := r.state.Step(time.Now(), r.rng, r.deps.Views.Load(), ev)
	r.publish()
	r.mu.Unlock()
	for _, a := range actions {
		r.perform(a)
	}
}
