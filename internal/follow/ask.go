package follow

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/wait"
)

// oldConfirmation is the age of a confirmation from which on the log tells of it.
const oldConfirmation = 2 * time.Second

// keepContact asks those that tell this node whether they are there.
func (r *Runner) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		view := r.deps.Views.Load()
		r.mu.Lock()
		teller, due := r.state.Ask(view)
		r.mu.Unlock()
		if due {
			r.ask(ctx, teller, view)
		}
		r.mu.Lock()
		pause := r.state.AskIn()
		r.mu.Unlock()
		_ = wait.For(ctx, pause)
	}
}

// ask asks a node for the number of its version.
func (r *Runner) ask(ctx context.Context, teller string, view *membership.View) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	own := r.Stamp().Version
	resp, err := r.deps.Client.Pull(bounded, teller, view.Records[teller].VM.ControlAddr,
		&peerpb.PullRequest{Version: own.Number, Hash: own.Hash[:], HeadOnly: true})
	switch {
	case ctx.Err() != nil: // the node stops
	case err != nil:
		r.noteMissed(teller, view, err)
	default:
		r.noteAnswered(teller, resp)
	}
}

func (r *Runner) noteMissed(teller string, view *membership.View, err error) {
	r.mu.Lock()
	lost := r.state.Missed(teller, view)
	r.mu.Unlock()
	if !lost {
		return
	}
	r.found(FindingNoFeeder)
	r.deps.Log.Warn().Str("peer", teller).Err(err).Uint64("held", r.Stamp().Version.Number).
		Msg("follow: no feeder answers, this node reads the source")
}

// noteAnswered also pulls a newer version that was not told here.
func (r *Runner) noteAnswered(teller string, resp *peerpb.PullResponse) {
	v := config.Version{Number: resp.Version}
	copy(v.Hash[:], resp.Hash)
	r.mu.Lock()
	regained := r.state.Answered()
	r.state.Told(time.Now(), teller, v)
	r.mu.Unlock()
	r.confirm(resp.Confirmed, resp.Version)
	r.noteConfirmedAge(teller)
	if regained {
		r.deps.Log.Info().Str("peer", teller).Uint64("held", r.Stamp().Version.Number).
			Msg("follow: a feeder answers again")
	}
}

// noteConfirmedAge logs when what feeders answer ceases to be confirmed, and is again.
func (r *Runner) noteConfirmedAge(teller string) {
	age, reader := r.ConfirmedAge()
	old := age > oldConfirmation
	if r.unconfirmed.Swap(old) == old {
		return
	}
	line := r.deps.Log.Info().Str("peer", teller).Uint64("held", r.Stamp().Version.Number).
		Dur("confirmed_ago", age).Str("confirmed_by", reader)
	if old {
		line.Msg("follow: a feeder answers, and has had no answer of the source for some time")
	} else {
		line.Msg("follow: the source has confirmed the version held")
	}
}
