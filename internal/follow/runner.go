package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/wait"
)

// Source gives the versions that were accepted elsewhere.
type Source interface {
	// Next waits for a version newer than the last one that it returned, and
	// returns the newest. It returns nil without an error when there was none
	// within the source's own bound on waiting.
	Next(ctx context.Context) (*config.Snapshot, error)
}

// ErrNone is what a Source returns while nothing was accepted yet.
var ErrNone = errors.New("follow: no version is accepted yet")

// ErrBehind is what a Source returns that answers, but was not asked for longer than it keeps
// what has changed. Asked again, it gives the newest version whole.
var ErrBehind = errors.New("follow: the changes since are not kept any more")

// ErrBadAnswer marks a peer's answer that holds no version that can be used.
var ErrBadAnswer = errors.New("follow: the peer's answer holds no whole version")

const (
	// tickEvery is how often the state is asked whether a pull is due.
	tickEvery = 50 * time.Millisecond
	// pullTimeout bounds one pull: a version is tens of kilobytes, and a peer
	// that cannot send them in this time is no help.
	pullTimeout = time.Second
	// sourceRetry and sourceRetryMax bound the full-jitter waits between reads
	// of a source that fails. Together 1,200 nodes then read at most 800 times
	// a second while it is down.
	sourceRetry    = 100 * time.Millisecond
	sourceRetryMax = 1500 * time.Millisecond
	maxShift       = 5
	// sourcePause is how long a node that got a version waits before it asks for
	// the next one. In a storm only the newest counts: with changes each 160 ms
	// this makes a quarter of the reads. A version is in force within 2 s of its
	// acceptance, so less than a third of that may be spent here.
	sourcePause = 600 * time.Millisecond
	// nonePause is how long a node waits that was told that there is no version yet: until
	// it has joined, and knows whether it is a feeder.
	nonePause = time.Second
	// roleEvery is how often a node that is no feeder looks whether it became one, and one
	// that has just started whether it is to read the source by itself.
	roleEvery = 50 * time.Millisecond
	// tellTimeout bounds one tell, and maxTells those under way.
	tellTimeout = time.Second
	maxTells    = 8
	// maxRecent bounds the versions kept to tell what has changed since. A node
	// that is further behind gets the whole of the newest.
	maxRecent = 16
	// maxTimeline bounds the versions whose times are kept.
	maxTimeline = 64
)

// fromSource is what the log says of a version that came from the source.
const fromSource = "source"

// Deps are what a Runner works with.
type Deps struct {
	Source Source
	Views  *membership.Views
	Client distribute.Client
	Store  distribute.Store
	Log    zerolog.Logger
	// OnFinding counts findings; it may be nil.
	OnFinding func(Finding)
}

// Runner follows a source and serves what it holds to peers.
type Runner struct {
	deps Deps
	set  Settings

	mu       sync.Mutex // guards state, rng, timeline; not held across I/O
	state    *State
	rng      *rand.Rand
	timeline []distribute.Timing
	recent   []*config.Snapshot // the last that were held, oldest first

	tells    *semaphore.Weighted
	offering sync.Mutex // one version is put in force at a time
	held     atomic.Pointer[config.Snapshot]
	inForce  atomic.Uint64
	packed   atomic.Pointer[packedVersion]
	misses   zerolog.Logger
}

type packedVersion struct {
	version config.Version
	packed  *peerpb.Packed
}

// NewRunner returns a runner for a node that has just started.
func NewRunner(set Settings, deps Deps) *Runner {
	r := &Runner{
		deps: deps, set: set, state: NewState(set, time.Now()), tells: semaphore.NewWeighted(maxTells),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), misses: sparing(deps.Log),
	}
	r.held.Store(config.Empty())
	return r
}

// Run follows the source and pulls from peers until ctx ends. It returns nil.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.follow(ctx) })
	wg.Go(func() { r.learn(ctx) })
	wg.Go(func() { r.keepContact(ctx) })
	wg.Wait()
	return nil
}

// follow takes what the source has.
func (r *Runner) follow(ctx context.Context) {
	fails := 0
	for ctx.Err() == nil {
		if !r.Feeder() {
			_ = wait.For(ctx, roleEvery)
			continue
		}
		snap, err := r.deps.Source.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrNone) {
			r.noteNone()
			_ = wait.For(ctx, nonePause)
			continue
		}
		if errors.Is(err, ErrBehind) {
			r.noteSource(nil)
			_ = wait.For(ctx, rand.N(sourceRetry))
			continue
		}
		r.noteSource(err)
		if err != nil {
			fails++
			limit := min(sourceRetry<<min(fails, maxShift), sourceRetryMax)
			_ = wait.For(ctx, rand.N(limit))
			continue
		}
		fails = 0
		if snap != nil {
			r.offer(snap, fromSource)
			_ = wait.For(ctx, sourcePause)
		}
	}
}

// noteNone notes that the source answers, and has nothing yet.
func (r *Runner) noteNone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.None(time.Now())
}

// noteSource logs when the source is lost and when it is back.
func (r *Runner) noteSource(err error) {
	r.mu.Lock()
	was := r.state.Failing()
	r.state.Source(time.Now(), err == nil)
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		r.deps.Log.Warn().Err(err).Uint64("held", r.Stamp().Version.Number).
			Msg("follow: the source of versions does not answer, peers are asked")
	case err == nil && was:
		r.deps.Log.Info().Uint64("held", r.Stamp().Version.Number).Msg("follow: the source of versions answers")
	}
}

// learn pulls from peers what the source does not bring.
func (r *Runner) learn(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		peer, due := r.state.Pull(time.Now(), r.rng, r.deps.Views.Load())
		r.mu.Unlock()
		if due {
			r.pull(ctx, peer)
		}
	}
}

func (r *Runner) pull(ctx context.Context, peer string) {
	defer func() {
		r.mu.Lock()
		r.state.Pulled(time.Now(), peer)
		r.mu.Unlock()
	}()
	snap, err := r.fetch(ctx, peer)
	if err != nil {
		if ctx.Err() == nil {
			r.missed(FindingNotGiven, peer, err, "follow: a peer did not give its version")
		}
		return
	}
	if snap != nil {
		r.offer(snap, peer)
	}
}

// fetch returns the version of a peer if it is newer than the one held.
func (r *Runner) fetch(ctx context.Context, peer string) (*config.Snapshot, error) {
	rec := r.deps.Views.Load().Records[peer]
	if rec == nil {
		return nil, fmt.Errorf("%w: %s is not in the membership", ErrBadAnswer, peer)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	v := r.Stamp().Version
	resp, err := r.deps.Client.Pull(ctx, peer, rec.VM.ControlAddr,
		&peerpb.PullRequest{Version: v.Number, Hash: v.Hash[:]})
	if err != nil {
		return nil, err
	}
	if resp.Changes == nil {
		return nil, nil
	}
	ds, snap, err := distribute.Unpack(resp.Changes)
	switch {
	case err != nil:
		return nil, err
	case snap != nil:
		return snap, nil
	case len(ds) == 1:
		return ds[0].Patch(r.held.Load())
	}
	return nil, ErrBadAnswer
}

// offer puts a version in force if it is newer than all that was seen.
//
// One that does not compile counts as seen: the running version stays in force,
// and the same version is not fetched over and over.
func (r *Runner) offer(snap *config.Snapshot, from string) {
	r.offering.Lock()
	defer r.offering.Unlock()
	v := snap.Version()
	r.mu.Lock()
	newer := r.state.Take(v)
	r.mu.Unlock()
	if !newer {
		return
	}
	start := time.Now()
	inForce, err := r.deps.Store.Offer(snap)
	before := r.held.Swap(snap)
	r.remember(before)
	r.tellOthers(snap, before, from)
	if err != nil || !inForce {
		r.deps.Log.Error().Uint64("version", v.Number).Str("from", from).Err(err).
			Msg("follow: the version cannot be put in force, the running one stays")
		return
	}
	r.inForce.Store(v.Number)
	r.mu.Lock()
	r.timeline = append(r.timeline, distribute.Timing{Version: v, Accepted: start, InForce: time.Now()})
	if len(r.timeline) > maxTimeline {
		r.timeline = r.timeline[1:]
	}
	r.mu.Unlock()
	r.deps.Log.Info().Uint64("version", v.Number).Str("from", from).Dur("took", time.Since(start)).
		Msg("follow: version in force")
}

// Stamp returns what messages carry of this node's versions.
func (r *Runner) Stamp() distribute.Stamp {
	v := r.held.Load().Version()
	return distribute.Stamp{Version: v, Behind: v.Number - min(r.inForce.Load(), v.Number)}
}

// Held returns the newest version held, and whether the source answers, so that
// there is none newer.
func (r *Runner) Held() (config.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Held(), !r.state.Failing()
}

// Ready reports whether the node may carry traffic, and if not, why.
func (r *Runner) Ready() (bool, string) {
	if r.inForce.Load() == 0 {
		return false, "no version is known yet"
	}
	return true, ""
}

// Timeline returns when the latest versions came into force, oldest first.
func (r *Runner) Timeline() []distribute.Timing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]distribute.Timing(nil), r.timeline...)
}

// Accepted does nothing: versions are accepted elsewhere.
func (r *Runner) Accepted(*config.Delta) {}

// Conflicts returns nil: versions accepted elsewhere have one history.
func (r *Runner) Conflicts() []*distribute.Conflict { return nil }

// Feeder reports whether this node is to follow the source; see State.Feeds.
func (r *Runner) Feeder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Feeds(time.Now(), r.deps.Views.Load())
}
