package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/wait"
)

// ErrBadAnswer is returned for a peer's answer without a usable version.
var ErrBadAnswer = errors.New("follow: the peer's answer contains no usable version")

const (
	// pullTick is the interval between checks whether a pull is due.
	pullTick = 50 * time.Millisecond
	// pullTimeout bounds one pull. A version takes tens of kilobytes; a peer that cannot send them
	// in this time is of no use.
	pullTimeout = time.Second
)

// pullFromPeers pulls the versions that arrive neither from the source nor by a push.
func (r *Runner) pullFromPeers(ctx context.Context) {
	for wait.For(ctx, pullTick) == nil {
		r.mu.Lock()
		peer, due := r.state.NextPull(time.Now(), r.rng, r.deps.Views.Load())
		r.mu.Unlock()
		if due {
			r.pull(ctx, peer)
		}
	}
}

func (r *Runner) pull(ctx context.Context, peer string) {
	defer func() {
		r.mu.Lock()
		r.state.PullEnded(time.Now(), peer)
		r.mu.Unlock()
	}()
	sentAt := r.clock.At(time.Now())
	resp, snap, err := r.fetch(ctx, peer)
	if err != nil {
		if ctx.Err() == nil {
			r.logPeerFailure(FindingPullFailed, peer, err, "follow: a peer did not give its version")
		}
		return
	}
	if snap != nil {
		r.offer(snap, peer)
	}
	r.recordConfirmation(resp.Confirmed, resp.Version)
	r.recordAssurance(sentAt, resp.Confirmed, resp.Version)
}

// fetch returns a peer's answer, and the version in it if that is newer than the one held.
func (r *Runner) fetch(ctx context.Context, peer string) (*peerpb.PullResponse, *config.Snapshot, error) {
	rec := r.deps.Views.Load().Records[peer]
	if rec == nil {
		return nil, nil, fmt.Errorf("%w: peer %q is not in the membership", ErrBadAnswer, peer)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	v := r.Stamp().Version
	resp, err := r.deps.Client.Pull(ctx, peer, rec.VM.ControlAddr,
		&peerpb.PullRequest{Version: v.Number, Hash: v.Hash[:]})
	if err != nil {
		return nil, nil, err
	}
	snap, err := r.unpack(resp)
	return resp, snap, err
}

// unpack returns the version in an answer, or nil if there is none.
func (r *Runner) unpack(resp *peerpb.PullResponse) (*config.Snapshot, error) {
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
