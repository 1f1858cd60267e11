package distribute

import (
	"cmp"
	"slices"

	"github.com/marlpass/marlpass/internal/config"
)

// relation is how a version relates to the chain held.
type relation uint8

const (
	relationUnknown relation = iota // newer, or older than the ancestors kept
	relationHeld                    // in the chain
	relationOther                   // same number, other hash
)

// chain is the newest verified snapshot and a bounded list of the deltas that led to it.
type chain struct {
	head         *config.Snapshot
	deltas       []*config.Delta // oldest first; the last one leads to head
	bytes        int
	ancestors    []config.Version // known ancestors of head, oldest first, gaps allowed
	maxCount     int
	maxBytes     int
	maxAncestors int
}

func newChain(maxCount, maxBytes int) *chain {
	return &chain{head: config.Empty(), maxCount: maxCount, maxBytes: maxBytes, maxAncestors: maxAncestors}
}

func (c *chain) version() config.Version { return c.head.Version() }

// apply advances the chain by one verified delta.
func (c *chain) apply(d *config.Delta) error {
	next, err := d.Apply(c.head)
	if err != nil {
		return err
	}
	c.addAncestor(c.version())
	c.head = next
	c.deltas = append(c.deltas, d)
	c.bytes += deltaSize(d)
	c.trim()
	return nil
}

// trim drops the oldest deltas that exceed the bounds. It copies the rest, because since returns
// parts of the slice.
func (c *chain) trim() {
	n := 0
	for len(c.deltas)-n > c.maxCount || (c.bytes > c.maxBytes && n < len(c.deltas)) {
		c.bytes -= deltaSize(c.deltas[n])
		n++
	}
	if n > 0 {
		c.deltas = slices.Clone(c.deltas[n:])
	}
}

// reset replaces the chain by a snapshot that is known to descend from the head, without the deltas
// in between.
func (c *chain) reset(s *config.Snapshot) {
	c.addAncestor(c.version())
	if v := s.Version(); v.Number > c.version().Number+1 {
		c.addAncestor(config.Version{Number: v.Number - 1, Hash: s.Parent()})
	}
	c.head, c.deltas, c.bytes = s, nil, 0
}

// maxAncestors bounds the ancestors kept by number and hash: 160 KB, or four days at 930 changes a
// day. They outlast the deltas, so that a node partitioned for longer than the deltas reach back
// can still learn that its version is in the history.
const maxAncestors = 4096

func (c *chain) addAncestor(v config.Version) {
	if v.Number == 0 {
		return
	}
	if len(c.ancestors) >= c.maxAncestors {
		c.ancestors = slices.Delete(c.ancestors, 0, len(c.ancestors)-c.maxAncestors+1)
	}
	c.ancestors = append(c.ancestors, v)
}

// relation compares v with every version that the chain still has a hash for.
func (c *chain) relation(v config.Version) relation {
	if v.Number == 0 {
		return relationHeld // every history starts with the empty snapshot
	}
	known, ok := c.hashAt(v.Number)
	switch {
	case !ok:
		return relationUnknown
	case known == v.Hash:
		return relationHeld
	}
	return relationOther
}

// hashAt returns the hash of version number n, if it is still known.
func (c *chain) hashAt(n uint64) (config.Hash, bool) {
	head := c.version()
	if n == head.Number {
		return head.Hash, true
	}
	if n+1 == head.Number {
		return c.head.Parent(), true
	}
	i, ok := slices.BinarySearchFunc(c.ancestors, n, func(v config.Version, n uint64) int {
		return cmp.Compare(v.Number, n)
	})
	if !ok {
		return config.Hash{}, false
	}
	return c.ancestors[i].Hash, true
}

// since returns the deltas from v to the head, or false when they are no longer kept. Callers must
// not change the slice.
func (c *chain) since(v config.Version) ([]*config.Delta, bool) {
	head := c.version()
	if v == head {
		return nil, true
	}
	n := head.Number - v.Number
	if v.Number > head.Number || n > uint64(len(c.deltas)) {
		return nil, false
	}
	out := c.deltas[len(c.deltas)-int(n):]
	return out, out[0].From == v
}

// deltaOverhead is the approximate size of a delta's fixed fields in bytes.
const deltaOverhead = 128

func deltaSize(d *config.Delta) int {
	n := deltaOverhead + len(d.By) + len(d.Team) + len(d.Command) + len(d.Note)
	for _, o := range d.Set {
		n += len(o.Key.Name) + len(o.Raw)
	}
	for _, k := range d.Unset {
		n += len(k.Name)
	}
	return n
}
