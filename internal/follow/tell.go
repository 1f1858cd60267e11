package follow

import (
	"context"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	// tellTimeout bounds one tell, and maxTells those under way.
	tellTimeout = time.Second
	maxTells    = 8
)

// remember keeps a version that was held, to tell what has changed since.
func (r *Runner) remember(s *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = append(r.recent, s)
	if len(r.recent) > maxRecent {
		r.recent = r.recent[1:]
	}
}

// tellOthers tells the nodes that wait for this one what has changed. Of a first version
// it tells that there is one, for the others to pull; one that a peer gave is news to nobody.
func (r *Runner) tellOthers(snap, before *config.Snapshot, from string) {
	if before.Version().Number == 0 && from != fromSource {
		return
	}
	view := r.deps.Views.Load()
	r.tellAll(view, distribute.CrossDCTargets(view, r.set.Self, r.set.DataCentre), nil)
	peers := distribute.PushTargets(view, r.set.Self, r.set.DataCentre)
	if from == fromSource {
		peers = r.withFeeders(peers, view)
	}
	if len(peers) == 0 {
		return
	}
	packed, err := r.changesSince(snap, before)
	if err != nil {
		r.deps.Log.Error().Err(err).Msg("follow: tell without the changes")
	}
	r.tellAll(view, peers, packed)
}

// withFeeders puts the feeders before peers: they tell the others of what this node has read for
// them.
func (r *Runner) withFeeders(peers []string, view *membership.View) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.state.Reports(view)
	for _, id := range peers {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

func (r *Runner) tellAll(view *membership.View, peers []string, packed *peerpb.Packed) {
	for _, p := range peers {
		if rec := view.Records[p]; rec != nil {
			go r.tell(rec.VM.ControlAddr, p, packed)
		}
	}
}

// changesSince returns what leads from before to snap, or nil where that is all of it.
func (r *Runner) changesSince(snap, before *config.Snapshot) (*peerpb.Packed, error) {
	if before.Version().Number == 0 {
		return nil, nil
	}
	return distribute.Pack([]*config.Delta{snap.Since(before)}, nil)
}

// tell tells one peer. One that is missed hears of the version in passing.
func (r *Runner) tell(addr, peer string, packed *peerpb.Packed) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if r.tells.Acquire(ctx, 1) != nil {
		return
	}
	defer r.tells.Release(1)
	if err := r.deps.Client.Push(ctx, addr, packed); err != nil {
		r.missed(FindingNotTold, peer, err, "follow: a peer was not told of a version")
	}
}

// told puts the version of a tell in force, if what came with it leads there from
// the version held.
func (r *Runner) told(e *peerpb.Envelope) bool {
	ds, err := distribute.UnpackPushed(e.Changes)
	if err != nil || len(ds) != 1 {
		return false
	}
	snap, err := ds[0].Patch(r.held.Load())
	if err != nil {
		return false
	}
	r.offer(snap, e.From)
	return true
}

// Heard takes the version that a message of a peer carried.
func (r *Runner) Heard(e *peerpb.Envelope) {
	r.hear(e)
	r.confirm(e.Confirmed, e.Version)
}

func (r *Runner) hear(e *peerpb.Envelope) {
	if e.Version <= r.held.Load().Version().Number {
		return
	}
	tell := e.Changes != nil
	if tell && r.told(e) {
		return
	}
	v := config.Version{Number: e.Version}
	if len(e.Hash) != config.HashSize {
		r.deps.Log.Warn().Str("peer", e.From).Msg("follow: drop a version without its hash")
		return
	}
	copy(v.Hash[:], e.Hash)
	r.mu.Lock()
	defer r.mu.Unlock()
	if tell {
		r.state.Told(time.Now(), e.From, v)
		return
	}
	r.state.Heard(time.Now(), e.From, v)
}
