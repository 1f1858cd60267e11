package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// suspectView is what a node sees that hears from alive alone of its data
// centre's nodes.
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

// What an operator would see: the network between the nodes fails, but not that
// to the platform, and the platform gets as many reads a second as there are
// nodes on top. Each node suspected all others and took itself for the only one
// of its data centre, so for a feeder.
func TestSuspectNeighboursDoNotMakeAFeeder(t *testing.T) {
	const dcs, seconds = 5, 30
	for _, n := range []int{60, 240} {
		reads := readsWhenAllSuspect(n, dcs, seconds)
		t.Logf("%d nodes: %d reads in %d s", n, reads, seconds)
		// Two feeders a data centre, and the others together about as one.
		if most := 4 * dcs * seconds; reads > most {
			t.Errorf("%d nodes: %d reads in %d s, over %d", n, reads, seconds, most)
		}
	}
}

// BenchmarkSuspect shows the platform's reads when every node suspects all
// others, by fleet size.
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
	m.change(nil)
	m.run(20 * time.Second)
	m.cut = func(a, b string) bool { return true }
	for _, v := range m.nodes {
		m.views[v.id] = m.suspectView(v)
	}
	m.reads = 0
	m.run(time.Duration(seconds) * time.Second)
	return m.reads
}

// A data centre whose chosen feeders are really gone, with most of its nodes,
// while it is cut off from the others, must learn of a change all the same.
func TestDataCentreWithoutItsFeedersLearns(t *testing.T) {
	m := newMesh(30, 1, 4, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	m.change(nil)
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
			t.Fatal(fmt.Sprint(id, " is a feeder, though two come before it"))
		}
	}
	m.change(nil)
	m.run(30 * time.Second)
	if m.fault != "" || !m.converged() {
		t.Fatal(m.fault, describe(m))
	}
}
