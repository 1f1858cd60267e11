package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/marlpass/marlpass/internal/bootclock"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	// maxRecent bounds the versions kept to compute deltas for peers. A peer that is further behind
	// gets the whole snapshot.
	maxRecent = 16
	// maxTimeline bounds the versions whose times are kept.
	maxTimeline = 64
)

// Deps are the dependencies of a Runner.
type Deps struct {
	Source Source
	Views  *membership.CurrentView
	Client distribute.Client
	Store  distribute.Store
	Log    zerolog.Logger
	// OnFinding is called for each finding; it may be nil.
	OnFinding func(Finding)
}

// Runner follows a source and serves the version held to peers.
type Runner struct {
	deps Deps
	set  Settings

	mu       sync.Mutex // guards state, rng, timeline; not held across I/O
	state    *State
	rng      *rand.Rand
	timeline []distribute.Timing
	recent   []*config.Snapshot // previously held versions, oldest first

	pushes      *semaphore.Weighted
	offerMu     sync.Mutex // serializes offer
	held        atomic.Pointer[config.Snapshot]
	inForce     atomic.Uint64
	undecodable atomic.Bool                   // the newest version of the source cannot be decoded
	packed      atomic.Pointer[packedVersion] // the version held, whole
	packedDelta atomic.Pointer[packedVersion] // the delta that was last pulled
	pendingPoll atomic.Pointer[sourcePoll]    // long poll in progress, or nil
	burstLog    zerolog.Logger
	clock       bootclock.Clock
}

type packedVersion struct {
	from    config.Version // of a delta
	version config.Version
	packed  *peerpb.Packed
}

// NewRunner returns a runner for a node that has just started.
func NewRunner(set Settings, deps Deps) *Runner {
	r := &Runner{
		deps: deps, set: set, state: NewState(set, time.Now()), pushes: semaphore.NewWeighted(maxPushes),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), burstLog: limitBursts(deps.Log),
	}
	r.held.Store(config.Empty())
	return r
}

// Run follows the source and pulls from peers until ctx ends. It returns nil.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.followSource(ctx) })
	wg.Go(func() { r.pullFromPeers(ctx) })
	wg.Go(func() { r.queryParents(ctx) })
	wg.Wait()
	return nil
}

// offer puts a version in force if it is newer than all versions seen, and passes it on.
//
// A version that cannot be put in force here counts as seen: the running version stays in force, and
// the same version is not fetched again and again. It is passed on, as other nodes may be of a later
// release, but this node no longer vouches that the version in force is the newest.
func (r *Runner) offer(snap *config.Snapshot, from string) {
	r.offerMu.Lock()
	defer r.offerMu.Unlock()
	v := snap.Version()
	r.mu.Lock()
	newer := r.state.Advance(v)
	r.mu.Unlock()
	if !newer {
		return
	}
	start := time.Now()
	inForce, err := r.deps.Store.Offer(snap)
	before := r.held.Swap(snap)
	r.keepRecent(before)
	if from == fromSource {
		r.recordRead(start)
	}
	r.pushVersion(snap, before, from)
	if err != nil || !inForce {
		r.countFinding(FindingNotInForce)
		r.deps.Log.Error().Uint64("version", v.Number).Str("from", from).Err(err).
			Msg("follow: the version cannot be put in force, the previous one stays")
		return
	}
	r.inForce.Store(v.Number)
	r.mu.Lock()
	r.state.RecordInForce(v)
	r.timeline = append(r.timeline, distribute.Timing{Version: v, Accepted: start, InForce: time.Now()})
	if len(r.timeline) > maxTimeline {
		r.timeline = r.timeline[1:]
	}
	r.mu.Unlock()
	r.deps.Log.Info().Uint64("version", v.Number).Str("from", from).Dur("took", time.Since(start)).
		Msg("follow: version in force")
}

// Stamp returns the versions and the confirmation that messages of this node carry.
func (r *Runner) Stamp() distribute.Stamp {
	// The confirmation is read first: it also holds for a later version, but not for an earlier
	// one.
	confirmed := r.confirmation(time.Now())
	v := r.held.Load().Version()
	return distribute.Stamp{Version: v, Behind: v.Number - min(r.inForce.Load(), v.Number), Confirmed: confirmed}
}

// confirmation returns the confirmation of the version held, for messages.
func (r *Runner) confirmation(now time.Time) *peerpb.Confirmation {
	boot := r.clock.At(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	age, reader := r.state.ConfirmedAge(now)
	c := &peerpb.Confirmation{AgeMs: distribute.CeilMilliseconds(age), Reader: reader}
	if age, known := r.state.AssuredAge(boot); known && r.set.MaxAssuranceAge > 0 {
		ms := distribute.CeilMilliseconds(age)
		c.AssuredAgeMs = &ms
	}
	return c
}

// recordConfirmation records the confirmation of a peer that holds version number. A confirmation
// of an older version also confirms the version held.
func (r *Runner) recordConfirmation(c *peerpb.Confirmation, number uint64) {
	if c.GetReader() == "" || number > r.held.Load().Version().Number {
		return
	}
	confirmed := distribute.ConfirmationFromProto(time.Now(), c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordConfirmation(confirmed.At, confirmed.Reader)
}

// ConfirmedAge returns the age of the last confirmation of the version held, and the ID of the node
// that read it from the source.
func (r *Runner) ConfirmedAge() (age time.Duration, reader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ConfirmedAge(time.Now())
}

// Held returns the newest version held, and whether the source answers, so that no version is
// newer.
func (r *Runner) Held() (config.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Held(), !r.state.Failing()
}

// Ready reports whether the node can carry traffic, and the reason if it cannot.
func (r *Runner) Ready() (bool, string) {
	if r.inForce.Load() == 0 {
		return false, "no version is known yet"
	}
	return true, ""
}

// Timeline returns when the most recent versions came into force, oldest first.
func (r *Runner) Timeline() []distribute.Timing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]distribute.Timing(nil), r.timeline...)
}

// Accepted does nothing: versions are accepted elsewhere.
func (r *Runner) Accepted(*config.Delta) {}

// Conflicts returns nil: versions accepted elsewhere have one history.
func (r *Runner) Conflicts() []*distribute.Conflict { return nil }
