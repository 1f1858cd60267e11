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
	if d := r.since(q, snap); d != nil {
		var err error
		resp.Changes, err = distribute.Pack([]*config.Delta{d}, nil)
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
	r.packed.Store(&packedVersion{v, packed})
	resp.Changes = packed
	return resp, nil
}

// since returns the delta from the version that a peer holds, or nil if that version is not known.
func (r *Runner) since(q *peerpb.PullRequest, snap *config.Snapshot) *config.Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.recent {
		if v := s.Version(); v.Number > 0 && v.Number == q.Version && bytes.Equal(v.Hash[:], q.Hash) {
			return snap.Since(s)
		}
	}
	return nil
}
