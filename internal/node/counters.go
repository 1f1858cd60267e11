package node

import (
	"sync"
	"sync/atomic"
)

// counterSet counts events by name without a lock. It never drops a name, so the set of names
// must be small.
type counterSet struct{ byName sync.Map }

func (t *counterSet) increment(name string) {
	n, ok := t.byName.Load(name)
	if !ok {
		n, _ = t.byName.LoadOrStore(name, new(atomic.Uint64))
	}
	n.(*atomic.Uint64).Add(1)
}

func (t *counterSet) values() map[string]uint64 {
	out := make(map[string]uint64)
	t.byName.Range(func(name, n any) bool {
		out[name.(string)] = n.(*atomic.Uint64).Load()
		return true
	})
	return out
}
