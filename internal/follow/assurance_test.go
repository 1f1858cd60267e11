package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// assureWithin is the maximum age of an assurance in these tests, as users set it for API keys.
const assureWithin = 5 * time.Second

// oldestAssurance returns the greatest age of an assurance among the included nodes.
func (m *testMesh) oldestAssurance(include func(*meshNode) bool) time.Duration {
	var oldest time.Duration
	for _, n := range m.nodes {
		if !include(n) {
			continue
		}
		age, known := n.runner.AssuredAge(time.Now())
		if !known {
			return time.Hour
		}
		oldest = max(oldest, age)
	}
	return oldest
}

func everyNode(*meshNode) bool { return true }

// Guards against nodes that refuse calls with valid keys while the source answers: the assurance
// must stay young on every node, also where a tree forwards it.
func TestAssuranceStaysYoung(t *testing.T) {
	startCodec(t)
	for _, sizes := range [][]int{{4, 4}, {27, 27, 26}, {240}} {
		withAssuredMesh(t, sizes, func(m *testMesh) {
			time.Sleep(settleTime)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if age := m.oldestAssurance(everyNode); age >= assureWithin*4/5 {
					t.Fatalf("%v: an assurance is %v old", sizes, age)
				}
			}
		})
	}
}

// Guards against revoked keys that are accepted on a node that can't know of the revocation: its
// assurance must be as old as the last answer that reached it, directly or through a peer.
func TestAssuranceGrowsOldWithoutTheSource(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{6, 6}, func(m *testMesh) {
		time.Sleep(settleTime)
		m.setSilent(everyNode)
		silent := time.Now()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			for id, n := range m.nodes {
				if age, _ := n.runner.AssuredAge(time.Now()); age < time.Since(silent) {
					t.Fatalf("%s: the assurance is %v old, the source has been silent for %v", id, age, time.Since(silent))
				}
			}
		}
		m.setSilent(func(*meshNode) bool { return false })
		time.Sleep(settleTime)
		if age := m.oldestAssurance(everyNode); age >= assureWithin {
			t.Errorf("an assurance is %v old though the source answers", age)
		}
	})
}

// Guards against a source that does not answer the feeders: nodes that reach a node with an answer
// must keep a young assurance.
func TestSilentFeedersAreAssuredByOthers(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{8, 8}, func(m *testMesh) {
		time.Sleep(settleTime)
		m.setSilent(func(n *meshNode) bool { return n.runner.Feeder() })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := m.oldestAssurance(func(n *meshNode) bool { return !n.silent }); age >= assureWithin {
				t.Fatalf("an assurance is %v old", age)
			}
		}
	})
}

// Guards against a message that was delayed for longer than the age it carries: an assurance that
// this node did not request must not count.
func TestUnsolicitedMessageAssuresNothing(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{6}, func(m *testMesh) {
		time.Sleep(settleTime)
		n := m.nodes[m.ids[0]]
		n.runner.mu.Lock()
		before := n.runner.state.assuredAt
		n.runner.mu.Unlock()
		age := uint64(0)
		c := n.runner.confirmation(time.Now())
		c.AssuredAgeMs = &age
		n.runner.recordConfirmation(c, 0)
		n.runner.mu.Lock()
		defer n.runner.mu.Unlock()
		if n.runner.state.assuredAt != before {
			t.Error("the assurance of an unsolicited message was recorded")
		}
	})
}

// checkAssurances checks that no assurance is younger than justified: each version that was
// accepted before a node's assurance must be held.
func (m *testMesh) checkAssurances() bool {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range m.ids {
		n := m.nodes[id]
		age, known := n.runner.AssuredAge(now)
		if !known {
			continue
		}
		held := n.runner.held.Load().Version().Number
		for _, a := range m.accepted {
			if since := now.Sub(a.at); since > age && held < a.number {
				m.t.Errorf("%s holds version %d with an assurance %v old, but version %d was accepted %v ago", id, held, age, a.number, since)
				return false
			}
		}
	}
	return true
}

// Guards against a revoked key that is accepted past its bound under random faults: a source that
// is silent for some nodes, slow, or rejects all requests, and partitioned data centres, while
// versions are accepted.
func TestFaultsNeverAssureAnOldVersion(t *testing.T) {
	startCodec(t)
	const checkInterval = 50 * time.Millisecond
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 40))
			withAssuredMesh(t, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(12)}, func(m *testMesh) {
				for range 6 {
					m.injectFaults(rng)
					m.setDelay(time.Duration(rng.Int64N(int64(2 * time.Second))))
					m.setRefusing(rng.IntN(5) == 0)
					accept := time.Duration(rng.Int64N(int64(2 * time.Second)))
					for at, length := time.Duration(0), time.Duration(rng.Int64N(int64(6*time.Second))); at < length; at += checkInterval {
						if accept -= checkInterval; accept < 0 {
							m.accept()
							accept = time.Duration(rng.Int64N(int64(2 * time.Second)))
						}
						time.Sleep(checkInterval)
						if !m.checkAssurances() {
							return
						}
					}
				}
			})
		})
	}
}
