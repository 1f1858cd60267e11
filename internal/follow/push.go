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
	// pushTimeout bounds one push, and maxPushes the number of concurrent pushes.
	pushTimeout = time.Second
	maxPushes   = 8
)

// keepRecent keeps a previously held version, to compute deltas for peers.
func (r *Runner) keepRecent(s *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = append(r.recent, s)
	if len(r.recent) > maxRecent {
		r.recent = r.recent[1:]
	}
}

// pushVersion pushes a version to the nodes below this one. Of a first version read from the source
// only the number is pushed, for the others to pull; one that came from a peer is not pushed,
// because other nodes hold it already.
func (r *Runner) pushVersion(snap, before *config.Snapshot, from string) {
	if before.Version().Number == 0 && from != fromSource {
		return
	}
	view := r.deps.Views.Load()
	r.pushAll(view, distribute.CrossDCTargets(view, r.set.Self, r.set.DataCentre), nil)
	peers := distribute.PushTargets(view, r.set.Self, r.set.DataCentre)
	if from == fromSource {
		peers = r.withFeeders(peers, view)
	}
	if len(peers) == 0 {
		return
	}
	packed, err := r.changesSince(snap, before)
	if err != nil {
		r.deps.Log.Error().Err(err).Msg("follow: push the version without its changes")
	}
	r.pushAll(view, peers, packed)
}

// withFeeders puts the feeders before peers, because they push what this node has read to the
// others.
func (r *Runner) withFeeders(peers []string, view *membership.View) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := r.state.ReportTargets(view)
	for _, id := range peers {
		if !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

func (r *Runner) pushAll(view *membership.View, peers []string, packed *peerpb.Packed) {
	for _, p := range peers {
		if rec := view.Records[p]; rec != nil {
			go r.push(rec.VM.ControlAddr, p, packed)
		}
	}
}

// changesSince returns the delta from before to snap, or nil if before is the empty version or peers
// would refuse a push of that size; they pull the version.
func (r *Runner) changesSince(snap, before *config.Snapshot) (*peerpb.Packed, error) {
	if before.Version().Number == 0 {
		return nil, nil
	}
	d := snap.Since(before)
	if d.Size() > maxPushedChanges {
		return nil, nil
	}
	return distribute.Pack([]*config.Delta{d}, nil)
}

// maxPushedChanges leaves room for the encoding within what a peer accepts.
const maxPushedChanges = distribute.MaxPushedBytes / 2

// push pushes to one peer. A peer that it does not reach learns of the version from other messages.
func (r *Runner) push(addr, peer string, packed *peerpb.Packed) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if r.pushes.Acquire(ctx, 1) != nil {
		return
	}
	defer r.pushes.Release(1)
	if err := r.deps.Client.Push(ctx, addr, packed); err != nil {
		r.logPeerFailure(FindingPushFailed, peer, err, "follow: a peer was not told of a version")
	}
}

// applyPush puts a pushed version in force if its delta applies to the version held.
func (r *Runner) applyPush(e *peerpb.Envelope) bool {
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

// Heard records the version and the confirmation that a peer's message carries.
func (r *Runner) Heard(e *peerpb.Envelope) {
	r.recordVersion(e)
	r.recordConfirmation(e.Confirmed, e.Version)
}

func (r *Runner) recordVersion(e *peerpb.Envelope) {
	if e.Version <= r.held.Load().Version().Number {
		return
	}
	pushed := e.Changes != nil
	if pushed && r.applyPush(e) {
		return
	}
	v := config.Version{Number: e.Version}
	if len(e.Hash) != config.HashSize {
		r.deps.Log.Warn().Str("peer", e.From).Msg("follow: ignoring a version without a valid hash")
		return
	}
	copy(v.Hash[:], e.Hash)
	r.mu.Lock()
	defer r.mu.Unlock()
	if pushed {
		r.state.RecordUrgentClaim(time.Now(), e.From, v)
		return
	}
	r.state.RecordClaim(time.Now(), e.From, v)
}
