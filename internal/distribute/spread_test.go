package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkSpread prints, in virtual time, what one change costs. The baseline
// is every node polling the platform for the whole snapshot each second.
func BenchmarkSpread(b *testing.B) {
	pull := func(p Profile) Profile { p.PushBytes = 0; p.Name += "-pull"; return p }
	for _, n := range []int{12, 36, 108, 240, 1200} {
		for _, p := range []Profile{Time(), pull(Time()), Bytes(), pull(Bytes())} {
			b.Run(fmt.Sprintf("nodes=%d/profile=%s", n, p.Name), func(b *testing.B) {
				for range b.N {
					measure(b, n, p)
				}
			})
		}
	}
}

const measuredChanges = 5

func measure(b *testing.B, n int, p Profile) {
	m := newMesh(n, 5, 7, func(id, dc string) Settings { return Defaults(id, dc, p) })
	for range 61 {
		m.change(nil)
	}
	m.run(20 * time.Second)
	if !m.converged() {
		b.Fatal("not converged at the start")
	}
	m.bytes, m.msgs, m.pulls = 0, 0, 0
	reads := m.reads
	var waits []time.Duration
	for range measuredChanges {
		start := m.now
		d := m.change(m.nodes[m.ids[m.rng.IntN(n)]])
		m.run(15 * time.Second)
		for _, node := range m.nodes {
			at, ok := node.force[d.To.Number]
			if !ok {
				b.Fatalf("%s does not run version %d", node.id, d.To.Number)
			}
			waits = append(waits, at.Sub(start))
		}
	}
	slices.Sort(waits)
	per := float64(n * measuredChanges)
	b.ReportMetric(ms(waits[len(waits)/2]), "p50_ms")
	b.ReportMetric(ms(waits[len(waits)*99/100]), "p99_ms")
	b.ReportMetric(ms(waits[len(waits)-1]), "max_ms")
	b.ReportMetric(float64(m.bytes)/per, "B/node/change")
	b.ReportMetric(float64(m.msgs)/per, "msgs/node/change")
	b.ReportMetric(float64(m.pulls)/per, "pulls/node/change")
	seconds := (measuredChanges * 15 * time.Second).Seconds()
	b.ReportMetric(float64(m.reads-reads)/seconds, "platform_reads/s")
	whole, err := Pack(nil, m.head)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(whole.Data)), "baseline_B/node/s")
	b.ReportMetric(float64(n), "baseline_reads/s")
	b.ReportMetric(0, "ns/op")
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
