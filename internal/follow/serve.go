package follow

import (
	"bytes"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// ServePull answers a peer's pull with a delta, or with the whole version if the peer's version is
// no longer kept here. A snapshot is packed once per version, because many peers pull the same one.
func (r *Runner) ServePull(q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	confirmed := r.Stamp().Confirmed
	snap := r.held.Load()
	v := snap.Version()
	resp := &peerpb.PullResponse{Version: v.Number, Hash: v.Hash[:], Ready: r.inForce.Load() > 0, Confirmed: confirmed}
	if q.HeadOnly || v.Number <= q.Version {
		return resp, nil
	}
	if before := r.recentVersion(q); before != nil {
		var err error
		resp.Changes, err = r.packDelta(before, snap)
		return resp, err
	}
	if p := r.packed.Load(); p != nil && p.version == v {
		resp.Changes = p.packed
		return resp, nil
	}
	packed, err := distribute.Pack(nil, snap)
	if err != nil {
		return nil, err
	}
	r.packed.Store(&packedVersion{version: v, packed: packed})
	resp.Changes = packed
	return resp, nil
}

// packDelta returns the packed delta between two versions. The last one is kept, because many peers
// pull the same one, and a large one takes long to pack.
func (r *Runner) packDelta(before, snap *config.Snapshot) (*peerpb.Packed, error) {
	if p := r.packedDelta.Load(); p != nil && p.from == before.Version() && p.version == snap.Version() {
		return p.packed, nil
	}
	packed, err := distribute.Pack([]*config.Delta{snap.Since(before)}, nil)
	if err != nil {
		return nil, err
	}
	r.packedDelta.Store(&packedVersion{from: before.Version(), version: snap.Version(), packed: packed})
	return packed, nil
}

// recentVersion returns the version that a peer holds, or nil if it is not known here.
func (r *Runner) recentVersion(q *peerpb.PullRequest) *config.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.recent {
		if v := s.Version(); v.Number > 0 && v.Number == q.Version && bytes.Equal(v.Hash[:], q.Hash) {
			return s
		}
	}
	return nil
}
