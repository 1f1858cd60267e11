package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/wait"
)

// Source gives the versions that were accepted elsewhere.
type Source interface {
	// Next waits up to hold for a version newer than the last one that it returned, and
	// returns the newest. It returns nil without an error when there was none.
	Next(ctx context.Context, hold time.Duration) (*config.Snapshot, error)
}

// ErrNoVersion is what a Source returns while nothing was accepted yet.
var ErrNoVersion = errors.New("follow: no version is accepted yet")

// ErrCompacted is what a Source returns that answers, but was not asked for longer than it keeps
// what has changed. Asked again, it gives the newest version whole.
var ErrCompacted = errors.New("follow: the changes since are not kept any more")

// fromSource is what the log says of a version that came from the source.
const fromSource = "source"

const (
	// sourceRetry and sourceRetryMax bound the full-jitter waits between questions of a node
	// that has just started to a source that fails, and feederRetryMax those of a feeder.
	sourceRetry    = 100 * time.Millisecond
	sourceRetryMax = 1500 * time.Millisecond
	feederRetryMax = 500 * time.Millisecond
	maxShift       = 5
	// standInRetry and up to standInSpread more is the pause of a node that reads in place of the
	// feeders. When a source that was down answers again, the feeders are to read it first, and
	// to confirm the version to all others before these read it whole.
	standInRetry  = 1500 * time.Millisecond
	standInSpread = 500 * time.Millisecond
	// nonePause is how long a node waits that was told that there is no version yet: until
	// it has joined, and knows whether it is a feeder.
	nonePause = time.Second
	// roleEvery is how often a node that is no feeder looks whether it became one, and one
	// that has just started whether it is to read the source by itself.
	roleEvery = 50 * time.Millisecond
)

// question is one that the source holds.
type question struct {
	hold time.Duration
	stop context.CancelFunc
}

// follow takes what the source has.
func (r *Runner) follow(ctx context.Context) {
	fails := 0
	for ctx.Err() == nil {
		if !r.Feeder() {
			_ = wait.For(ctx, roleEvery)
			continue
		}
		asked := time.Now()
		askedBoot := r.clock.At(asked)
		snap, err := r.next(ctx)
		answered := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errWithdrawn):
			continue
		case errors.Is(err, ErrNoVersion):
			r.noteNone()
			_ = wait.For(ctx, nonePause)
			continue
		case errors.Is(err, ErrCompacted):
			r.noteSource(nil)
			_ = wait.For(ctx, rand.N(sourceRetry))
			continue
		case err != nil && !r.Feeder():
			// Others have read the source meanwhile.
			continue
		}
		r.noteSource(err)
		if err != nil {
			fails++
			// A question that ended at its time-out has been a pause by itself.
			_ = wait.For(ctx, r.retryIn(fails)-answered.Sub(asked))
			continue
		}
		fails = 0
		if snap != nil {
			r.offer(snap, fromSource)
		}
		r.noteRead(answered)
		r.assuredBySource(askedBoot)
		r.report()
		if snap != nil {
			// In a storm only the newest version counts.
			_ = wait.For(ctx, r.set.confirmEvery()-time.Since(answered))
		}
	}
}

// retryIn is how long to wait after a number of failures in a row.
func (r *Runner) retryIn(fails int) time.Duration {
	r.mu.Lock()
	standIn, started := r.state.StandsIn(r.deps.Views.Load()), r.state.fed()
	r.mu.Unlock()
	if standIn {
		return standInRetry + rand.N(standInSpread)
	}
	longest := sourceRetryMax
	if started {
		longest = feederRetryMax
	}
	return rand.N(min(sourceRetry<<min(fails, maxShift), longest))
}

// errWithdrawn means that this node withdrew a question, to ask one that is held less long.
var errWithdrawn = errors.New("follow: the question was withdrawn")

// next asks the source for a newer version.
func (r *Runner) next(ctx context.Context) (*config.Snapshot, error) {
	bounded, stop := context.WithCancel(ctx)
	defer stop()
	q := &question{r.hold(), stop}
	r.question.Store(q)
	snap, err := r.deps.Source.Next(bounded, q.hold)
	r.question.Store(nil)
	if err != nil && bounded.Err() != nil {
		return nil, errWithdrawn
	}
	return snap, err
}

// hold is for how long the source may hold a question of this node now.
func (r *Runner) hold() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Hold(time.Now(), r.deps.Views.Load())
}

// withdraw ends a question that is held longer than it may be now.
func (r *Runner) withdraw() {
	if q := r.question.Load(); q != nil && q.hold > r.set.confirmEvery() && r.hold() <= r.set.confirmEvery() {
		q.stop()
	}
}

// report tells those that others ask that the source has answered.
func (r *Runner) report() {
	view := r.deps.Views.Load()
	r.mu.Lock()
	peers := r.state.Reports(view)
	r.mu.Unlock()
	r.tellAll(view, peers, nil)
}

// noteNone notes that the source answers, and has nothing yet.
func (r *Runner) noteNone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.None(time.Now())
	r.state.Read(time.Now())
}

// noteRead notes that the source has said at some time that no version is newer than the one
// held now.
func (r *Runner) noteRead(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Read(at)
}

// noteSource logs when the source is lost and when it is back.
func (r *Runner) noteSource(err error) {
	r.mu.Lock()
	was := r.state.Failing()
	r.state.Source(time.Now(), err == nil)
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		age, reader := r.ConfirmedAge()
		r.deps.Log.Warn().Err(err).Uint64("held", r.Stamp().Version.Number).
			Dur("confirmed_ago", age).Str("confirmed_by", reader).
			Msg("follow: the source of versions does not answer, peers are asked")
	case err == nil && was:
		r.deps.Log.Info().Uint64("held", r.Stamp().Version.Number).Msg("follow: the source of versions answers")
	}
}

// Feeder reports whether this node is to follow the source; see State.Feeds.
func (r *Runner) Feeder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Feeds(time.Now(), r.deps.Views.Load())
}
