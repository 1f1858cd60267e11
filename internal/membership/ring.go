package membership

import (
	"cmp"
	"slices"
	"sort"

	"github.com/dgryski/go-rendezvous"
)

// order returns the live entries of a data centre by key, without this node.
func (s *State) order(c *centre) []*entry {
	if c.members != nil {
		return c.members
	}
	c.members = make([]*entry, 0, c.live)
	for _, e := range s.entries {
		if !e.dead && e.centre == c {
			c.members = append(c.members, e)
		}
	}
	slices.SortFunc(c.members, func(a, b *entry) int { return cmp.Compare(a.key, b.key) })
	return c.members
}

// neighbours returns the nodes at distances 1, 2, 4 and so on from the node
// with this key in the ring of the own data centre, onwards or backwards. This
// node itself may be among them as nil.
//
// A node probes its neighbours onwards and is probed by those backwards. So it
// keeps connections to 2·log2(n) peers, each node has log2(n) observers, and a
// rumour crosses the ring in log2(n) steps.
func (s *State) neighbours(key uint64, backwards bool) []*entry {
	ring := s.ring()
	n := len(ring)
	at, found := slices.BinarySearchFunc(ring, key, func(e *entry, k uint64) int { return cmp.Compare(s.keyOf(e), k) })
	if !found || n < 2 {
		return nil
	}
	var out []*entry
	for d := 1; d < n; d *= 2 {
		i := at + d
		if backwards {
			i = at - d + n
		}
		out = append(out, ring[i%n])
	}
	return out
}

func (s *State) keyOf(e *entry) uint64 {
	if e == nil {
		return s.key
	}
	return e.key
}

// ring is the own data centre by key; nil stands for this node. Leaving nodes
// are not in it.
func (s *State) ring() []*entry {
	if s.ringCache != nil {
		return s.ringCache
	}
	members := s.order(s.home)
	ring := make([]*entry, 0, len(members)+1)
	for _, e := range members {
		if e.rec.State == VMAlive {
			ring = append(ring, e)
		}
	}
	at := sort.Search(len(ring), func(i int) bool { return ring[i].key > s.key })
	s.ringCache = slices.Insert(ring, at, nil)
	s.fingers = s.neighbours(s.key, false)
	s.observers = s.neighbours(s.key, true)
	return s.ringCache
}

// peers returns the ring neighbours in both directions that are not suspected.
func (s *State) peers() []*entry {
	s.ring()
	var out []*entry
	for _, e := range slices.Concat(s.fingers, s.observers) {
		if e != nil && e.suspicion == nil && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// chosen returns the n nodes of a data centre that rendezvous hashing picks
// as bridges; nil stands for this node. Views differ for a while after a
// change, so there may be more bridges than n for that while, or one that is
// gone: the work is harmless when doubled.
func (s *State) chosen(c *centre, n int) []*entry {
	var ids []string
	for _, e := range s.order(c) {
		if e.suspicion == nil && e.rec.State == VMAlive {
			ids = append(ids, e.rec.VM.ID)
		}
	}
	if c == s.home && s.self.State == VMAlive {
		ids = append(ids, s.self.VM.ID)
	}
	slices.Sort(ids)
	var out []*entry
	for range min(n, len(ids)) {
		id := rendezvous.New(ids, keyOf).Lookup("bridge")
		// The library's Remove panics, so the table is made anew.
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
		out = append(out, s.entries[id])
	}
	return out
}

// bridgesOf returns the bridges of a data centre.
func (s *State) bridgesOf(c *centre) []*entry {
	if c.bridges == nil {
		c.bridges = s.chosen(c, s.cfg.Bridges)
	}
	return c.bridges
}

func (s *State) amBridge() bool { return slices.Contains(s.bridgesOf(s.home), nil) }

// ShouldWriteContact tells whether this node should write its row of contacts: only a
// few nodes of each data centre, its bridges, do.
func (s *State) ShouldWriteContact() bool { return s.joined && s.amBridge() }

// shuffled returns up to n of list in random order.
func shuffled[T any](s *State, list []T, n int) []T {
	out := slices.Clone(list)
	s.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
