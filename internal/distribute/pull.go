package distribute

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// claim is a newer version that a peer reports holding.
type claim struct {
	version  config.Version
	nextAt   time.Time // earliest time of the next pull
	failures int
}

// activePull is the one pull in flight.
type activePull struct {
	peer    string // empty when there is none
	version config.Version
	held    config.Version
}

// maxPullFailures is the number of failed pulls in a row after which a peer's claim is dropped.
const maxPullFailures = 4

// versionReceived handles the version that a peer's message carried.
func (s *State) versionReceived(e VersionReceived) {
	if !s.allowed(e.Peer) {
		return
	}
	s.recordPeerVersion(e.Peer, e.InForce)
	if len(e.Deltas) > 0 && !s.applyDeltas(e.Peer, e.Deltas) {
		return
	}
	s.RecordMessage(s.now, e)
	s.recordWitness(e.Peer, e.Version)
	if !e.Version.Newer(s.Version()) {
		delete(s.claims, e.Peer)
		if s.chain.relation(e.Version) == relationOther {
			s.recordConflict(e.Peer, e.Version)
		}
		return
	}
	s.claim(e)
}

// claim records a peer's newer version and when to pull it.
func (s *State) claim(e VersionReceived) {
	c := s.claims[e.Peer]
	if c != nil && c.version == e.Version && !e.Pushed {
		return
	}
	if c == nil && len(s.claims) >= s.set.MaxClaims {
		return // a peer already listed has it too, or a later message repeats it
	}
	nextAt := s.now
	if !e.Pushed && s.Version().Number > 0 {
		d := s.set.Profile.PullDelay
		nextAt = nextAt.Add(d/2 + s.jitter(d/2))
	}
	s.claims[e.Peer] = &claim{version: e.Version, nextAt: nextAt}
}

// recordPeerVersion keeps the highest version seen in force at a peer. A node that restarts, and
// has lost its state, queries it.
func (s *State) recordPeerVersion(peer string, inForce uint64) {
	if inForce <= s.peerInForce[peer] {
		return
	}
	if _, known := s.peerInForce[peer]; !known && len(s.peerInForce) >= s.set.MaxPeers {
		s.pruneNonMembers()
		if len(s.peerInForce) >= s.set.MaxPeers {
			return
		}
	}
	s.peerInForce[peer] = inForce
}

// pruneNonMembers removes peers that left the membership.
func (s *State) pruneNonMembers() {
	for p := range s.peerInForce {
		if s.view == nil || s.view.Records[p] == nil {
			delete(s.peerInForce, p)
		}
	}
}

// dropReachedClaims drops the claims that the chain has reached.
func (s *State) dropReachedClaims() {
	for _, p := range sortedKeys(s.claims) {
		c := s.claims[p]
		if c.version.Newer(s.Version()) {
			continue
		}
		delete(s.claims, p)
		if s.chain.relation(c.version) == relationOther {
			s.recordConflict(p, c.version)
		}
	}
}

// schedulePull starts a pull if one is due and none is in flight.
func (s *State) schedulePull() {
	if s.pull.peer != "" || s.pending != nil || len(s.claims) == 0 {
		return
	}
	if peer := s.chooseClaim(); peer != "" {
		s.startPull(peer, s.Version())
	}
}

func (s *State) startPull(peer string, v config.Version) {
	s.pull = activePull{peer: peer, version: v, held: s.Version()}
	s.emit(Pull{Peer: peer, Version: v, Held: s.Version()})
}

// chooseClaim picks the peer to pull from: one with the highest version, since deltas verify
// themselves. A node that holds nothing gets a snapshot, which does not prove its descent, so it
// prefers the version that most peers report.
func (s *State) chooseClaim() string {
	votes := make(map[config.Version]int)
	var peers []string
	for p, c := range s.claims {
		votes[c.version]++
		if !s.now.Before(c.nextAt) {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	slices.Sort(peers) // makes the choice independent of map order
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

// pulled handles the outcome of the pull in flight.
func (s *State) pulled(e Pulled) {
	if e.Peer != s.pull.peer {
		return
	}
	p := s.pull
	s.pull = activePull{}
	if e.Err != nil {
		s.pullFailed(p.peer, e.Err)
		return
	}
	a := e.Answer
	if s.pending != nil && s.pending.snapshot.Version() == p.version {
		s.recordWitnessAnswer(p, a)
		return
	}
	if a.OtherHistory {
		s.recordConflict(p.peer, a.Version)
		s.ban(p.peer)
		return
	}
	if !s.applyAnswer(p, a) {
		return
	}
	s.updateClaim(p.peer, a.Version)
}

// applyAnswer applies the changes of an answer. It reports whether they were valid.
func (s *State) applyAnswer(p activePull, a Answer) bool {
	if len(a.Deltas) > 0 && !s.applyDeltas(p.peer, a.Deltas) {
		return false
	}
	if a.Snapshot == nil {
		return true
	}
	if a.Snapshot.Version() != a.Version {
		s.reportBadPeer(p.peer, ErrBadAnswer)
		return false
	}
	s.receiveSnapshot(p, a)
	return true
}

// updateClaim updates the peer's claim from the version in its answer.
func (s *State) updateClaim(peer string, shown config.Version) {
	c := s.claims[peer]
	if c == nil {
		return
	}
	if shown.Newer(s.Version()) && s.pending == nil {
		s.reportBadPeer(peer, ErrBadAnswer) // it claims a version without supplying it
		return
	}
	if !shown.Newer(s.Version()) {
		delete(s.claims, peer)
	}
}

// pullFailed schedules a retry with full jitter, so that many nodes pulling from one sender spread
// over time and over other senders.
func (s *State) pullFailed(peer string, err error) {
	if isBadAnswer(err) {
		s.reportBadPeer(peer, err)
		return
	}
	if s.pending != nil {
		s.pending.nextAt = s.now.Add(s.backoff(1))
	}
	c := s.claims[peer]
	if c == nil {
		return
	}
	var busy *BusyError
	if errors.As(err, &busy) {
		c.nextAt = s.now.Add(busy.RetryAfter + s.jitter(busy.RetryAfter))
		return
	}
	c.failures++
	if c.failures >= maxPullFailures {
		delete(s.claims, peer)
		return
	}
	c.nextAt = s.now.Add(s.backoff(c.failures))
}
