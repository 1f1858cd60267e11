package distribute

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStorm kills three quarters of the nodes and restarts them at once, with the platform up
// and down, in virtual time. In the baseline every starting node reads the platform twice.
func BenchmarkStorm(b *testing.B) {
	for _, down := range []bool{false, true} {
		for _, n := range []int{36, 108, 240, 1200} {
			b.Run(fmt.Sprintf("down=%t/nodes=%d", down, n), func(b *testing.B) {
				for range b.N {
					restartStorm(b, n, down)
				}
			})
		}
	}
}

func restartStorm(b *testing.B, n int, platformDown bool) {
	m := newMesh(n, measuredDCs, 7, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	for range services {
		m.commitChange(nil)
	}
	m.run(20 * time.Second)
	lost := m.killRandom(75)
	m.refreshView()
	m.platformDown = platformDown
	m.run(5 * time.Second)
	for _, id := range lost {
		m.startNode(id)
	}
	m.bytes = 0
	start, peak := m.now, 0
	for m.readyCount() < n {
		if m.now.Sub(start) > time.Minute {
			b.Fatal("not all ready after a minute: " + describe(m))
		}
		reads := m.reads
		m.run(time.Second)
		peak = max(peak, m.reads-reads)
	}
	if m.violation != "" || !m.converged() {
		b.Fatal(m.violation, describe(m))
	}
	b.ReportMetric(m.now.Sub(start).Seconds(), "recover_s")
	b.ReportMetric(float64(peak), "peak_reads/s")
	b.ReportMetric(float64(2*len(lost)), "base_reads")
	b.ReportMetric(float64(m.bytes)/float64(len(lost)), "B/started_node")
	b.ReportMetric(0, "ns/op")
}
