package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/wait"
)

// Source returns the versions that were accepted elsewhere.
type Source interface {
	// Next waits up to hold for a version newer than the last one that it returned, and returns the
	// newest version. It returns nil without an error if there was none. With ErrUndecodable it
	// may return the newest version that can be decoded.
	Next(ctx context.Context, hold time.Duration) (*config.Snapshot, error)
}

// ErrNoVersion is returned by a Source while no version was accepted yet.
var ErrNoVersion = errors.New("follow: no version is accepted yet")

// ErrCompacted is returned by a Source that answers, but no longer keeps the changes since the last
// request. The next request returns the newest version whole.
var ErrCompacted = errors.New("follow: the changes since the last read were compacted away")

// ErrUndecodable is returned by a Source that answers, but whose newest version cannot be decoded.
var ErrUndecodable = errors.New("follow: the newest version cannot be decoded")

// fromSource is the value of the log field "from" for a version read from the source.
const fromSource = "source"

const (
	// sourceRetry and sourceRetryMax bound the full-jitter backoff of a node that has just started,
	// and feederRetryMax that of a feeder, while the source fails.
	sourceRetry     = 100 * time.Millisecond
	sourceRetryMax  = 1500 * time.Millisecond
	feederRetryMax  = 500 * time.Millisecond
	maxBackoffShift = 5
	// fallbackRetry plus up to fallbackRetrySpread is the retry delay of a node that reads in place
	// of its feeders. When a source that was down answers again, the feeders must read it first and
	// confirm the version to the others, before these read the whole document.
	fallbackRetry       = 1500 * time.Millisecond
	fallbackRetrySpread = 500 * time.Millisecond
	// noVersionPause is how long a node waits after the source reported that there is no version
	// yet. By then it has joined and knows whether it is a feeder.
	noVersionPause = time.Second
	// roleCheckInterval is how often a node that does not read the source checks whether it has to.
	roleCheckInterval = 50 * time.Millisecond
)

// sourcePoll is a long poll held by the source.
type sourcePoll struct {
	hold   time.Duration
	cancel context.CancelFunc
}

// followSource reads the source while this node has to; see State.ReadsSource.
func (r *Runner) followSource(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !r.Feeder() {
			_ = wait.For(ctx, roleCheckInterval)
			continue
		}
		sentAt := time.Now()
		sentBoot := r.clock.At(sentAt)
		snap, err := r.readSource(ctx)
		answered := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errPollCancelled):
			continue
		case errors.Is(err, ErrNoVersion):
			r.recordNoVersion()
			_ = wait.For(ctx, noVersionPause)
			continue
		case errors.Is(err, ErrCompacted):
			r.recordSourceResult(nil)
			_ = wait.For(ctx, rand.N(sourceRetry))
			continue
		case err != nil && !r.Feeder():
			// Other nodes have read the source meanwhile.
			continue
		}
		if snap != nil {
			r.offer(snap, fromSource)
		}
		r.recordSourceResult(err)
		if defect.On(defect.VouchForHeld) {
			r.recordSourceAssurance(sentBoot)
		}
		if err != nil {
			failures++
			// The time of a request that timed out counts towards the delay.
			_ = wait.For(ctx, r.retryDelay(failures)-answered.Sub(sentAt))
			continue
		}
		failures = 0
		r.recordRead(answered)
		r.recordSourceAssurance(sentBoot)
		r.pushConfirmation()
		if snap != nil {
			// Under frequent changes only the newest version matters.
			_ = wait.For(ctx, r.set.confirmInterval()-time.Since(answered))
		}
	}
}

// retryDelay returns the delay after a number of consecutive failures.
func (r *Runner) retryDelay(failures int) time.Duration {
	r.mu.Lock()
	fallback, started := r.state.IsFallbackReader(r.deps.Views.Load()), r.state.receivesVersions()
	r.mu.Unlock()
	if fallback {
		return fallbackRetry + rand.N(fallbackRetrySpread)
	}
	maxDelay := sourceRetryMax
	if started {
		maxDelay = feederRetryMax
	}
	return rand.N(min(sourceRetry<<min(failures, maxBackoffShift), maxDelay))
}

// errPollCancelled means that this node cancelled a long poll to send one that is held for less
// time.
var errPollCancelled = errors.New("follow: the long poll was cancelled")

// readSource reads a newer version from the source.
func (r *Runner) readSource(ctx context.Context) (*config.Snapshot, error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	q := &sourcePoll{r.pollHold(), cancel}
	r.pendingPoll.Store(q)
	snap, err := r.deps.Source.Next(bounded, q.hold)
	r.pendingPoll.Store(nil)
	if err != nil && bounded.Err() != nil {
		return nil, errPollCancelled
	}
	return snap, err
}

// pollHold returns how long the source may hold a request of this node now.
func (r *Runner) pollHold() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.PollHold(time.Now(), r.deps.Views.Load())
}

// cancelLongPoll cancels a long poll that the source holds for longer than it may by now.
func (r *Runner) cancelLongPoll() {
	if q := r.pendingPoll.Load(); q != nil && q.hold > r.set.confirmInterval() && r.pollHold() <= r.set.confirmInterval() {
		q.cancel()
	}
}

// pushConfirmation sends the new confirmation to the nodes that others query.
func (r *Runner) pushConfirmation() {
	view := r.deps.Views.Load()
	r.mu.Lock()
	peers := r.state.ReportTargets(view)
	r.mu.Unlock()
	r.pushAll(view, peers, nil)
}

// recordNoVersion records that the source answers, and holds no version yet.
func (r *Runner) recordNoVersion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordNoVersion(time.Now())
	r.state.RecordRead(time.Now())
}

// recordRead records that the source reported at that time that no version is newer than the one
// held now.
func (r *Runner) recordRead(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordRead(at)
}

// recordSourceResult records whether the source answered, and logs when that changes.
func (r *Runner) recordSourceResult(err error) {
	undecodable := errors.Is(err, ErrUndecodable)
	r.mu.Lock()
	wasFailing := r.state.Failing()
	r.state.RecordSourceResult(time.Now(), err == nil)
	r.mu.Unlock()
	if wasUndecodable := r.undecodable.Swap(undecodable); undecodable && !wasUndecodable {
		r.countFinding(FindingUndecodable)
		r.deps.Log.Error().Err(err).Uint64("in_force", r.inForce.Load()).
			Msg("follow: the newest version of the source can't be decoded, the one in force stays and ages")
		return
	}
	switch {
	case err != nil && !wasFailing:
		age, reader := r.ConfirmedAge()
		r.deps.Log.Warn().Err(err).Uint64("held", r.Stamp().Version.Number).
			Dur("confirmed_ago", age).Str("confirmed_by", reader).
			Msg("follow: the source of versions does not answer, pulling from peers")
	case err == nil && wasFailing:
		r.deps.Log.Info().Uint64("held", r.Stamp().Version.Number).Msg("follow: the source of versions answers again")
	}
}

// Feeder reports whether this node has to read the source; see State.ReadsSource.
func (r *Runner) Feeder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ReadsSource(time.Now(), r.deps.Views.Load())
}
