package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// countPushes counts the push messages that each node receives from now on.
func (w *mesh) countPushes() map[*vm]int {
	counts := make(map[*vm]int)
	w.delivered = func(to *vm, m *peerpb.Membership) {
		if m.GetKind() == peerpb.Kind_KIND_PUSH {
			counts[to]++
		}
	}
	return counts
}

// Guards against pushes to bridges that grow with the size of a data centre in which backend
// servers leave all the time. Other data centres must still receive each change within two
// seconds.
func TestPushesToBridgesAreBounded(t *testing.T) {
	const changes = 12
	busiest := func(n int) (most int) {
		w := newMesh(n, 2, func(c *Config) { *c = FastConvergence(*c); c.PushAllChanges = true })
		if _, ok := w.runUntil(3*time.Minute, w.converged); !ok {
			t.Fatalf("%d nodes: %s", n, w.divergence())
		}
		w.run(10 * time.Second)
		counts := w.countPushes()
		for i := range changes {
			v := w.nodes[i*n/changes]
			ready := Backend{Service: "berths", Instance: "i", Slots: 4, State: BackendReady}
			if err := v.SetBackends(w.now, []Backend{ready}); err != nil {
				t.Fatal(err)
			}
			w.run(3 * time.Second)
			leaving := ready
			leaving.State = BackendDraining
			if err := v.SetBackends(w.now, []Backend{leaving}); err != nil {
				t.Fatal(err)
			}
			w.run(2 * time.Second)
			for _, o := range w.nodes {
				r := o.View(w.now).Records[v.info.ID]
				if r == nil || !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.State == BackendDraining }) {
					t.Errorf("%d nodes: after 2 s, %s has no draining backend server of %s", n, o.info.ID, v.info.ID)
				}
			}
		}
		for _, c := range counts {
			most = max(most, c)
		}
		return most
	}
	few, many := busiest(40), busiest(160)
	t.Logf("push messages at the busiest node for %d changes: %d of 40 nodes, %d of 160", 2*changes, few, many)
	if many > few*3/2 {
		t.Errorf("the busiest node receives %d push messages with 160 nodes, %d with 40", many, few)
	}
}
