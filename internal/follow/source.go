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

// ErrNone is what a Source returns while nothing was accepted yet.
var ErrNone = errors.New("follow: no version is accepted yet")

// ErrBehind is what a Source returns that answers, but was not asked for longer than it keeps
// what has changed. Asked again, it gives the newest version whole.
var ErrBehind = errors.New("follow: the changes since are not kept any more")

// fromSource is what the log says of a version that came from the source.
const fromSource = "source"

const (
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
	// sourceHold is how long the source holds a question before it answers that there is
	// nothing new. Long, since platforms charge for every question.
	sourceHold = 25 * time.Second
	// nonePause is how long a node waits that was told that there is no version yet: until
	// it has joined, and knows whether it is a feeder.
	nonePause = time.Second
	// roleEvery is how often a node that is no feeder looks whether it became one, and one
	// that has just started whether it is to read the source by itself.
	roleEvery = 50 * time.Millisecond
)

// follow takes what the source has.
func (r *Runner) follow(ctx context.Context) {
	fails := 0
	for ctx.Err() == nil {
		if !r.Feeder() {
			_ = wait.For(ctx, roleEvery)
			continue
		}
		snap, err := r.deps.Source.Next(ctx, sourceHold)
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
		answered := time.Now()
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
		}
		r.noteRead(answered)
		if snap != nil {
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

// noteRead notes that the source has said at some time that no version is newer than the one
// held now.
func (r *Runner) noteRead(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Confirm(at, r.set.Self)
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
