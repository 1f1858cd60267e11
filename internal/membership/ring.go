package membership

import (
	"cmp"
	"slices"
	"sort"

	"github.com/dgryski/go-rendezvous"
)

// sortedMembers returns the live entries of a data centre ordered by key, without this node.
func (s *State) sortedMembers(c *centre) []*entry {
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

// neighbours returns the nodes at distances 1, 2, 4 and so on from the node with this key in the
// ring of the home data centre, forwards or backwards. This node itself may be among them as
// nil.
//
// A node probes its neighbours forwards and is probed by those backwards. So it keeps
// connections to 2·log2(n) peers, each node has log2(n) observers, and a change crosses the ring
// in log2(n) steps.
func (s *State) neighbours(key uint64, backwards bool) []*entry {
	ring := s.ring()
	n := len(ring)
	self, found := slices.BinarySearchFunc(ring, key, func(e *entry, k uint64) int { return cmp.Compare(s.keyOf(e), k) })
	if !found || n < 2 {
		return nil
	}
	var out []*entry
	for d := 1; d < n; d *= 2 {
		i := self + d
		if backwards {
			i = self - d + n
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

// ring returns the nodes of the home data centre ordered by key, with nil for this node and
// without leaving nodes.
func (s *State) ring() []*entry {
	if s.ringCache != nil {
		return s.ringCache
	}
	members := s.sortedMembers(s.home)
	ring := make([]*entry, 0, len(members)+1)
	for _, e := range members {
		if e.rec.State == VMAlive {
			ring = append(ring, e)
		}
	}
	at := sort.Search(len(ring), func(i int) bool { return ring[i].key > s.key })
	s.ringCache = slices.Insert(ring, at, nil)
	s.probeTargets = s.neighbours(s.key, false)
	s.observers = s.neighbours(s.key, true)
	return s.ringCache
}

// peers returns the ring neighbours in both directions that are not suspected.
func (s *State) peers() []*entry {
	s.ring()
	var out []*entry
	for _, e := range slices.Concat(s.probeTargets, s.observers) {
		if e != nil && e.suspicion == nil && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// selectBridges returns up to n nodes of a data centre, chosen as bridges by rendezvous hashing;
// nil stands for this node. Views differ for a while after a change, so there may be more than n
// bridges, or a bridge that is gone: the work is harmless if done twice.
func (s *State) selectBridges(c *centre, n int) []*entry {
	var ids []string
	for _, e := range s.sortedMembers(c) {
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
		// The library's Remove panics, so the table is rebuilt.
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
		out = append(out, s.entries[id])
	}
	return out
}

// bridgesOf returns the bridges of a data centre: the nodes that exchange gossip with other data
// centres.
func (s *State) bridgesOf(c *centre) []*entry {
	if c.bridges == nil {
		c.bridges = s.selectBridges(c, s.cfg.Bridges)
	}
	return c.bridges
}

func (s *State) isBridge() bool { return slices.Contains(s.bridgesOf(s.home), nil) }

// ShouldWriteContact reports whether this node should write its contact row. Only the bridges of
// each data centre do.
func (s *State) ShouldWriteContact() bool { return s.joined && s.isBridge() }

// shuffled returns up to n elements of list in random order.
func shuffled[T any](s *State, list []T, n int) []T {
	out := slices.Clone(list)
	s.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
