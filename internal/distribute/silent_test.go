package distribute

import (
	"testing"
	"time"
)

// Guards against a change that nobody reads where the platform leaves the feeders without an
// answer and the node that accepted it is lost at once.
func TestPlatformSilentForItsFeeders(t *testing.T) {
	const nodes, dcs = 48, 2
	late := 0
	for seed := range uint64(5) {
		m := newMesh(nodes, dcs, seed, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
		m.change(nil)
		m.run(20 * time.Second)
		m.silent = func(n *node) bool { return n.state.Feeder() }
		m.change(nil)
		m.run(inForceWithin)
		if !m.converged() {
			late++
		}
	}
	if late > 0 {
		t.Errorf("late in %d of 5 meshes: over %v until a change is in force", late, inForceWithin)
	}
}
