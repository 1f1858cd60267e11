package distribute

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// pendingSnapshot is a snapshot that awaits a second witness and proof of its descent.
//
// A snapshot proves its content by its hash, but not that it descends from the version held: a peer
// of another history, or a malicious one, could send any. So it is applied only when a second peer,
// or the platform, has the same version, and a peer that has it also has the version held in its
// history. Peers that started recently cannot tell one history from another, so any number of them
// agreeing is no proof of descent. Every version descends from the empty one, so a node that holds
// nothing needs only the second witness; with no other peer to query, one authenticated peer is
// enough after Settings.AloneAfter.
type pendingSnapshot struct {
	snapshot   *config.Snapshot
	source     string
	receivedAt time.Time
	nextAt     time.Time // when to query the next witness
	tried      map[string]bool
	witnessed  bool           // a second source has the version
	descent    config.Version // newest version it is proven to descend from
	contested  bool           // another peer answered without confirming it
}

// receiveSnapshot handles a snapshot from a peer.
func (s *State) receiveSnapshot(p activePull, a Answer) {
	v := a.Snapshot.Version()
	if !v.Newer(s.Version()) {
		return
	}
	if s.pending != nil {
		s.recordWitness(p.peer, v)
		return
	}
	s.pending = s.newPendingSnapshot(p.peer, a.Snapshot)
	s.pending.witnessed = s.feed.head == v
	if a.KnowsHeld {
		s.pending.descent = p.held
	}
	for peer, c := range s.claims {
		if peer != p.peer && c.version == v {
			s.pending.witnessed = true
		}
	}
	s.applyPendingIfProven()
}

func (s *State) newPendingSnapshot(source string, snap *config.Snapshot) *pendingSnapshot {
	return &pendingSnapshot{
		snapshot: snap, source: source, receivedAt: s.now, nextAt: s.now,
		tried: map[string]bool{source: true},
	}
}

// receivePlatformSnapshot handles a snapshot from the platform, which sends one when its log does
// not reach back to the version held. The platform's table may meanwhile have been replaced by one
// of another history.
func (s *State) receivePlatformSnapshot(snap *config.Snapshot) {
	if !snap.Version().Newer(s.Version()) {
		return
	}
	ps := s.newPendingSnapshot(SourcePlatform, snap)
	ps.witnessed = true
	if old := s.pending; old != nil && old.snapshot.Version() == snap.Version() {
		ps.descent = old.descent
	}
	s.pending = ps
	s.applyPendingIfProven()
}

// applyPendingIfProven applies the pending snapshot if it is witnessed and proven to descend from
// the version held. It reports whether it did.
func (s *State) applyPendingIfProven() bool {
	ps := s.pending
	if !ps.witnessed || !s.descends(ps) {
		return false
	}
	s.applySnapshot(ps.snapshot, ps.source == SourcePlatform)
	return true
}

func (s *State) descends(ps *pendingSnapshot) bool {
	return s.Version().Number == 0 || ps.descent == s.Version()
}

// recordWitness handles a version reported by a peer as a possible witness.
func (s *State) recordWitness(peer string, v config.Version) {
	if s.pending == nil || peer == s.pending.source || v.Number != s.pending.snapshot.Version().Number {
		return
	}
	if v != s.pending.snapshot.Version() {
		s.pending.contested = true
		s.reportConflict(peer, v) // the snapshot may be the wrong one
		return
	}
	s.pending.witnessed = true
	s.applyPendingIfProven()
}

// recordWitnessAnswer handles the answer of a peer queried as a witness.
func (s *State) recordWitnessAnswer(p activePull, a Answer) {
	ps := s.pending
	v := ps.snapshot.Version()
	follows := len(a.Deltas) > 0 && a.Deltas[0].From == v
	if p.peer == ps.source || a.OtherHistory || (a.Version != v && !follows) {
		ps.contested = true
		return
	}
	ps.witnessed = true
	if a.KnowsHeld {
		ps.descent = p.held
	}
	if s.applyPendingIfProven() {
		s.applyAnswer(p, a)
		s.updateClaim(p.peer, a.Version)
	}
}

// scheduleWitness queries the next witness, and decides without one after Settings.AloneAfter.
func (s *State) scheduleWitness() {
	ps := s.pending
	if ps == nil {
		return
	}
	if !ps.snapshot.Version().Newer(s.Version()) {
		s.pending = nil
		return
	}
	if s.now.Sub(ps.receivedAt) >= s.set.AloneAfter {
		s.decidePending()
		return
	}
	if s.pull.peer != "" || s.now.Before(ps.nextAt) {
		return
	}
	peer := s.pickWitness()
	if peer == "" {
		clear(ps.tried) // all were tried: start over, after a pause
		ps.tried[ps.source] = true
		ps.nextAt = s.now.Add(s.backoff(maxShift))
		return
	}
	ps.tried[peer] = true
	s.startPull(peer, ps.snapshot.Version())
}

// decidePending ends the wait. The snapshot is dropped and its sender banned if its descent was not
// proven, or if other peers answered and none confirmed it. If no other peer could be queried, the
// sender alone suffices.
func (s *State) decidePending() {
	ps := s.pending
	if s.descends(ps) && !ps.contested {
		s.applySnapshot(ps.snapshot, ps.source == SourcePlatform)
		return
	}
	s.pending = nil
	v := ps.snapshot.Version()
	s.report(&UnverifiedSnapshot{Peer: ps.source, Version: v}, ps.source, v)
	s.ban(ps.source)
}

// pickWitness returns a live peer that was not tried, preferring one that claims a newer version.
func (s *State) pickWitness() string {
	ok := func(p string) bool { return !s.pending.tried[p] && s.allowed(p) }
	if i := slices.IndexFunc(sortedKeys(s.claims), ok); i >= 0 {
		return sortedKeys(s.claims)[i]
	}
	return s.randomPeer(ok)
}

// randomPeer returns a random live peer for which ok holds, or "".
func (s *State) randomPeer(ok func(string) bool) string {
	var ids []string
	if s.view != nil {
		for id, r := range s.view.Records {
			if id != s.set.Self && r.State == membership.VMAlive && ok(id) {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return ids[s.rng.IntN(len(ids))]
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
