package distribute

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStorm kills three quarters of the nodes and starts them again at
// once, with the platform up and down, in virtual time. The baseline, every
// starting node reading the platform, would be two reads for each.
func BenchmarkStorm(b *testing.B) {
	for _, down := range []bool{false, true} {
		for _, n := range []int{36, 108, 240, 1200} {
			b.Run(fmt.Sprintf("down=%t/nodes=%d", down, n), func(b *testing.B) {
				for range b.N {
					storm(b, n, down)
				}
			})
		}
	}
}

func storm(b *testing.B, n int, down bool) {
	m := newMesh(n, measuredDCs, 7, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	for range services {
		m.change(nil)
	}
	m.run(20 * time.Second)
	lost := m.loseSome(75)
	m.refreshView()
	m.down = down
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
	if m.fault != "" || !m.converged() {
		b.Fatal(m.fault, describe(m))
	}
	b.ReportMetric(m.now.Sub(start).Seconds(), "recover_s")
	b.ReportMetric(float64(peak), "peak_reads/s")
	b.ReportMetric(float64(2*len(lost)), "base_reads")
	b.ReportMetric(float64(m.bytes)/float64(len(lost)), "B/started_node")
	b.ReportMetric(0, "ns/op")
}
