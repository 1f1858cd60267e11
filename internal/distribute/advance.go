package distribute

import (
	"errors"

	"github.com/marlpass/marlpass/internal/config"
)

// applyDeltas moves the chain on by deltas that a source sent. Deltas that are
// already held are skipped, so doubled and crossed updates do no harm. It
// reports false when the source broke the rules or has another history.
func (s *State) applyDeltas(source string, ds []*config.Delta) bool {
	from := s.Version()
	ok := true
	for _, d := range ds {
		if d.To.Number <= s.Version().Number {
			if s.chain.relation(d.To) == relationOther {
				s.conflict(source, d.To)
				ok = false
				break
			}
			continue
		}
		if d.From.Number != s.Version().Number {
			break // a gap: the rest has to be pulled
		}
		if d.From != s.Version() {
			s.conflict(source, d.To)
			ok = false
			break
		}
		if err := s.chain.apply(d); err != nil {
			s.bad(source, err)
			ok = false
			break
		}
	}
	if s.Version() != from {
		s.advanced(from, source == SourcePlatform || source == s.set.Self)
	}
	return ok
}

// advanced follows every move of the chain by deltas.
func (s *State) advanced(from config.Version, origin bool) {
	s.emit(Offer{s.chain.head})
	s.planTell(from, origin)
	s.settleClaims()
}

// jumped follows the replacement of the chain by a snapshot. Peers had it
// before this node, so it is told only when it came from the platform.
func (s *State) jumped(snap *config.Snapshot, origin bool) {
	s.jump = nil
	from := s.Version()
	if !snap.Version().Newer(from) {
		return // deltas got there first
	}
	s.chain.jump(snap)
	s.emit(Offer{snap})
	if origin {
		s.planTell(from, true)
	}
	s.settleClaims()
}

// accepted takes a change that this node committed on the platform.
func (s *State) accepted(d *config.Delta) {
	if d.From.Number > s.Version().Number {
		// The platform was ahead of this node; the deltas between are there.
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

// bad reports a source whose answer did not verify and stops believing it for
// a while. A lying or broken peer could otherwise keep this node pulling from
// it, or keep a starting node from becoming ready, by claiming a version that
// it cannot show.
func (s *State) bad(source string, err error) {
	s.report(&BadPeer{Peer: source, Err: err}, source, config.Version{})
	s.discredit(source)
}

func (s *State) discredit(peer string) {
	if peer == SourcePlatform || peer == s.set.Self {
		return
	}
	delete(s.claims, peer)
	for p, until := range s.discredited {
		if until.Before(s.now) {
			delete(s.discredited, p)
		}
	}
	if len(s.discredited) < s.set.MaxPeers {
		s.discredited[peer] = s.now.Add(s.set.BanTime)
	}
}

func (s *State) believed(peer string) bool {
	until, ok := s.discredited[peer]
	return !ok || !s.now.Before(until)
}

// isBad reports whether a failed answer was the peer's own fault.
func isBad(err error) bool { return errors.Is(err, ErrBadAnswer) }
