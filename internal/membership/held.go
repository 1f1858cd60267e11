package membership

import (
	"sort"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// Which version each node holds changes on all nodes 930 times a day. As record
// updates, each of 1,200 records of 122 bytes would ride on 16 messages of every
// node, some 25 KB/s. So it rides on messages as one bit a node: "this
// one holds at least the version that I hold". Bits are only ever added, so
// messages may be lost, doubled and reordered.

// backgroundHeld is how often, in messages, the bits of a data centre are told
// although nothing changed, in case the last change was lost.
const backgroundHeld = 16

// noteHeld notes that this incarnation of e holds version v.
func (s *State) noteHeld(e *entry, v uint64) {
	if v <= e.held {
		return
	}
	e.held = v
	e.published = nil
	s.heldDirty = true
	e.centre.heldHot = s.spread()
}

// heatHeld has the next messages tell who holds the version now in force here.
func (s *State) heatHeld() {
	for _, c := range s.centres {
		c.heldHot = s.spread()
	}
}

// heldBy is the highest version that a node was seen to hold, in this or an
// earlier life.
func (s *State) heldBy(id string) uint64 {
	e := s.entries[id]
	if e == nil {
		return 0
	}
	return max(e.held, e.prior, e.rec.AppliedVersion)
}

func (s *State) fillHeld(m *peerpb.Membership) {
	if s.self.AppliedVersion == 0 {
		return
	}
	s.exchanges++
	list := s.sortedCentres()
	background := -1
	if s.exchanges%backgroundHeld == 0 {
		background = int(s.exchanges/backgroundHeld) % len(list)
	}
	for i, c := range list {
		if c.heldHot > 0 || i == background {
			c.heldHot = max(0, c.heldHot-1)
			m.Held = append(m.Held, s.encodeHeld(c))
		}
	}
}

// ordered calls f with every live node of c in the order of the keys; nil
// stands for this node.
func (s *State) ordered(c *centre, f func(i int, e *entry)) int {
	members := s.order(c)
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
	n := s.ordered(c, func(i int, e *entry) {
		if e == nil || e.held >= h.Version {
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

func (s *State) takeHeld(list []*peerpb.Held) {
	for _, h := range list {
		c := s.byCentre[h.GetDataCentre()]
		if c == nil || c.idset != h.GetIdset() {
			continue // the bits stand for other nodes than the ones known here
		}
		bits := h.GetBits()
		s.ordered(c, func(i int, e *entry) {
			if e != nil && (h.GetAll() || (i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0)) {
				s.noteHeld(e, h.GetVersion())
			}
		})
	}
}

// Recall is what peers remember of the version that this node held before its
// restart. It may carry traffic once it holds at least Version.
type Recall struct {
	Version  uint64
	Asked    int
	Answered int
	// Done is set when every peer asked has answered or was given up.
	Done bool
}

// Recall returns what is known so far.
func (s *State) Recall() Recall { return s.recall }

// startRecall asks the ring neighbours in both directions. They exchanged
// probes with the former process under this ID, so each saw what it held.
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
