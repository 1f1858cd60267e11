package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// scenario describes one measurement of the cost of changes, in virtual time.
type scenario struct {
	nodes      int
	profile    Profile
	lost       int // percent of nodes that die just before each change
	burst      int // changes, 100 ms apart; one when zero
	randomPush bool
	noBypass   bool
}

func withoutPush(p Profile) Profile {
	p.MaxInlineBytes = 0
	p.Name += "-pull"
	return p
}

// BenchmarkSpread compares inline deltas with pulls in both profiles by fleet size. It also reports
// the baseline in which every node polls the whole snapshot from the platform each second.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{12, 36, 108, 240, 1200} {
		for _, p := range []Profile{TimeProfile(), withoutPush(TimeProfile()), BytesProfile(), withoutPush(BytesProfile())} {
			runScenario(b, fmt.Sprintf("nodes=%d/%s", n, p.Name), scenario{nodes: n, profile: p})
		}
	}
}

// BenchmarkTree compares the tree with pushes to random nodes, and bypassing unreachable nodes with
// leaving them to the membership's messages.
func BenchmarkTree(b *testing.B) {
	base := scenario{nodes: 240, profile: TimeProfile()}
	lost := scenario{nodes: 240, profile: TimeProfile(), lost: 10}
	randomPush, randomLost, noBypass := base, lost, lost
	randomPush.randomPush, randomLost.randomPush, noBypass.noBypass = true, true, true
	runScenario(b, "tree", base)
	runScenario(b, "random", randomPush)
	runScenario(b, "lost=10%/tree", lost)
	runScenario(b, "lost=10%/tree-without-standing-in", noBypass)
	runScenario(b, "lost=10%/random", randomLost)
}

// BenchmarkFanOut compares fan-outs with and without lost nodes.
func BenchmarkFanOut(b *testing.B) {
	for _, p := range []Profile{TimeProfile(), BytesProfile()} {
		for _, f := range []int{2, 4, 8, 16} {
			p.FanOut = f
			runScenario(b, fmt.Sprintf("%s/%d", p.Name, f), scenario{nodes: 1200, profile: p})
			runScenario(b, fmt.Sprintf("%s/%d/lost=10%%", p.Name, f), scenario{nodes: 240, profile: p, lost: 10})
		}
	}
}

// BenchmarkBurst compares the profiles on ten changes within a second.
func BenchmarkBurst(b *testing.B) {
	for _, p := range []Profile{TimeProfile(), BytesProfile()} {
		runScenario(b, p.Name, scenario{nodes: 240, profile: p, burst: 10})
	}
}

func runScenario(b *testing.B, name string, s scenario) {
	b.Run(name, func(b *testing.B) {
		for range b.N {
			measure(b, s)
		}
	})
}

const (
	measuredRounds = 5
	measuredWindow = 15 * time.Second
	measuredDCs    = 5
	services       = 61
)

func measure(b *testing.B, s scenario) {
	m := newMesh(s.nodes, measuredDCs, 7, func(id, dc string) Settings { return Defaults(id, dc, s.profile) })
	m.randomPush, m.noBypass = s.randomPush, s.noBypass
	for range services {
		m.commitChange(nil)
	}
	m.run(20 * time.Second)
	if !m.converged() {
		b.Fatal("not converged at the start")
	}
	m.bytes, m.msgs, m.pulls = 0, 0, 0
	reads, changes := m.reads, 0
	var waits []time.Duration
	for range measuredRounds {
		lost := m.killRandom(s.lost)
		started := make(map[uint64]time.Time)
		for range max(s.burst, 1) {
			d := m.commitChange(m.liveNode())
			started[d.To.Number] = m.now
			changes++
			m.run(100 * time.Millisecond)
		}
		m.run(measuredWindow)
		waits = append(waits, m.waits(b, started)...)
		for _, id := range lost {
			m.startNode(id)
		}
		m.run(measuredWindow)
	}
	per := float64(s.nodes * changes)
	slices.Sort(waits)
	b.ReportMetric(ms(waits[len(waits)/2]), "p50_ms")
	b.ReportMetric(ms(waits[len(waits)*99/100]), "p99_ms")
	b.ReportMetric(ms(waits[len(waits)-1]), "max_ms")
	b.ReportMetric(float64(m.bytes)/per, "B/node/change")
	b.ReportMetric(float64(m.msgs)/per, "msgs/node/change")
	seconds := (measuredRounds * 2 * measuredWindow).Seconds()
	b.ReportMetric(float64(m.reads-reads)/seconds, "reads/s")
	whole, err := Pack(nil, m.head)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(whole.Data)+httpOverhead), "base_B/node/s")
	b.ReportMetric(0, "ns/op")
}

// killRandom kills a percentage of the nodes before the view shows it.
func (m *mesh) killRandom(percent int) []string {
	var out []string
	for _, i := range m.rng.Perm(len(m.ids))[:len(m.ids)*percent/100] {
		m.kill(m.ids[i])
		out = append(out, m.ids[i])
	}
	return out
}

func (m *mesh) liveNode() *node {
	for {
		if n := m.nodes[m.ids[m.rng.IntN(len(m.ids))]]; n.up {
			return n
		}
	}
}

// waits returns how long each version took to come into force at each node. A node that got several
// at once counts them all from the time of the last one.
func (m *mesh) waits(b *testing.B, started map[uint64]time.Time) []time.Duration {
	var out []time.Duration
	for _, id := range m.ids {
		n := m.nodes[id]
		if !n.up {
			continue
		}
		if n.state.Version() != m.head.Version() {
			b.Fatalf("%s is behind", id)
		}
		for v, at := range started {
			for ; n.inForceAt[v].IsZero(); v++ {
			}
			out = append(out, n.inForceAt[v].Sub(at))
		}
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
