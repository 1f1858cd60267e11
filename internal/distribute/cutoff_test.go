package distribute

import (
	"testing"
	"time"
)

// inForceWithin is the operators' bound from the acceptance of a change until it is in force
// on every node that reaches the platform.
const inForceWithin = 13 * time.Second

// What an operator would see: a change is accepted, and one VM, which reaches the platform,
// goes on with the version before for minutes. It is cut off from all others, so nobody tells
// it. Once it suspects its neighbours it is one of many that might stand in for the feeders
// of its data centre, and all of these together read the platform about once in HeadInterval.
func TestNodeCutOffFromAllReadsThePlatform(t *testing.T) {
	const nodes, dcs = 48, 1
	late := 0
	for seed := range uint64(5) {
		m := newMesh(nodes, dcs, seed, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
		m.change(nil)
		m.run(20 * time.Second)
		n := m.someNonFeeder()
		m.cut = func(a, b string) bool { return a == n.id || b == n.id }
		m.change(nil)
		// The membership is generous here: it suspects all neighbours within 6 s.
		m.after(6*time.Second, func() { m.views[n.id] = m.suspectView(n) })
		m.run(inForceWithin)
		if n.state.Version() != m.head.Version() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("late in %d of 5 meshes: over %v until a change is in force", late, inForceWithin)
	}
}

func (m *mesh) someNonFeeder() *node {
	for _, id := range m.ids {
		if n := m.nodes[id]; !n.state.Feeder() {
			return n
		}
	}
	panic("all are feeders")
}
