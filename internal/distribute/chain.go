package distribute

import (
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
	maxCount int
	maxBytes int
}

func newChain(maxCount, maxBytes int) *chain {
	return &chain{head: config.Empty(), maxCount: maxCount, maxBytes: maxBytes}
}

func (c *chain) version() config.Version { return c.head.Version() }

// apply moves the chain on by one verified delta.
func (c *chain) apply(d *config.Delta) error {
	next, err := d.Apply(c.head)
	if err != nil {
		return err
	}
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

// jump replaces the chain by a snapshot that no delta led to.
func (c *chain) jump(s *config.Snapshot) {
	c.head, c.deltas, c.bytes = s, nil, 0
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
	if n > head.Number || n+uint64(len(c.deltas)) < head.Number {
		return config.Hash{}, false
	}
	// The parent of the delta to n+1.
	i := len(c.deltas) - int(head.Number-n)
	return c.deltas[i].From.Hash, true
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
