package distribute

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// claim is a newer version that a peer says it holds.
type claim struct {
	version config.Version
	after   time.Time // not to be pulled before
	fails   int
}

// pulling is the one pull in flight.
type pulling struct {
	peer    string // empty when none is
	version config.Version
	held    config.Version
}

// maxPullFails is how many failed pulls in a row drop a peer's claim.
const maxPullFails = 4

// heard takes the version that a peer's message carried.
func (s *State) heard(e VersionReceived) {
	if !s.believed(e.Peer) {
		return
	}
	s.remember(e.Peer, e.InForce)
	if len(e.Deltas) > 0 && !s.applyDeltas(e.Peer, e.Deltas) {
		return
	}
	s.RecordMessage(s.now, e)
	s.witness(e.Peer, e.Version)
	if !e.Version.Newer(s.Version()) {
		delete(s.claims, e.Peer)
		if s.chain.relation(e.Version) == relationOther {
			s.conflict(e.Peer, e.Version)
		}
		return
	}
	s.claim(e)
}

// claim remembers a newer version and when to pull it.
func (s *State) claim(e VersionReceived) {
	c := s.claims[e.Peer]
	if c != nil && c.version == e.Version && !e.Pushed {
		return
	}
	if c == nil && len(s.claims) >= s.set.MaxClaims {
		return // whoever is in there has it too, or the next message tells
	}
	after := s.now
	if !e.Pushed && s.Version().Number > 0 {
		d := s.set.Profile.PullDelay
		after = after.Add(d/2 + s.jitter(d/2))
	}
	s.claims[e.Peer] = &claim{version: e.Version, after: after}
}

// remember keeps the highest version seen in force at a peer. A node that
// restarts without memory asks for it.
func (s *State) remember(peer string, inForce uint64) {
	if inForce <= s.held[peer] {
		return
	}
	if _, known := s.held[peer]; !known && len(s.held) >= s.set.MaxPeers {
		s.forgetUnlisted()
		if len(s.held) >= s.set.MaxPeers {
			return
		}
	}
	s.held[peer] = inForce
}

// forgetUnlisted drops peers that left the membership.
func (s *State) forgetUnlisted() {
	for p := range s.held {
		if s.view == nil || s.view.Records[p] == nil {
			delete(s.held, p)
		}
	}
}

// settleClaims drops the claims that the chain has reached.
func (s *State) settleClaims() {
	for _, p := range sortedKeys(s.claims) {
		c := s.claims[p]
		if c.version.Newer(s.Version()) {
			continue
		}
		delete(s.claims, p)
		if s.chain.relation(c.version) == relationOther {
			s.conflict(p, c.version)
		}
	}
}

// schedulePull starts a pull if one is due and none is in flight.
func (s *State) schedulePull() {
	if s.pull.peer != "" || s.jump != nil || len(s.claims) == 0 {
		return
	}
	if peer := s.chooseClaim(); peer != "" {
		s.startPull(peer, s.Version())
	}
}

func (s *State) startPull(peer string, v config.Version) {
	s.pull = pulling{peer: peer, version: v, held: s.Version()}
	s.emit(Pull{Peer: peer, Version: v, Held: s.Version()})
}

// chooseClaim picks the peer to pull from: one with the highest version, since
// deltas prove themselves. A node that holds nothing takes a snapshot, which
// does not, so it prefers the version that most peers name.
func (s *State) chooseClaim() string {
	votes := make(map[config.Version]int)
	var peers []string
	for p, c := range s.claims {
		votes[c.version]++
		if !s.now.Before(c.after) {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	slices.Sort(peers) // map order must not decide
	s.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	empty := s.Version().Number == 0
	return slices.MaxFunc(peers, func(a, b string) int {
		va, vb := s.claims[a].version, s.claims[b].version
		if c := cmp.Compare(votes[va], votes[vb]); empty && c != 0 {
			return c
		}
		return cmp.Compare(va.Number, vb.Number)
	})
}

// pulled takes the outcome of the pull in flight.
func (s *State) pulled(e Pulled) {
	if e.Peer != s.pull.peer {
		return
	}
	p := s.pull
	s.pull = pulling{}
	if e.Err != nil {
		s.pullFailed(p.peer, e.Err)
		return
	}
	a := e.Answer
	if s.jump != nil && s.jump.snapshot.Version() == p.version {
		s.confirm(p, a)
		return
	}
	if a.OtherHistory {
		s.conflict(p.peer, a.Version)
		s.discredit(p.peer)
		return
	}
	if !s.takeAnswer(p, a) {
		return
	}
	s.afterPull(p.peer, a.Version)
}

// takeAnswer uses the changes of an answer.
func (s *State) takeAnswer(p pulling, a Answer) bool {
	if len(a.Deltas) > 0 && !s.applyDeltas(p.peer, a.Deltas) {
		return false
	}
	if a.Snapshot == nil {
		return true
	}
	if a.Snapshot.Version() != a.Version {
		s.bad(p.peer, ErrBadAnswer)
		return false
	}
	s.considerJump(p, a)
	return true
}

// afterPull keeps the peer's claim in step with what its answer showed.
func (s *State) afterPull(peer string, shown config.Version) {
	c := s.claims[peer]
	if c == nil {
		return
	}
	if shown.Newer(s.Version()) && s.jump == nil {
		s.bad(peer, ErrBadAnswer) // it names a version and does not show it
		return
	}
	if !shown.Newer(s.Version()) {
		delete(s.claims, peer)
	}
}

// pullFailed waits with full jitter before the peer is asked again, so that a
// herd that pulls from one sender spreads over time and over other senders.
func (s *State) pullFailed(peer string, err error) {
	if isBad(err) {
		s.bad(peer, err)
		return
	}
	if s.jump != nil {
		s.jump.after = s.now.Add(s.backoff(1))
	}
	c := s.claims[peer]
	if c == nil {
		return
	}
	var busy *BusyError
	if errors.As(err, &busy) {
		c.after = s.now.Add(busy.RetryAfter + s.jitter(busy.RetryAfter))
		return
	}
	c.fails++
	if c.fails >= maxPullFails {
		delete(s.claims, peer)
		return
	}
	c.after = s.now.Add(s.backoff(c.fails))
}
