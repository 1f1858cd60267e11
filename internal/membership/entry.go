package membership

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// entry is all that this node keeps of another one.
type entry struct {
	key    uint64
	rec    Record
	centre *centre
	heard  time.Time // when something new was learned of it
	ok     time.Time // last direct exchange
	fail   time.Time // last direct failure

	dead      bool
	tombstone stamp // what was declared dead; only a newer record revives it
	deadAt    time.Time

	suspicion *suspicion
	leavingAt time.Time

	hot       int    // messages that still carry the record
	claimHot  int    // messages that still carry a claim about it
	order     uint64 // larger for what changed later
	pushed    stamp  // what this node has last passed on as urgent
	source    uint64 // key of the peer that the change came from
	different int    // exchanges with it in a row at which digests differed

	held  uint64 // highest version that this incarnation was seen to hold
	prior uint64 // highest version that any earlier one was seen to hold

	published *ObservedRecord // nil when the view has to be told anew
}

// centre is all that this node keeps of a data centre.
type centre struct {
	name   string
	key    uint32
	region string
	hash   uint64 // of the stamps of its live records
	idset  uint64 // of the ids and incarnations of its live records
	live   int
	heard  time.Time

	suspects int // of the live ones

	members []*entry // live, by key; nil when out of date
	bridges []*entry // nil with members

	starts     int // new incarnations seen in it
	startsTold int // those at home that an exchange with it has told of

	heldHot  int
	nextTalk time.Time
	failures int // exchanges with it that failed in a row
}

func (s *State) centreOf(name, region string) *centre {
	c := s.centres[name]
	if c == nil {
		c = &centre{name: name, key: shortKey(name), region: region, heard: s.now}
		s.centres[name] = c
		s.byCentre[c.key] = c
		s.meet(name)
	}
	return c
}

// link and unlink keep what is derived from live records: digests and rings.
func (s *State) link(e *entry) {
	c := s.centreOf(e.rec.VM.DataCentre, e.rec.VM.Region)
	e.centre = c
	c.hash ^= hashStamp(e.key, e.rec.stamp())
	c.idset ^= hashStamp(e.key, stamp{e.rec.VM.Incarnation, 0})
	c.live++
	s.live++
	s.reorder(c)
	s.touch(e)
}

func (s *State) unlink(e *entry) {
	c := e.centre
	c.hash ^= hashStamp(e.key, e.rec.stamp())
	c.idset ^= hashStamp(e.key, stamp{e.rec.VM.Incarnation, 0})
	c.live--
	s.live--
	s.reorder(c)
}

// reorder drops what was derived from the members of a data centre.
func (s *State) reorder(c *centre) {
	c.members, c.bridges = nil, nil
	if c == s.home {
		s.ringCache = nil
	}
}

// touch marks that the view is out of date in e.
func (s *State) touch(e *entry) {
	e.published = nil
	s.viewDirty = true
}

// accept takes a record from a peer. It reports whether it was news.
func (s *State) accept(p *peerpb.Record, source uint64) bool {
	if !s.cfg.Limits.allowed(p) {
		s.stats.Refused++
		return false
	}
	if p.GetId() == s.self.VM.ID {
		s.acceptOwn(p)
		return false
	}
	st := stamp{p.GetIncarnation(), p.GetSequence()}
	e := s.entries[p.GetId()]
	switch {
	case e == nil:
		if len(s.entries) >= s.cfg.Limits.Records {
			s.stats.Refused++
			return false
		}
		e = &entry{key: keyOf(p.GetId())}
		s.entries[p.GetId()] = e
		s.byKey[e.key] = e
	case e.dead:
		if !st.newer(e.tombstone) {
			s.answerDead(e)
			return false
		}
		e.dead = false
	case !st.newer(e.rec.stamp()):
		return false
	default:
		s.unlink(e)
	}
	s.replace(e, decodeRecord(p))
	s.heat(e, source)
	return true
}

// replace puts a newer record of a node in force.
func (s *State) replace(e *entry, r Record) {
	if r.VM.Incarnation != e.rec.VM.Incarnation {
		e.prior = max(e.prior, e.held)
		e.held = 0
	}
	if sp := e.suspicion; sp != nil && (r.stamp().newer(sp.about) || r.VM.DataCentre != e.rec.VM.DataCentre) {
		s.clearSuspicion(e, r.VM.Incarnation == sp.about.incarnation)
	}
	if r.State == VMLeaving {
		e.leavingAt = s.now
		s.clearSuspicion(e, false)
	}
	e.held = max(e.held, r.AppliedVersion)
	started := r.VM.Incarnation != e.rec.VM.Incarnation
	e.rec = r
	e.heard = s.now
	s.link(e)
	if started {
		e.centre.starts++
	}
}

// heat makes a changed record ride on the next messages.
func (s *State) heat(e *entry, source uint64) {
	s.changes++
	e.order = s.changes
	e.source = source
	e.hot = s.spread()
	s.hot[e] = struct{}{}
}

// heatClaim does the same for the claims about a node.
func (s *State) heatClaim(e *entry) {
	s.changes++
	e.order = s.changes
	e.claimHot = s.spread()
	s.hot[e] = struct{}{}
}

// declareDead takes a node for dead.
func (s *State) declareDead(e *entry, about stamp) {
	s.unlink(e)
	s.clearSuspicion(e, false)
	if e.rec.stamp().newer(about) {
		about = e.rec.stamp()
	}
	e.dead, e.tombstone, e.deadAt = true, about, s.now
	e.hot = 0
	s.touch(e)
	s.heatClaim(e)
}

// answerDead has the next message of this exchange say that e is dead, so
// that the sender drops it, or, being its owner, comes back with a new record.
func (s *State) answerDead(e *entry) {
	if !slices.Contains(s.tell, e) {
		s.tell = append(s.tell, e)
	}
}

// expire drops what is kept for a time only.
func (s *State) expire() {
	for id, e := range s.entries {
		switch {
		case e.dead && s.now.Sub(e.deadAt) > s.cfg.TombstoneRetention:
			delete(s.entries, id)
			delete(s.byKey, e.key)
			delete(s.hot, e)
		case e.dead:
		case e.rec.State == VMLeaving && s.now.Sub(e.leavingAt) > s.cfg.LeavingRetention:
			s.declareDead(e, e.rec.stamp())
			e.claimHot = 0
		case e.centre != s.home && s.now.Sub(e.centre.heard) > s.cfg.ForgetAfter:
			s.declareDead(e, e.rec.stamp())
			e.claimHot = 0
		}
	}
	for name, c := range s.centres {
		if c.live == 0 && c != s.home && s.now.Sub(c.heard) > s.cfg.TombstoneRetention {
			delete(s.centres, name)
			delete(s.byCentre, c.key)
		}
	}
}
