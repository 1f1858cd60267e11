package membership

import (
	"sort"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// The version that a node holds changes on all nodes 930 times a day. As record
// updates, each of 1,200 records of 122 bytes would be sent on 16 messages of
// every node, some 25 KB/s. Messages therefore carry one bit per node: it holds
// at least the sender's version. Bits are only ever added, so messages may be
// lost, duplicated and reordered.

// heldRefreshEvery is the number of messages after which the bits of one data centre are sent
// although nothing changed, in case the last change was lost.
const heldRefreshEvery = 16

// noteHeld records that the current incarnation of e holds version v.
func (s *State) noteHeld(e *entry, v uint64) {
	if v <= e.heldVersion {
		return
	}
	e.heldVersion = v
	e.published = nil
	s.heldDirty = true
	e.centre.heldSends = s.retransmitLimit()
}

// queueHeld makes the next messages carry the holders of the version now in force at this node.
func (s *State) queueHeld() {
	for _, c := range s.centres {
		c.heldSends = s.retransmitLimit()
	}
}

// lastHeldVersion returns the highest version that a node was seen to hold, in this or an
// earlier incarnation.
func (s *State) lastHeldVersion(id string) uint64 {
	e := s.entries[id]
	if e == nil {
		return 0
	}
	return max(e.heldVersion, e.priorHeld, e.rec.AppliedVersion)
}

func (s *State) piggybackHeld(m *peerpb.Membership) {
	if s.self.AppliedVersion == 0 {
		return
	}
	s.heldMessages++
	list := s.sortedCentres()
	background := -1
	if s.heldMessages%heldRefreshEvery == 0 {
		background = int(s.heldMessages/heldRefreshEvery) % len(list)
	}
	for i, c := range list {
		if c.heldSends > 0 || i == background {
			c.heldSends = max(0, c.heldSends-1)
			m.Held = append(m.Held, s.encodeHeld(c))
		}
	}
}

// forEachMember calls f for every live node of c in key order, with nil for this node, and
// returns their number.
func (s *State) forEachMember(c *centre, f func(i int, e *entry)) int {
	members := s.sortedMembers(c)
	at := -1
	if c == s.home {
		at = sort.Search(len(members), func(i int) bool { return members[i].key > s.key })
	}
	i := 0
	for j, e := range members {
		if j == at {
			f(i, nil)
			i++
		}
		f(i, e)
		i++
	}
	if at == len(members) {
		f(i, nil)
		i++
	}
	return i
}

func (s *State) encodeHeld(c *centre) *peerpb.Held {
	h := &peerpb.Held{DataCentre: c.key, Version: s.self.AppliedVersion, Idset: c.idset}
	bits := make([]byte, (c.live+8)/8)
	set := 0
	n := s.forEachMember(c, func(i int, e *entry) {
		if e == nil || e.heldVersion >= h.Version {
			bits[i/8] |= 1 << (i % 8)
			set++
		}
	})
	if set == n {
		h.All = true
		return h
	}
	h.Bits = bits
	return h
}

func (s *State) mergeHeld(list []*peerpb.Held) {
	for _, h := range list {
		c := s.centreByKey[h.GetDataCentre()]
		if c == nil || c.idset != h.GetIdset() {
			continue // the bits refer to another set of nodes than the one known here
		}
		bits := h.GetBits()
		s.forEachMember(c, func(i int, e *entry) {
			if e != nil && (h.GetAll() || (i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0)) {
				s.noteHeld(e, h.GetVersion())
			}
		})
	}
}

// Recall is what peers remember of the version that this node held before its restart. The node
// may carry traffic once it holds at least Version.
type Recall struct {
	Version  uint64
	Asked    int
	Answered int
	// Done is set once every peer that was asked has answered or failed to.
	Done bool
}

// Recall returns the answers received so far.
func (s *State) Recall() Recall { return s.recall }

// startRecall asks the ring neighbours in both directions. They exchanged probes with the former
// process under this ID, so they saw which version it held.
func (s *State) startRecall() {
	for _, e := range s.peers() {
		m := &peerpb.Membership{Kind: peerpb.Kind_KIND_RECALL}
		id := s.send(e, m, s.cfg.RecallTimeout)
		s.recalling[id] = struct{}{}
		s.recall.Asked++
	}
	s.recall.Done = len(s.recalling) == 0
}

func (s *State) recallDone(id uint64, answered bool) {
	delete(s.recalling, id)
	if answered {
		s.recall.Answered++
	}
	s.recall.Done = len(s.recalling) == 0
}
