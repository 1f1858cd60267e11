package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// pushed counts the urgent messages that each node gets.
func (w *mesh) pushed() map[*vm]int {
	counts := make(map[*vm]int)
	w.delivered = func(to *vm, m *peerpb.Membership) {
		if m.GetKind() == peerpb.Kind_KIND_PUSH {
			counts[to]++
		}
	}
	return counts
}

// Guards the pattern of a large data centre in which backend servers leave all the time: what its
// bridges are told must not grow with it, and other data centres must hear of each within two seconds.
func TestBridgesAreToldByAFew(t *testing.T) {
	const changes = 12
	busiest := func(n int) (most int) {
		w := newMesh(n, 2, func(c *Config) { *c = FastConvergence(*c); c.PushAllChanges = true })
		if _, ok := w.runUntil(3*time.Minute, w.settled); !ok {
			t.Fatalf("%d nodes: %s", n, w.unsettled())
		}
		w.run(10 * time.Second)
		counts := w.pushed()
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
					t.Errorf("%d nodes: %s does not know after 2 s that the backend server of %s drains", n, o.info.ID, v.info.ID)
				}
			}
		}
		for _, c := range counts {
			most = max(most, c)
		}
		return most
	}
	few, many := busiest(40), busiest(160)
	t.Logf("urgent messages at the busiest node for %d changes: %d of 40 nodes, %d of 160", 2*changes, few, many)
	if many > few*3/2 {
		t.Errorf("the busiest node gets %d urgent messages among 160 nodes, %d among 40", many, few)
	}
}
