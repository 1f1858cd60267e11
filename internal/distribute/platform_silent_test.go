package distribute

import (
	"testing"
	"time"
)

// Guards against a change that no node reads when the platform does not answer the feeders and the
// accepting node is lost at once.
func TestPlatformSilentForItsFeeders(t *testing.T) {
	const nodes, dcs = 48, 2
	late := 0
	for seed := range uint64(5) {
		m := newMesh(nodes, dcs, seed, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
		m.commitChange(nil)
		m.run(20 * time.Second)
		m.platformSilent = func(n *node) bool { return n.state.Feeder() }
		m.commitChange(nil)
		m.run(inForceWithin)
		if !m.converged() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("late in %d of 5 meshes: a change took over %v to come into force", late, inForceWithin)
	}
}
