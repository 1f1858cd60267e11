package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// suspectView is the view of a node that receives messages only from alive in its data centre.
func (m *mesh) suspectView(n *node, alive ...string) *membership.View {
	v := &membership.View{Self: n.id, Records: make(map[string]*membership.ObservedRecord)}
	for _, p := range m.nodes {
		if p.dc != n.dc {
			continue
		}
		state := membership.VMSuspect
		if p == n || slices.Contains(alive, p.id) {
			state = membership.VMAlive
		}
		v.Records[p.id] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: p.id, DataCentre: p.dc}, State: state,
		}}
	}
	return v
}

// Guards the platform against one read a second from every node when the network between nodes
// fails but the platform stays reachable. Each node suspected all others and considered itself the
// only candidate for feeder.
func TestSuspectNeighboursDoNotPromoteFeeders(t *testing.T) {
	const dcs, seconds = 5, 30
	for _, n := range []int{60, 240} {
		reads := readsWhenAllSuspect(n, dcs, seconds)
		t.Logf("%d nodes: %d reads in %d s", n, reads, seconds)
		// Two feeders per data centre, and the others together about one more.
		if most := 4 * dcs * seconds; reads > most {
			t.Errorf("%d nodes: %d reads in %d s, over %d", n, reads, seconds, most)
		}
	}
}

// BenchmarkSuspect measures the platform's reads when every node suspects all others, by fleet
// size.
func BenchmarkSuspect(b *testing.B) {
	const seconds = 30
	for _, n := range []int{60, 240, 1200} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(readsWhenAllSuspect(n, measuredDCs, seconds))/seconds, "reads/s")
			}
		})
	}
}

func readsWhenAllSuspect(n, dcs, seconds int) int {
	m := newMesh(n, dcs, 3, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	m.commitChange(nil)
	m.run(20 * time.Second)
	m.partitioned = func(a, b string) bool { return true }
	for _, v := range m.nodes {
		m.views[v.id] = m.suspectView(v)
	}
	m.reads = 0
	m.run(time.Duration(seconds) * time.Second)
	return m.reads
}

// Guards a partitioned data centre against missing a change when its feeders, and most of its other
// nodes, are down.
func TestDataCentreWithoutFeedersCatchesUp(t *testing.T) {
	m := newMesh(30, 1, 4, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	m.commitChange(nil)
	m.run(20 * time.Second)
	order := ranked("feeder/dc0/", m.ids)
	lost, left := order[:20], order[20:]
	for _, id := range lost {
		m.kill(id)
	}
	for _, id := range left {
		m.views[id] = m.suspectView(m.nodes[id], left...)
	}
	m.run(time.Second)
	for _, id := range left {
		if m.nodes[id].state.Feeder() {
			t.Fatal(fmt.Sprint(id, " is a feeder, though two nodes rank before it"))
		}
	}
	m.commitChange(nil)
	m.run(30 * time.Second)
	if m.violation != "" || !m.converged() {
		t.Fatal(m.violation, describe(m))
	}
}
