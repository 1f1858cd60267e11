package distribute

import (
	"cmp"
	"slices"

	"github.com/marlpass/marlpass/internal/config"
)

// relation says how a version stands to the chain held.
type relation uint8

const (
	relationUnknown relation = iota // too old to tell, or newer
	relationHeld                    // in the chain
	relationOther                   // same number, other hash
)

// chain is the newest verified snapshot and the deltas that led to it, bounded
// in number and size.
type chain struct {
	head     *config.Snapshot
	deltas   []*config.Delta // oldest first; the last one leads to head
	bytes    int
	past     []config.Version // known ancestors of head, oldest first, gaps allowed
	maxCount int
	maxBytes int
	maxPast  int
}

func newChain(maxCount, maxBytes int) *chain {
	return &chain{head: config.Empty(), maxCount: maxCount, maxBytes: maxBytes, maxPast: maxPast}
}

func (c *chain) version() config.Version { return c.head.Version() }

// apply moves the chain on by one verified delta.
func (c *chain) apply(d *config.Delta) error {
	next, err := d.Apply(c.head)
	if err != nil {
		return err
	}
	c.remember(c.version())
	c.head = next
	c.deltas = append(c.deltas, d)
	c.bytes += deltaSize(d)
	c.trim()
	return nil
}

// trim drops the oldest deltas that are over the bounds. It copies what stays,
// because since hands out parts of the slice.
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

// jump replaces the chain by a snapshot that no delta led to, but that is known
// to descend from the head.
func (c *chain) jump(s *config.Snapshot) {
	c.remember(c.version())
	if v := s.Version(); v.Number > c.version().Number+1 {
		c.remember(config.Version{Number: v.Number - 1, Hash: s.Parent()})
	}
	c.head, c.deltas, c.bytes = s, nil, 0
}

// maxPast bounds the ancestors remembered by number and hash: 160 KB, and four
// days of 930 changes. They outlast the deltas, so that a node that was cut off
// for longer than those reach back can still be told that its version is in
// the history.
const maxPast = 4096

func (c *chain) remember(v config.Version) {
	if v.Number == 0 {
		return
	}
	if len(c.past) >= c.maxPast {
		c.past = slices.Delete(c.past, 0, len(c.past)-c.maxPast+1)
	}
	c.past = append(c.past, v)
}

// relation compares v with every version that the chain still knows.
func (c *chain) relation(v config.Version) relation {
	if v.Number == 0 {
		return relationHeld // every history starts from the empty snapshot
	}
	known, ok := c.at(v.Number)
	switch {
	case !ok:
		return relationUnknown
	case known == v.Hash:
		return relationHeld
	}
	return relationOther
}

// at returns the hash of version number n, if it is still known.
func (c *chain) at(n uint64) (config.Hash, bool) {
	head := c.version()
	if n == head.Number {
		return head.Hash, true
	}
	if n+1 == head.Number {
		return c.head.Parent(), true
	}
	i, ok := slices.BinarySearchFunc(c.past, n, func(v config.Version, n uint64) int {
		return cmp.Compare(v.Number, n)
	})
	if !ok {
		return config.Hash{}, false
	}
	return c.past[i].Hash, true
}

// since returns the deltas that lead from v to the head, or false when they
// are no longer known. Callers must not change the slice.
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

// deltaOverhead is the size of a delta's fixed fields, roughly.
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
