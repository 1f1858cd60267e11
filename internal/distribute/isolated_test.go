package distribute

import (
	"testing"
	"time"
)

// inForceWithin is the operators' limit from the acceptance of a change until it is in force on
// every node that reaches the platform.
const inForceWithin = 13 * time.Second

// Guards an isolated node that reaches the platform against running an old version for minutes. It
// receives no push; once it suspects its neighbours, it is one of many candidates for fallback
// reads, which together read the platform about once per HeadInterval.
func TestIsolatedNodeReadsPlatform(t *testing.T) {
	const nodes, dcs = 48, 1
	late := 0
	for seed := range uint64(5) {
		m := newMesh(nodes, dcs, seed, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
		m.commitChange(nil)
		m.run(20 * time.Second)
		n := m.anyNonFeeder()
		m.partitioned = func(a, b string) bool { return a == n.id || b == n.id }
		m.commitChange(nil)
		// The membership suspects all neighbours within 6 s, a generous bound.
		m.after(6*time.Second, func() { m.views[n.id] = m.suspectView(n) })
		m.run(inForceWithin)
		if n.state.Version() != m.head.Version() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("late in %d of 5 meshes: a change took over %v to come into force", late, inForceWithin)
	}
}

func (m *mesh) anyNonFeeder() *node {
	for _, id := range m.ids {
		if n := m.nodes[id]; !n.state.Feeder() {
			return n
		}
	}
	panic("all nodes are feeders")
}
