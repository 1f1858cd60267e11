package distribute

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// jump is a snapshot that waits for a second witness and for its descent to be
// shown.
//
// A snapshot proves its content by its hash, but not that it descends from the
// version held here: a peer of another history, or a lying one, could send any.
// So it is taken only when a second peer, or the platform, has that very
// version, and a peer that has it has the version held here in its history too.
// Peers that started lately know neither more nor less of another history than
// of this one: any number of them agreeing is no proof of descent. Every version
// descends from the empty one, so a node that holds nothing needs the second
// witness alone; with nobody else to ask, one authenticated peer is enough
// after Settings.AloneAfter.
type jump struct {
	snapshot  *config.Snapshot
	from      string
	since     time.Time
	after     time.Time // when to ask the next witness
	tried     map[string]bool
	witnessed bool           // a second source has the version
	descent   config.Version // the newest version that it is shown to follow
	contested bool           // some other peer answered, and did not confirm
}

// considerJump takes a snapshot from a peer.
func (s *State) considerJump(p pulling, a Answer) {
	v := a.Snapshot.Version()
	if !v.Newer(s.Version()) {
		return
	}
	if s.jump != nil {
		s.witness(p.peer, v)
		return
	}
	s.jump = s.newJump(p.peer, a.Snapshot)
	s.jump.witnessed = s.feed.head == v
	if a.KnowsHeld {
		s.jump.descent = p.held
	}
	for peer, c := range s.claims {
		if peer != p.peer && c.version == v {
			s.jump.witnessed = true
		}
	}
	s.tryJump()
}

func (s *State) newJump(from string, snap *config.Snapshot) *jump {
	return &jump{
		snapshot: snap, from: from, since: s.now, after: s.now,
		tried: map[string]bool{from: true},
	}
}

// platformJump takes a snapshot from the platform, which sends one where its
// log does not reach back to the version held. The platform's table may have
// been replaced by one of another history meanwhile.
func (s *State) platformJump(snap *config.Snapshot) {
	if !snap.Version().Newer(s.Version()) {
		return
	}
	j := s.newJump(SourcePlatform, snap)
	j.witnessed = true
	if old := s.jump; old != nil && old.snapshot.Version() == snap.Version() {
		j.descent = old.descent
	}
	s.jump = j
	s.tryJump()
}

// tryJump takes the jump if it is witnessed and shown to follow the version
// held. It reports whether it did.
func (s *State) tryJump() bool {
	j := s.jump
	if !j.witnessed || !s.descends(j) {
		return false
	}
	s.jumped(j.snapshot, j.from == SourcePlatform)
	return true
}

func (s *State) descends(j *jump) bool {
	return s.Version().Number == 0 || j.descent == s.Version()
}

// witness takes in that a peer names a version.
func (s *State) witness(peer string, v config.Version) {
	if s.jump == nil || peer == s.jump.from || v.Number != s.jump.snapshot.Version().Number {
		return
	}
	if v != s.jump.snapshot.Version() {
		s.jump.contested = true
		s.reportConflict(peer, v) // the snapshot may be the one that is wrong
		return
	}
	s.jump.witnessed = true
	s.tryJump()
}

// confirm takes the answer of a peer that was asked to witness the jump.
func (s *State) confirm(p pulling, a Answer) {
	j := s.jump
	v := j.snapshot.Version()
	follows := len(a.Deltas) > 0 && a.Deltas[0].From == v
	if p.peer == j.from || a.OtherHistory || (a.Version != v && !follows) {
		j.contested = true
		return
	}
	j.witnessed = true
	if a.KnowsHeld {
		j.descent = p.held
	}
	if s.tryJump() {
		s.takeAnswer(p, a)
		s.afterPull(p.peer, a.Version)
	}
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

// decideJump ends the wait. If nobody showed that the version follows the one
// held, or others answered and none knew it, its sender is not believed for a
// while; if only nobody else could be asked, its word has to do.
func (s *State) decideJump() {
	j := s.jump
	if s.descends(j) && !j.contested {
		s.jumped(j.snapshot, j.from == SourcePlatform)
		return
	}
	s.jump = nil
	v := j.snapshot.Version()
	s.report(&UnverifiedSnapshot{Peer: j.from, Version: v}, j.from, v)
	s.discredit(j.from)
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
