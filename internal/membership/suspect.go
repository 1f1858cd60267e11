package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// suspicion is kept of a node that observers could not reach.
type suspicion struct {
	since time.Time
	about stamp    // what was suspected; a newer record refutes it
	by    []uint32 // observers, at most Confirmations of them
	mine  bool     // this node raised it
}

// suspect raises a suspicion by this node's own probe.
func (s *State) suspect(e *entry) {
	if e.rec.State != VMAlive {
		return
	}
	if e.suspicion == nil || !e.suspicion.mine {
		s.stats.Suspicions++
	}
	s.hold(e, e.rec.stamp(), []uint32{uint32(s.key)})
	e.suspicion.mine = true
}

// hold starts a suspicion or adds observers to it.
func (s *State) hold(e *entry, about stamp, by []uint32) {
	if e.suspicion == nil {
		e.suspicion = &suspicion{since: s.now, about: about}
		s.suspects[e] = struct{}{}
		e.centre.suspects++
		e.centre.bridges = nil
		s.touch(e)
		s.heatClaim(e)
		s.ring()
		if slices.Contains(s.fingers, e) && !slices.Contains(s.first, e) {
			s.first = append(s.first, e) // confirm or refute it soon
		}
	}
	sp := e.suspicion
	if about.newer(sp.about) {
		sp.about = about
	}
	for _, b := range by {
		if len(sp.by) < s.cfg.Confirmations && !slices.Contains(sp.by, b) {
			sp.by = append(sp.by, b)
			s.heatClaim(e)
		}
	}
}

// clearSuspicion ends a suspicion; refuted says that the same process proved
// itself alive.
func (s *State) clearSuspicion(e *entry, refuted bool) {
	if e.suspicion == nil {
		return
	}
	if e.suspicion.mine && refuted {
		s.stats.FalseSuspicions++
	}
	e.suspicion = nil
	e.claimHot = 0
	delete(s.suspects, e)
	e.centre.suspects--
	e.centre.bridges = nil
	s.touch(e)
}

// claimed takes a claim from a peer.
func (s *State) claimed(c *peerpb.Claim, source uint64) {
	about := stamp{c.GetIncarnation(), c.GetSequence()}
	if c.GetId() == s.self.VM.ID {
		s.refute(about)
		return
	}
	e := s.entries[c.GetId()]
	if e == nil || e.dead {
		return
	}
	if e.rec.stamp().newer(about) {
		s.heat(e, 0) // the claim is refuted already: pass on the proof
		return
	}
	if len(c.GetBy()) > s.cfg.Confirmations {
		s.stats.Refused++
		return
	}
	switch {
	case !c.GetDead():
		if e.rec.State == VMAlive {
			s.hold(e, about, c.GetBy())
		}
	case e.rec.State == VMAlive && (s.now.Sub(e.ok) < s.cfg.SuspectMin || s.mostSuspected(e.centre)):
		// We just spoke with it: ask it again, which lets it refute. Or so
		// many are silent that it looks like a cut to us, if not to the
		// sender: keep it.
		s.hold(e, about, nil)
	default:
		s.declareDead(e, about)
		e.source = source
	}
}

func (s *State) encodeClaim(e *entry) *peerpb.Claim {
	if e.dead {
		return &peerpb.Claim{
			Id: e.rec.VM.ID, Incarnation: e.tombstone.incarnation, Sequence: e.tombstone.sequence, Dead: true,
		}
	}
	sp := e.suspicion
	return &peerpb.Claim{
		Id: e.rec.VM.ID, Incarnation: sp.about.incarnation, Sequence: sp.about.sequence, By: sp.by,
	}
}

// lasts is how long a suspicion waits for a refutation: the more observers,
// the shorter, and the less well we are, the longer.
func (s *State) lasts(sp *suspicion) time.Duration {
	share := math.Log(float64(len(sp.by)+1)) / math.Log(float64(s.cfg.Confirmations+1))
	span := s.cfg.SuspectMax - s.cfg.SuspectMin
	return s.patience(s.cfg.SuspectMax - time.Duration(min(share, 1)*float64(span)))
}

// checkSuspects declares dead the nodes whose suspicion ran out. Only a node's own
// data centre does so; the others take its word.
func (s *State) checkSuspects() {
	due := make([]*entry, 0, len(s.suspects))
	for e := range s.suspects {
		if e.centre == s.home && s.now.Sub(e.suspicion.since) > s.lasts(e.suspicion) {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Compare(a.key, b.key) })
	for _, e := range due {
		if !s.mayDeclareDead() {
			s.stats.DeferredDeaths++
			continue
		}
		s.stats.Deaths++
		s.declareDead(e, e.suspicion.about)
	}
}

// checkCutOff notes the data centres that are silent. The own one is cut off
// when no neighbour was heard, or when too many are suspected to declare them dead.
func (s *State) checkCutOff() {
	for _, c := range s.centres {
		since := c.heard
		cut := c.live > 0 && s.now.Sub(c.heard) > s.cfg.CutOffAfter
		if c == s.home {
			since = s.lastOK
			cut = c.live > 0 && s.now.Sub(s.lastOK) > s.cfg.CutOffAfter
			if !cut && c.suspects > 1 && s.mostSuspected(c) {
				since, cut = s.firstSuspected(), true
			}
		}
		_, was := s.cutOff[c.name]
		switch {
		case cut && !was:
			s.cutOff[c.name] = since
			s.viewDirty = true
		case !cut && was:
			delete(s.cutOff, c.name)
			s.viewDirty = true
		}
	}
	for name := range s.cutOff {
		if s.centres[name] == nil {
			delete(s.cutOff, name)
			s.viewDirty = true
		}
	}
}

// mostSuspected tells whether at least half of a data centre is suspected.
func (s *State) mostSuspected(c *centre) bool {
	known := c.live
	if c == s.home {
		known++
	}
	return c.suspects > 0 && 2*c.suspects >= known
}

// firstSuspected is when the oldest suspicion in the own data centre began.
func (s *State) firstSuspected() time.Time {
	first := s.now
	for e := range s.suspects {
		if e.centre == s.home && e.suspicion.since.Before(first) {
			first = e.suspicion.since
		}
	}
	return first
}
