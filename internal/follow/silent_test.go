package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
)

// Guards against versions that come late where the source leaves those nodes without an answer
// that read it for the others.
func TestSourceSilentForItsReaders(t *testing.T) {
	startCodec(t)
	for _, size := range []int{3, 5, 24} {
		for moment := time.Duration(0); moment < time.Second; moment += 100 * time.Millisecond {
			for _, one := range []int{0, size / 2, size - 1} {
				t.Run(fmt.Sprintf("%d_nodes_after_%v_but_%d", size, moment, one), func(t *testing.T) {
					withMesh(t, []int{size}, func(m *meshOfNodes) {
						time.Sleep(moment)
						reaching := m.ids[one]
						m.silence(func(n *meshNode) bool { return n.id != reaching })
						m.storm(9*time.Second, 400*time.Millisecond)
					})
				})
			}
		}
	}
}

// Guards against versions that come late, or not at all, on nodes that reach the source, in drawn
// troubles: sources that are silent for some nodes, data centres that are cut off, both at once.
func TestReachingNodesHoldVersionsInTime(t *testing.T) {
	startCodec(t)
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 36))
			withMesh(t, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(20)}, func(m *meshOfNodes) {
				gap := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
				for range 3 {
					m.trouble(rng)
					m.storm(time.Second+time.Duration(rng.Int64N(int64(6*time.Second))), gap)
				}
			})
		})
	}
}

// trouble draws for whom the source is silent, and which data centre is cut off.
func (m *meshOfNodes) trouble(rng *rand.Rand) {
	share := rng.Float64()
	silent := make(map[string]bool)
	for _, id := range m.ids {
		silent[id] = rng.Float64() < share
	}
	m.silence(func(n *meshNode) bool { return silent[n.id] })
	cut := fmt.Sprint("dc", rng.IntN(6)) // half of the time none
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		n.isle = 0
		if n.runner.set.DataCentre == cut {
			n.isle = 1
		}
	}
}

// Guards against a source that every node of a data centre asks while it answers all of them.
func TestCalmSourceIsAskedByItsFeeders(t *testing.T) {
	startCodec(t)
	for _, size := range []int{3, 24, 60} {
		withMesh(t, []int{size}, func(m *meshOfNodes) {
			before := m.askedByOthers()
			m.storm(10*time.Second, 300*time.Millisecond)
			m.storm(20*time.Second, time.Minute)
			if asked := m.askedByOthers() - before; asked > 0 {
				t.Errorf("%d nodes: nodes that are no feeders asked the source %d times", size, asked)
			}
		})
	}
}

// askedByOthers counts the questions of nodes that are no feeders.
func (m *meshOfNodes) askedByOthers() (asked int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		if !distribute.IsFeeder(n.views.Load(), n.id, n.runner.set.DataCentre) {
			asked += n.asked
		}
	}
	return asked
}

// Guards against a flood of questions from nodes that all take their feeders for silent, where
// the source is down or merely slow. 1,200 nodes may ask 2,000 times a second.
func TestSilentOrSlowSourceIsNotFlooded(t *testing.T) {
	startCodec(t)
	const length = 10 * time.Second
	for _, size := range []int{24, 240} {
		withMesh(t, []int{size}, func(m *meshOfNodes) {
			bound := size * int(length/time.Second)
			asked := func(what string, during func()) {
				before := m.read()
				during()
				reads := m.read() - before
				t.Logf("%d nodes, %s: %d questions in %v", size, what, reads, length)
				if reads > bound {
					t.Errorf("%d nodes, %s: %d questions in %v, want %d at most", size, what, reads, length, bound)
				}
			}
			asked("silent for all", func() {
				m.silence(func(*meshNode) bool { return true })
				time.Sleep(length)
				m.silence(func(*meshNode) bool { return false })
			})
			time.Sleep(meshSettles)
			for _, delay := range []time.Duration{300 * time.Millisecond, time.Second} {
				m.slow(delay)
				asked(fmt.Sprint("slow by ", delay), func() { time.Sleep(length) })
				asked(fmt.Sprint("changes, slow by ", delay), func() {
					for range length / (500 * time.Millisecond) {
						m.accept()
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
		})
	}
}

// Guards against versions that come late on a node that the source answers again, kept by a question
// that was not answered and by the pause after it.
func TestNodeAnsweredAgainHoldsVersionsInTime(t *testing.T) {
	startCodec(t)
	for moment := time.Duration(0); moment < 4*time.Second; moment += 100 * time.Millisecond {
		for _, one := range []int{0, 3} {
			t.Run(fmt.Sprintf("after_%v_node_%d", moment, one), func(t *testing.T) {
				withMesh(t, []int{6}, func(m *meshOfNodes) {
					m.silence(func(*meshNode) bool { return true })
					time.Sleep(10*time.Second + moment)
					reaching := m.ids[one]
					m.silence(func(n *meshNode) bool { return n.id != reaching })
					m.storm(8*time.Second, 400*time.Millisecond)
				})
			})
		}
	}
}

// Guards against nodes that all read the whole document when a source that was down answers again.
func TestReturningSourceIsReadByFew(t *testing.T) {
	startCodec(t)
	const size, times = 24, 10
	read := 0
	withMesh(t, []int{size}, func(m *meshOfNodes) {
		for i := range times {
			m.refuse(true)
			m.accept()
			time.Sleep(8*time.Second + time.Duration(i)*100*time.Millisecond)
			before := m.refuse(false)
			time.Sleep(inForceWithin)
			m.inTime()
			read += m.refuse(false) - before
			time.Sleep(meshSettles)
		}
	})
	t.Logf("%.1f of %d nodes read the document", float64(read)/times, size)
	if read > size/4*times {
		t.Errorf("%d documents were read at %d returns of the source to %d nodes", read, times, size)
	}
}
