package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// assureWithin is how old an assurance may grow in these tests, as users state it for keys.
const assureWithin = 5 * time.Second

// oldest returns the greatest age of an assurance among the nodes.
func (m *meshOfNodes) oldest(only func(*meshNode) bool) time.Duration {
	var oldest time.Duration
	for _, n := range m.nodes {
		if !only(n) {
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

// Guards against nodes that refuse calls with good keys while the source answers: the assurance
// has to stay young on every node, also in a data centre where a tree passes it on.
func TestAssuranceStaysYoung(t *testing.T) {
	startCodec(t)
	for _, sizes := range [][]int{{4, 4}, {27, 27, 26}, {240}} {
		withAssuredMesh(t, sizes, func(m *meshOfNodes) {
			time.Sleep(meshSettles)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if age := m.oldest(everyNode); age >= assureWithin*4/5 {
					t.Fatalf("%v: an assurance is %v old", sizes, age)
				}
			}
		})
	}
}

// Guards against keys that were taken away and are believed on a node that can't know: its
// assurance must be as old as the last answer that it or anybody who tells it has had.
func TestAssuranceGrowsOldWithoutTheSource(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{6, 6}, func(m *meshOfNodes) {
		time.Sleep(meshSettles)
		m.silence(everyNode)
		silent := time.Now()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			for id, n := range m.nodes {
				if age, _ := n.runner.AssuredAge(time.Now()); age < time.Since(silent) {
					t.Fatalf("%s: assured %v ago, the source is silent for %v", id, age, time.Since(silent))
				}
			}
		}
		m.silence(func(*meshNode) bool { return false })
		time.Sleep(meshSettles)
		if age := m.oldest(everyNode); age >= assureWithin {
			t.Errorf("an assurance is %v old though the source answers", age)
		}
	})
}

// Guards the pattern of a store that leaves the nodes without an answer that hold what operators
// take away: those that still reach a node with an answer go on.
func TestSilentFeedersAreAssuredByOthers(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{8, 8}, func(m *meshOfNodes) {
		time.Sleep(meshSettles)
		m.silence(func(n *meshNode) bool { return n.runner.Feeder() })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := m.oldest(func(n *meshNode) bool { return !n.silent }); age >= assureWithin {
				t.Fatalf("an assurance is %v old", age)
			}
		}
	})
}

// Guards against an age that a message carries on its way for longer than its sender says: what a
// peer tells unasked assures nothing.
func TestUnaskedWordAssuresNothing(t *testing.T) {
	startCodec(t)
	withAssuredMesh(t, []int{6}, func(m *meshOfNodes) {
		time.Sleep(meshSettles)
		n := m.nodes[m.ids[0]]
		n.runner.mu.Lock()
		before := n.runner.state.assuredAt
		n.runner.mu.Unlock()
		age := uint64(0)
		c := n.runner.confirmation(time.Now())
		c.AssuredAgeMs = &age
		n.runner.confirm(c, 0)
		n.runner.mu.Lock()
		defer n.runner.mu.Unlock()
		if n.runner.state.assuredAt != before {
			t.Error("the assurance was believed")
		}
	})
}

// believed checks that no node takes the version that it holds for newer than it can know: whatever
// was accepted before its assurance must be held.
func (m *meshOfNodes) believed() bool {
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
				m.t.Errorf("%s is assured of version %d as of %v ago, and %d was accepted %v ago", id, held, age, a.number, since)
				return false
			}
		}
	}
	return true
}

// Guards against a key that was taken away and is believed past its bound, in drawn troubles: a
// source that is silent for some, slow, or turns all away, data centres cut off, versions all along.
func TestNoTroubleAssuresAnOldVersion(t *testing.T) {
	startCodec(t)
	const look = 50 * time.Millisecond
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 40))
			withAssuredMesh(t, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(12)}, func(m *meshOfNodes) {
				for range 6 {
					m.trouble(rng)
					m.slow(time.Duration(rng.Int64N(int64(2 * time.Second))))
					m.refuse(rng.IntN(5) == 0)
					accept := time.Duration(rng.Int64N(int64(2 * time.Second)))
					for at, length := time.Duration(0), time.Duration(rng.Int64N(int64(6*time.Second))); at < length; at += look {
						if accept -= look; accept < 0 {
							m.accept()
							accept = time.Duration(rng.Int64N(int64(2 * time.Second)))
						}
						time.Sleep(look)
						if !m.believed() {
							return
						}
					}
				}
			})
		})
	}
}
