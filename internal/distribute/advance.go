package distribute

import (
	"errors"

	"github.com/marlpass/marlpass/internal/config"
)

// applyDeltas applies the deltas of a source to the chain. Deltas already held are skipped, so
// duplicate and reordered updates are harmless. It returns false when the source sent an invalid
// delta or has another history.
func (s *State) applyDeltas(source string, ds []*config.Delta) bool {
	from := s.Version()
	ok := true
	for _, d := range ds {
		if d.To.Number <= s.Version().Number {
			if s.chain.relation(d.To) == relationOther {
				s.recordConflict(source, d.To)
				ok = false
				break
			}
			continue
		}
		if d.From.Number != s.Version().Number {
			break // a gap: the rest has to be pulled
		}
		if d.From != s.Version() {
			s.recordConflict(source, d.To)
			ok = false
			break
		}
		if err := s.chain.apply(d); err != nil {
			s.reportBadPeer(source, err)
			ok = false
			break
		}
	}
	if s.Version() != from {
		s.onDeltasApplied(from, source == SourcePlatform || source == s.set.Self)
	}
	return ok
}

// onDeltasApplied runs after every advance of the chain by deltas.
func (s *State) onDeltasApplied(from config.Version, origin bool) {
	s.emit(Offer{s.chain.head})
	s.planPush(from, origin)
	s.dropReachedClaims()
}

// applySnapshot replaces the chain by a snapshot. A snapshot from a peer is already known to other
// nodes, so only one from the platform is pushed.
func (s *State) applySnapshot(snap *config.Snapshot, origin bool) {
	s.pending = nil
	from := s.Version()
	if !snap.Version().Newer(from) {
		return // deltas arrived first
	}
	s.chain.reset(snap)
	s.emit(Offer{snap})
	if origin {
		s.planPush(from, true)
	}
	s.dropReachedClaims()
}

// accepted handles a change that this node committed on the platform.
func (s *State) accepted(d *config.Delta) {
	if d.From.Number > s.Version().Number {
		// The platform is ahead of this node: read the deltas in between.
		s.feed.head = d.To
		s.readSince(d.To)
		return
	}
	s.applyDeltas(s.set.Self, []*config.Delta{d})
}

func (s *State) offered(e Offered) {
	if e.Err == nil {
		s.inForce = max(s.inForce, e.Version.Number)
	}
}

// reportBadPeer reports a source whose answer failed verification and bans it for a while.
// Otherwise a faulty or malicious peer that claims a version it cannot supply could keep this node
// pulling from it, or keep a starting node from becoming ready.
func (s *State) reportBadPeer(source string, err error) {
	s.report(&BadPeer{Peer: source, Err: err}, source, config.Version{})
	s.ban(source)
}

func (s *State) ban(peer string) {
	if peer == SourcePlatform || peer == s.set.Self {
		return
	}
	delete(s.claims, peer)
	for p, until := range s.bannedUntil {
		if until.Before(s.now) {
			delete(s.bannedUntil, p)
		}
	}
	if len(s.bannedUntil) < s.set.MaxPeers {
		s.bannedUntil[peer] = s.now.Add(s.set.BanTime)
	}
}

func (s *State) allowed(peer string) bool {
	until, ok := s.bannedUntil[peer]
	return !ok || !s.now.Before(until)
}

// isBadAnswer reports whether a failed request was the peer's own fault.
func isBadAnswer(err error) bool { return errors.Is(err, ErrBadAnswer) }
