package membership

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// entry is all that this node keeps of another one.
type entry struct {
	key          uint64
	rec          Record
	centre       *centre
	updatedAt    time.Time // when something new was learned of it
	lastExchange time.Time // last direct exchange
	lastFailure  time.Time // last direct failure

	dead      bool
	tombstone stamp // what was declared dead; only a newer record revives it
	deadAt    time.Time

	suspicion *suspicion
	leavingAt time.Time

	recordSends  int    // messages that still carry the record
	claimSends   int    // messages that still carry a claim about it
	changeNumber uint64 // larger for what changed later
	pushedStamp  stamp  // what this node has last passed on as urgent
	source       uint64 // key of the peer that the change came from
	differing    int    // exchanges with it in a row at which digests differed

	heldVersion uint64 // highest version that this incarnation was seen to hold
	priorHeld   uint64 // highest version that any earlier one was seen to hold

	published *ObservedRecord // nil when the view has to be told anew
}

// centre is all that this node keeps of a data centre.
type centre struct {
	name      string
	key       uint32
	region    string
	hash      uint64 // of the stamps of its live records
	idset     uint64 // of the ids and incarnations of its live records
	live      int
	lastHeard time.Time

	suspects int // of the live ones

	members []*entry // live, by key; nil when out of date
	bridges []*entry // nil with members

	startsSeen     int // new incarnations seen in it
	startsReported int // those at home that an exchange with it has told of

	heldSends    int
	nextExchange time.Time
	failures     int // exchanges with it that failed in a row
}

func (s *State) centreOf(name, region string) *centre {
	c := s.centres[name]
	if c == nil {
		c = &centre{name: name, key: centreKeyOf(name), region: region, lastHeard: s.now}
		s.centres[name] = c
		s.centreByKey[c.key] = c
		s.noteCentre(name)
	}
	return c
}

// addLive and unlink keep what is derived from live records: digests and rings.
func (s *State) addLive(e *entry) {
	c := s.centreOf(e.rec.VM.DataCentre, e.rec.VM.Region)
	e.centre = c
	c.hash ^= hashStamp(e.key, e.rec.stamp())
	c.idset ^= hashStamp(e.key, stamp{e.rec.VM.Incarnation, 0})
	c.live++
	s.live++
	s.invalidateMembers(c)
	s.invalidateView(e)
}

func (s *State) removeLive(e *entry) {
	c := e.centre
	c.hash ^= hashStamp(e.key, e.rec.stamp())
	c.idset ^= hashStamp(e.key, stamp{e.rec.VM.Incarnation, 0})
	c.live--
	s.live--
	s.invalidateMembers(c)
}

// invalidateMembers drops what was derived from the members of a data centre.
func (s *State) invalidateMembers(c *centre) {
	c.members, c.bridges = nil, nil
	if c == s.home {
		s.ringCache = nil
	}
}

// invalidateView marks that the view is out of date in e.
func (s *State) invalidateView(e *entry) {
	e.published = nil
	s.viewDirty = true
}

// accept takes a record from a peer. It reports whether it was news.
func (s *State) accept(p *peerpb.Record, source uint64) bool {
	if !s.cfg.Limits.validRecord(p) {
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
			s.queueDeadReply(e)
			return false
		}
		e.dead = false
	case !st.newer(e.rec.stamp()):
		return false
	default:
		s.removeLive(e)
	}
	s.replaceRecord(e, decodeRecord(p))
	s.queueRecord(e, source)
	return true
}

// replaceRecord puts a newer record of a node in force.
func (s *State) replaceRecord(e *entry, r Record) {
	if r.VM.Incarnation != e.rec.VM.Incarnation {
		e.priorHeld = max(e.priorHeld, e.heldVersion)
		e.heldVersion = 0
	}
	if sp := e.suspicion; sp != nil && (r.stamp().newer(sp.about) || r.VM.DataCentre != e.rec.VM.DataCentre) {
		s.clearSuspicion(e, r.VM.Incarnation == sp.about.incarnation)
	}
	if r.State == VMLeaving {
		e.leavingAt = s.now
		s.clearSuspicion(e, false)
	}
	e.heldVersion = max(e.heldVersion, r.AppliedVersion)
	started := r.VM.Incarnation != e.rec.VM.Incarnation
	e.rec = r
	e.updatedAt = s.now
	s.addLive(e)
	if started {
		e.centre.startsSeen++
	}
}

// queueRecord makes a changed record ride on the next messages.
func (s *State) queueRecord(e *entry, source uint64) {
	s.changeCount++
	e.changeNumber = s.changeCount
	e.source = source
	e.recordSends = s.retransmitLimit()
	s.queued[e] = struct{}{}
}

// queueClaim does the same for the claims about a node.
func (s *State) queueClaim(e *entry) {
	s.changeCount++
	e.changeNumber = s.changeCount
	e.claimSends = s.retransmitLimit()
	s.queued[e] = struct{}{}
}

// declareDead takes a node for dead.
func (s *State) declareDead(e *entry, about stamp) {
	s.removeLive(e)
	s.clearSuspicion(e, false)
	if e.rec.stamp().newer(about) {
		about = e.rec.stamp()
	}
	e.dead, e.tombstone, e.deadAt = true, about, s.now
	e.recordSends = 0
	s.invalidateView(e)
	s.queueClaim(e)
}

// queueDeadReply has the next message of this exchange say that e is dead, so
// that the sender drops it, or, being its owner, comes back with a new record.
func (s *State) queueDeadReply(e *entry) {
	if !slices.Contains(s.deadReplies, e) {
		s.deadReplies = append(s.deadReplies, e)
	}
}

// expire drops what is kept for a time only.
func (s *State) expire() {
	for id, e := range s.entries {
		switch {
		case e.dead && s.now.Sub(e.deadAt) > s.cfg.TombstoneRetention:
			delete(s.entries, id)
			delete(s.byKey, e.key)
			delete(s.queued, e)
		case e.dead:
		case e.rec.State == VMLeaving && s.now.Sub(e.leavingAt) > s.cfg.LeavingRetention:
			s.declareDead(e, e.rec.stamp())
			e.claimSends = 0
		case e.centre != s.home && s.now.Sub(e.centre.lastHeard) > s.cfg.ForgetAfter:
			s.declareDead(e, e.rec.stamp())
			e.claimSends = 0
		}
	}
	for name, c := range s.centres {
		if c.live == 0 && c != s.home && s.now.Sub(c.lastHeard) > s.cfg.TombstoneRetention {
			delete(s.centres, name)
			delete(s.centreByKey, c.key)
		}
	}
}
