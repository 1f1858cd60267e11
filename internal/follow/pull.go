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

// ErrBadAnswer marks a peer's answer that holds no version that can be used.
var ErrBadAnswer = errors.New("follow: the peer's answer holds no whole version")

const (
	// tickEvery is how often the state is asked whether a pull is due.
	tickEvery = 50 * time.Millisecond
	// pullTimeout bounds one pull: a version is tens of kilobytes, and a peer
	// that cannot send them in this time is no help.
	pullTimeout = time.Second
)

// learn pulls from peers what the source does not bring.
func (r *Runner) learn(ctx context.Context) {
	for wait.For(ctx, tickEvery) == nil {
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
	asked := r.clock.At(time.Now())
	resp, snap, err := r.fetch(ctx, peer)
	if err != nil {
		if ctx.Err() == nil {
			r.missed(FindingNotGiven, peer, err, "follow: a peer did not give its version")
		}
		return
	}
	if snap != nil {
		r.offer(snap, peer)
	}
	r.confirm(resp.Confirmed, resp.Version)
	r.assure(asked, resp.Confirmed, resp.Version)
}

// fetch returns a peer's answer, and its version if it is newer than the one held.
func (r *Runner) fetch(ctx context.Context, peer string) (*peerpb.PullResponse, *config.Snapshot, error) {
	rec := r.deps.Views.Load().Records[peer]
	if rec == nil {
		return nil, nil, fmt.Errorf("%w: %s is not in the membership", ErrBadAnswer, peer)
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

// unpack returns the version that an answer leads to, or nil if it brings none.
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
