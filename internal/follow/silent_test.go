package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
)

// Guards against late versions while the source does not answer its readers.
func TestSourceSilentForItsReaders(t *testing.T) {
	startCodec(t)
	for _, size := range []int{3, 5, 24} {
		for moment := time.Duration(0); moment < time.Second; moment += 100 * time.Millisecond {
			for _, one := range []int{0, size / 2, size - 1} {
				t.Run(fmt.Sprintf("%d_nodes_after_%v_but_%d", size, moment, one), func(t *testing.T) {
					withMesh(t, []int{size}, func(m *testMesh) {
						time.Sleep(moment)
						reaching := m.ids[one]
						m.setSilent(func(n *meshNode) bool { return n.id != reaching })
						m.changeStorm(9*time.Second, 400*time.Millisecond)
					})
				})
			}
		}
	}
}

// Guards against late or missing versions on nodes that reach the source under random faults: a
// source that is silent for some nodes, partitioned data centres, and both at once.
func TestReachingNodesHoldVersionsInTime(t *testing.T) {
	startCodec(t)
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 36))
			withMesh(t, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(20)}, func(m *testMesh) {
				gap := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
				for range 3 {
					m.injectFaults(rng)
					m.changeStorm(time.Second+time.Duration(rng.Int64N(int64(6*time.Second))), gap)
				}
			})
		})
	}
}

// injectFaults draws the nodes for which the source is silent, and the data centre that is
// partitioned.
func (m *testMesh) injectFaults(rng *rand.Rand) {
	share := rng.Float64()
	silent := make(map[string]bool)
	for _, id := range m.ids {
		silent[id] = rng.Float64() < share
	}
	m.setSilent(func(n *meshNode) bool { return silent[n.id] })
	cut := fmt.Sprint("dc", rng.IntN(6)) // none in half of the cases
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		n.partition = 0
		if n.runner.set.DataCentre == cut {
			n.partition = 1
		}
	}
}

// Guards against nodes that are no feeders reading the source while it answers the feeders.
func TestHealthySourceIsReadByFeedersOnly(t *testing.T) {
	startCodec(t)
	for _, size := range []int{3, 24, 60} {
		withMesh(t, []int{size}, func(m *testMesh) {
			before := m.readsByNonFeeders()
			m.changeStorm(10*time.Second, 300*time.Millisecond)
			m.changeStorm(20*time.Second, time.Minute)
			if requests := m.readsByNonFeeders() - before; requests > 0 {
				t.Errorf("%d nodes: nodes that are no feeders read the source %d times", size, requests)
			}
		})
	}
}

// readsByNonFeeders counts the requests of nodes that are no feeders.
func (m *testMesh) readsByNonFeeders() (requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		if !distribute.IsFeeder(n.views.Load(), n.id, n.runner.set.DataCentre) {
			requests += n.reads
		}
	}
	return requests
}

// Guards against a flood of requests from nodes that all take their feeders for unanswered while
// the source is down or merely slow. 1,200 nodes may send 2,000 requests per second.
func TestSilentOrSlowSourceIsNotFlooded(t *testing.T) {
	startCodec(t)
	const length = 10 * time.Second
	for _, size := range []int{24, 240} {
		withMesh(t, []int{size}, func(m *testMesh) {
			bound := size * int(length/time.Second)
			requests := func(what string, during func()) {
				before := m.sourceReads()
				during()
				reads := m.sourceReads() - before
				t.Logf("%d nodes, %s: %d requests in %v", size, what, reads, length)
				if reads > bound {
					t.Errorf("%d nodes, %s: %d requests in %v, want at most %d", size, what, reads, length, bound)
				}
			}
			requests("silent for all", func() {
				m.setSilent(func(*meshNode) bool { return true })
				time.Sleep(length)
				m.setSilent(func(*meshNode) bool { return false })
			})
			time.Sleep(settleTime)
			for _, delay := range []time.Duration{300 * time.Millisecond, time.Second} {
				m.setDelay(delay)
				requests(fmt.Sprint("slow by ", delay), func() { time.Sleep(length) })
				requests(fmt.Sprint("changes, slow by ", delay), func() {
					for range length / (500 * time.Millisecond) {
						m.accept()
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
		})
	}
}

// Guards against late versions on a node that the source answers again, delayed by a request that
// timed out and the pause after it.
func TestNodeAnsweredAgainHoldsVersionsInTime(t *testing.T) {
	startCodec(t)
	for moment := time.Duration(0); moment < 4*time.Second; moment += 100 * time.Millisecond {
		for _, one := range []int{0, 3} {
			t.Run(fmt.Sprintf("after_%v_node_%d", moment, one), func(t *testing.T) {
				withMesh(t, []int{6}, func(m *testMesh) {
					m.setSilent(func(*meshNode) bool { return true })
					time.Sleep(10*time.Second + moment)
					reaching := m.ids[one]
					m.setSilent(func(n *meshNode) bool { return n.id != reaching })
					m.changeStorm(8*time.Second, 400*time.Millisecond)
				})
			})
		}
	}
}

// Guards against all nodes reading the whole document when a source that was down answers again.
func TestRecoveredSourceIsReadByFew(t *testing.T) {
	startCodec(t)
	const size, times = 24, 10
	read := 0
	withMesh(t, []int{size}, func(m *testMesh) {
		for i := range times {
			m.setRefusing(true)
			m.accept()
			time.Sleep(8*time.Second + time.Duration(i)*100*time.Millisecond)
			before := m.setRefusing(false)
			time.Sleep(inForceWithin)
			m.checkInForce()
			read += m.setRefusing(false) - before
			time.Sleep(settleTime)
		}
	})
	t.Logf("%.1f of %d nodes read the document", float64(read)/times, size)
	if read > size/4*times {
		t.Errorf("%d documents were read in %d recoveries of the source by %d nodes", read, times, size)
	}
}
