package membership

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// entry is the state that this node keeps of another node.
type entry struct {
	key          uint64
	rec          Record
	centre       *centre
	updatedAt    time.Time // last newer record
	lastExchange time.Time // last successful direct exchange
	lastFailure  time.Time // last failed request to it

	dead      bool
	tombstone stamp // the stamp declared dead; only a newer record revives the node
	deadAt    time.Time

	suspicion *suspicion
	leavingAt time.Time

	recordSends  int    // remaining messages to carry the record
	claimSends   int    // remaining messages to carry the claim about it
	changeNumber uint64 // larger for later changes
	pushedStamp  stamp  // last record that this node pushed on
	source       uint64 // key of the peer that the change came from
	differing    int    // consecutive exchanges in which digests differed

	heldVersion uint64 // highest version that this incarnation was seen to hold
	priorHeld   uint64 // highest version that any earlier one was seen to hold

	published *ObservedRecord // cached for the view; nil when out of date
}

// centre is the state that this node keeps of a data centre.
type centre struct {
	name      string
	key       uint32
	region    string
	hash      uint64 // of the stamps of its live records
	idset     uint64 // of the ids and incarnations of its live records
	live      int
	lastHeard time.Time

	suspects int // of the live ones

	members []*entry // live, ordered by key; nil when out of date
	bridges []*entry // nil when out of date

	startsSeen     int // new incarnations observed in it
	startsReported int // startsSeen of the home data centre at the last exchange with it

	heldSends    int
	nextExchange time.Time
	failures     int // consecutive failed exchanges with it
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

// addLive and removeLive maintain what is derived from live records: digests, counts and member
// lists.
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

// invalidateMembers drops what is derived from the members of a data centre.
func (s *State) invalidateMembers(c *centre) {
	c.members, c.bridges = nil, nil
	if c == s.home {
		s.ringCache = nil
	}
}

// invalidateView marks the view as out of date in e.
func (s *State) invalidateView(e *entry) {
	e.published = nil
	s.viewDirty = true
}

// accept merges a record from a peer. It reports whether the record was newer than the known
// one.
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

// replaceRecord replaces the record of a node by a newer one.
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

// queueRecord queues a changed record for the next messages.
func (s *State) queueRecord(e *entry, source uint64) {
	s.changeCount++
	e.changeNumber = s.changeCount
	e.source = source
	e.recordSends = s.retransmitLimit()
	s.queued[e] = struct{}{}
}

// queueClaim queues the claim about a node for the next messages.
func (s *State) queueClaim(e *entry) {
	s.changeCount++
	e.changeNumber = s.changeCount
	e.claimSends = s.retransmitLimit()
	s.queued[e] = struct{}{}
}

// declareDead replaces a node's record by a tombstone and queues the claim.
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

// queueDeadReply adds a death claim for e to the next message of this exchange, so that the peer
// drops e, or, if it is e itself, publishes a higher record.
func (s *State) queueDeadReply(e *entry) {
	if !slices.Contains(s.deadReplies, e) {
		s.deadReplies = append(s.deadReplies, e)
	}
}

// expire drops tombstones, leaving nodes, records of data centres silent for ForgetAfter, and
// empty data centres when their time is over.
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
