package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// suspicion is the state of a node that observers could not reach.
type suspicion struct {
	since      time.Time
	about      stamp    // the suspected stamp; a newer record refutes it
	observers  []uint32 // keys of the observers, at most Confirmations
	raisedHere bool     // this node raised it
}

// suspect raises a suspicion after a failed probe by this node.
func (s *State) suspect(e *entry) {
	if e.rec.State != VMAlive {
		return
	}
	if e.suspicion == nil || !e.suspicion.raisedHere {
		s.stats.Suspicions++
	}
	s.addSuspicion(e, e.rec.stamp(), []uint32{uint32(s.key)})
	e.suspicion.raisedHere = true
}

// addSuspicion starts a suspicion or adds observers to it.
func (s *State) addSuspicion(e *entry, about stamp, by []uint32) {
	if e.suspicion == nil {
		e.suspicion = &suspicion{since: s.now, about: about}
		s.suspects[e] = struct{}{}
		e.centre.suspects++
		e.centre.bridges = nil
		s.invalidateView(e)
		s.queueClaim(e)
		s.ring()
		if slices.Contains(s.probeTargets, e) && !slices.Contains(s.priorityProbes, e) {
			s.priorityProbes = append(s.priorityProbes, e) // confirm or refute it soon
		}
	}
	sp := e.suspicion
	if about.newer(sp.about) {
		sp.about = about
	}
	for _, b := range by {
		if len(sp.observers) < s.cfg.Confirmations && !slices.Contains(sp.observers, b) {
			sp.observers = append(sp.observers, b)
			s.queueClaim(e)
		}
	}
}

// clearSuspicion ends a suspicion; refuted means that the same process proved to be alive.
func (s *State) clearSuspicion(e *entry, refuted bool) {
	if e.suspicion == nil {
		return
	}
	if e.suspicion.raisedHere && refuted {
		s.stats.FalseSuspicions++
	}
	e.suspicion = nil
	e.claimSends = 0
	delete(s.suspects, e)
	e.centre.suspects--
	e.centre.bridges = nil
	s.invalidateView(e)
}

// acceptClaim handles a claim from a peer that a node is suspected or dead.
func (s *State) acceptClaim(c *peerpb.Claim, source uint64) {
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
		s.queueRecord(e, 0) // already refuted: send the newer record on
		return
	}
	if len(c.GetBy()) > s.cfg.Confirmations {
		s.stats.Refused++
		return
	}
	switch {
	case !c.GetDead():
		if e.rec.State == VMAlive {
			s.addSuspicion(e, about, c.GetBy())
		}
	case e.rec.State == VMAlive && (s.now.Sub(e.lastExchange) < s.cfg.SuspectMin || s.halfSuspected(e.centre)):
		// Either this node reached it recently, and a new suspicion gives it
		// the chance to refute. Or so many nodes are silent that this node
		// sees a partition, unlike the sender, and keeps the record.
		s.addSuspicion(e, about, nil)
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
		Id: e.rec.VM.ID, Incarnation: sp.about.incarnation, Sequence: sp.about.sequence, By: sp.observers,
	}
}

// suspicionTimeout returns how long a suspicion waits for a refutation: shorter with more
// observers, longer while this node is unhealthy.
func (s *State) suspicionTimeout(sp *suspicion) time.Duration {
	share := math.Log(float64(len(sp.observers)+1)) / math.Log(float64(s.cfg.Confirmations+1))
	span := s.cfg.SuspectMax - s.cfg.SuspectMin
	return s.scaleTimeout(s.cfg.SuspectMax - time.Duration(min(share, 1)*float64(span)))
}

// expireSuspicions declares nodes dead whose suspicion timed out. This is done only within a
// node's own data centre; the others accept its claims.
func (s *State) expireSuspicions() {
	due := make([]*entry, 0, len(s.suspects))
	for e := range s.suspects {
		if e.centre == s.home && s.now.Sub(e.suspicion.since) > s.suspicionTimeout(e.suspicion) {
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

// checkCutOff updates the data centres that are cut off because they are silent. The home data
// centre is cut off if no neighbour has answered, or if too many nodes are suspected to declare
// them dead.
func (s *State) checkCutOff() {
	for _, c := range s.centres {
		since := c.lastHeard
		cut := c.live > 0 && s.now.Sub(c.lastHeard) > s.cfg.CutOffAfter
		if c == s.home {
			since = s.lastExchange
			cut = c.live > 0 && s.now.Sub(s.lastExchange) > s.cfg.CutOffAfter
			if !cut && c.suspects > 1 && s.halfSuspected(c) {
				since, cut = s.oldestSuspicion(), true
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

// halfSuspected reports whether at least half of a data centre is suspected.
func (s *State) halfSuspected(c *centre) bool {
	known := c.live
	if c == s.home {
		known++
	}
	return c.suspects > 0 && 2*c.suspects >= known
}

// oldestSuspicion returns the start of the oldest suspicion in the home data centre.
func (s *State) oldestSuspicion() time.Time {
	first := s.now
	for e := range s.suspects {
		if e.centre == s.home && e.suspicion.since.Before(first) {
			first = e.suspicion.since
		}
	}
	return first
}
