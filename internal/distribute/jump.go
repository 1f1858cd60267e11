package distribute

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// jump is a snapshot from a peer that waits for a second witness.
//
// A snapshot proves its content by its hash, but not that it descends from the
// version held here: a peer of another history, or a lying one, could send any.
// So it is taken only when a second peer, or the platform, has that very
// version in its history. With nobody else to ask, one authenticated peer is
// enough after Settings.AloneAfter.
type jump struct {
	snapshot  *config.Snapshot
	from      string
	since     time.Time
	after     time.Time // when to ask the next witness
	tried     map[string]bool
	contested bool // some other peer answered, and did not confirm
}

// considerJump takes a snapshot from a peer.
func (s *State) considerJump(peer string, snap *config.Snapshot) {
	if !snap.Version().Newer(s.Version()) {
		return
	}
	if j := s.jump; j != nil {
		s.witness(peer, snap.Version())
		return
	}
	s.jump = &jump{
		snapshot: snap, from: peer, since: s.now, after: s.now,
		tried: map[string]bool{peer: true},
	}
	if s.feed.head == snap.Version() {
		s.jumped(snap, false)
		return
	}
	for _, p := range sortedKeys(s.claims) {
		if p != peer && s.claims[p].version == snap.Version() {
			s.jumped(snap, false)
			return
		}
	}
}

// witness takes the jump if a second peer names its version.
func (s *State) witness(peer string, v config.Version) {
	if s.jump == nil || peer == s.jump.from || v.Number != s.jump.snapshot.Version().Number {
		return
	}
	if v != s.jump.snapshot.Version() {
		s.jump.contested = true
		s.reportConflict(peer, v) // the snapshot may be the one that is wrong
		return
	}
	s.jumped(s.jump.snapshot, false)
}

// confirm takes the answer of a peer that was asked to witness the jump.
func (s *State) confirm(peer string, a Answer) {
	v := s.jump.snapshot.Version()
	follows := len(a.Deltas) > 0 && a.Deltas[0].From == v
	if peer == s.jump.from || (a.Version != v && !follows) {
		s.jump.contested = true
		return
	}
	s.jumped(s.jump.snapshot, false)
	s.takeAnswer(peer, a)
	s.afterPull(peer, a.Version)
}

// scheduleJump asks the next witness, and in the end decides without one.
func (s *State) scheduleJump() {
	j := s.jump
	if j == nil {
		return
	}
	if !j.snapshot.Version().Newer(s.Version()) {
		s.jump = nil
		return
	}
	if s.now.Sub(j.since) >= s.set.AloneAfter {
		s.decideJump()
		return
	}
	if s.pull.peer != "" || s.now.Before(j.after) {
		return
	}
	peer := s.pickWitness()
	if peer == "" {
		clear(j.tried) // all were asked: begin again, later
		j.tried[j.from] = true
		j.after = s.now.Add(s.backoff(maxShift))
		return
	}
	j.tried[peer] = true
	s.startPull(peer, j.snapshot.Version())
}

// decideJump ends the wait for a witness. If others answered and none knew the
// version, its sender is not believed for a while; if nobody else could be
// asked, its word has to do.
func (s *State) decideJump() {
	j := s.jump
	s.jump = nil
	if j.contested {
		v := j.snapshot.Version()
		s.report(&Unconfirmed{Peer: j.from, Version: v}, j.from, v)
		s.discredit(j.from)
		return
	}
	s.jumped(j.snapshot, false)
}

// pickWitness returns a live peer that was not tried, a claimant first.
func (s *State) pickWitness() string {
	ok := func(p string) bool { return !s.jump.tried[p] && s.believed(p) }
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
