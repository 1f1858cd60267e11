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

// keepContact asks those that tell this node whether what it holds is the newest.
func (r *Runner) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		view := r.deps.Views.Load()
		now := time.Now()
		boot := r.clock.At(now)
		r.mu.Lock()
		teller, due := r.state.Ask(now, boot, view)
		r.mu.Unlock()
		if due {
			r.ask(ctx, teller, view)
		}
		r.withdraw()
		now = time.Now()
		boot = r.clock.At(now)
		r.mu.Lock()
		pause := r.state.AskIn(now, boot, view)
		r.mu.Unlock()
		_ = wait.For(ctx, min(pause, roleEvery))
	}
}

// ask asks a node for the number of its version.
func (r *Runner) ask(ctx context.Context, teller string, view *membership.View) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	own := r.Stamp().Version
	asked := r.clock.At(time.Now())
	resp, err := r.deps.Client.Pull(bounded, teller, view.Records[teller].VM.ControlAddr,
		&peerpb.PullRequest{Version: own.Number, Hash: own.Hash[:], HeadOnly: true})
	switch {
	case ctx.Err() != nil: // the node stops
	case err != nil:
		r.noteMissed(teller, view, err)
	default:
		r.noteAnswered(teller, view, resp)
		r.assure(asked, resp.Confirmed, resp.Version)
	}
}

func (r *Runner) noteMissed(teller string, view *membership.View, err error) {
	r.mu.Lock()
	lost := r.state.Missed(time.Now(), teller, view)
	r.mu.Unlock()
	if lost {
		r.noteLost(teller, err)
	}
}

// noteAnswered also pulls a newer version that was not told here.
func (r *Runner) noteAnswered(teller string, view *membership.View, resp *peerpb.PullResponse) {
	v := config.Version{Number: resp.Version}
	copy(v.Hash[:], resp.Hash)
	answer := Answer{
		Known: resp.Confirmed != nil, Reader: resp.Confirmed.GetReader(),
		Age: time.Duration(resp.Confirmed.GetAgeMs()) * time.Millisecond,
	}
	now := time.Now()
	r.mu.Lock()
	lost, regained := r.state.Answered(now, teller, answer, view)
	r.state.Told(now, teller, v)
	r.mu.Unlock()
	r.confirm(resp.Confirmed, resp.Version)
	switch {
	case lost:
		r.noteLost(teller, errUnconfirmed)
	case regained:
		r.deps.Log.Info().Str("peer", teller).Uint64("held", r.Stamp().Version.Number).
			Dur("confirmed_ago", answer.Age).Str("confirmed_by", answer.Reader).
			Msg("follow: a feeder confirms the version held again")
	}
}

// errUnconfirmed is why a node reads the source whose feeders answer.
var errUnconfirmed = errors.New("follow: the source leaves the feeder without an answer")

func (r *Runner) noteLost(teller string, err error) {
	r.found(FindingNoFeeder)
	age, reader := r.ConfirmedAge()
	r.deps.Log.Warn().Str("peer", teller).Err(err).Uint64("held", r.Stamp().Version.Number).
		Dur("confirmed_ago", age).Str("confirmed_by", reader).
		Msg("follow: no feeder confirms the version held, this node reads the source")
}
