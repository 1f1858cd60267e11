package follow

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/wait"
)

// queryParents queries the parents of this node whether the version held is still the newest.
func (r *Runner) queryParents(ctx context.Context) {
	for ctx.Err() == nil {
		view := r.deps.Views.Load()
		now := time.Now()
		boot := r.clock.At(now)
		r.mu.Lock()
		parent, due := r.state.NextQuery(now, boot, view)
		r.mu.Unlock()
		if due {
			r.query(ctx, parent, view)
		}
		r.cancelLongPoll()
		now = time.Now()
		boot = r.clock.At(now)
		r.mu.Lock()
		pause := r.state.NextQueryIn(now, boot, view)
		r.mu.Unlock()
		_ = wait.For(ctx, min(pause, roleCheckInterval))
	}
}

// query requests the version number and the confirmation of a node.
func (r *Runner) query(ctx context.Context, parent string, view *membership.View) {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	own := r.Stamp().Version
	sentAt := r.clock.At(time.Now())
	resp, err := r.deps.Client.Pull(bounded, parent, view.Records[parent].VM.ControlAddr,
		&peerpb.PullRequest{Version: own.Number, Hash: own.Hash[:], HeadOnly: true})
	switch {
	case ctx.Err() != nil: // shutting down
	case err != nil:
		r.recordUnconfirmed(parent, view, err)
	default:
		r.recordAnswer(parent, view, resp)
		r.recordAssurance(sentAt, resp.Confirmed, resp.Version)
	}
}

func (r *Runner) recordUnconfirmed(parent string, view *membership.View, err error) {
	r.mu.Lock()
	lost := r.state.RecordUnconfirmed(time.Now(), parent, view)
	r.mu.Unlock()
	if lost {
		r.logContactLost(parent, err)
	}
}

// recordAnswer records a parent's answer, and a newer version in it as a claim to pull.
func (r *Runner) recordAnswer(parent string, view *membership.View, resp *peerpb.PullResponse) {
	v := config.Version{Number: resp.Version}
	copy(v.Hash[:], resp.Hash)
	answer := Answer{
		HasConfirmation: resp.Confirmed != nil, Reader: resp.Confirmed.GetReader(),
		Age: time.Duration(resp.Confirmed.GetAgeMs()) * time.Millisecond,
	}
	now := time.Now()
	r.mu.Lock()
	lost, regained := r.state.RecordAnswer(now, parent, answer, view)
	r.state.RecordUrgentClaim(now, parent, v)
	r.mu.Unlock()
	r.recordConfirmation(resp.Confirmed, resp.Version)
	switch {
	case lost:
		r.logContactLost(parent, errStaleConfirmation)
	case regained:
		r.deps.Log.Info().Str("peer", parent).Uint64("held", r.Stamp().Version.Number).
			Dur("confirmed_ago", answer.Age).Str("confirmed_by", answer.Reader).
			Msg("follow: a feeder confirms the version held again")
	}
}

// errStaleConfirmation is the error of a parent that answers, but gets no answer from the source.
var errStaleConfirmation = errors.New("follow: the feeder's confirmation is stale, it gets no answer from the source")

func (r *Runner) logContactLost(parent string, err error) {
	r.countFinding(FindingNoFeeder)
	age, reader := r.ConfirmedAge()
	r.deps.Log.Warn().Str("peer", parent).Err(err).Uint64("held", r.Stamp().Version.Number).
		Dur("confirmed_ago", age).Str("confirmed_by", reader).
		Msg("follow: no feeder confirms the version held, this node reads the source")
}
