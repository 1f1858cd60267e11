package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// acceptAs accepts a version that no node can decode, or that a share of the nodes can't put in force.
func (m *testMesh) acceptAs(undecodable bool, refusedBy func(*meshNode) bool) {
	m.mu.Lock()
	number := m.newest.Version().Number + 1
	if undecodable {
		m.undecodable[number] = true
	}
	for _, n := range m.nodes {
		if refusedBy(n) {
			n.refuses[number] = true
		}
	}
	m.mu.Unlock()
	m.accept()
}

// supersededAt returns when a version after number was first accepted, or zero, and whether the node can
// put the newest version in force.
func (n *meshNode) supersededAt(number uint64) (at time.Time, runsNewest bool) {
	n.m.mu.Lock()
	defer n.m.mu.Unlock()
	for _, a := range n.m.accepted {
		if a.number > number && at.IsZero() {
			at = a.at
		}
		runsNewest = !n.m.undecodable[a.number] && !n.refuses[a.number]
	}
	return at, runsNewest
}

// Guards against a node that vouches for a version which it could not put in force: with a version
// accepted after the one in force, the assurance must be as old as that one, and the newest version must
// be in force on the nodes that can run it.
func TestSeriesOfVersionsThatCannotBeInForce(t *testing.T) {
	startCodec(t)
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 0))
		withAssuredMesh(t, []int{5, 4, 3}, func(m *testMesh) {
			time.Sleep(settleTime)
			for step := range 6 {
				for range 1 + rng.IntN(3) {
					kind := rng.IntN(4)
					share := rng.Float64()
					m.acceptAs(kind == 0, func(*meshNode) bool { return kind == 1 && rng.Float64() < share })
					time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
				}
				settled := time.Now().Add(inForceWithin)
				for range 30 {
					time.Sleep(200 * time.Millisecond)
					m.checkVouched(fmt.Sprintf("seed %d, step %d", seed, step), time.Now().After(settled))
				}
				m.accept()
				time.Sleep(inForceWithin)
				m.checkVouched(fmt.Sprintf("seed %d, after step %d", seed, step), true)
				if age := m.oldestAssurance(everyNode); age >= assureWithin {
					t.Fatalf("seed %d, step %d: an assurance is %v old though all can run the newest version", seed, step, age)
				}
			}
		})
		if t.Failed() {
			return
		}
	}
}

// checkVouched checks the assurance of every node, and the version in force if it is due.
func (m *testMesh) checkVouched(when string, due bool) {
	m.t.Helper()
	for _, id := range m.ids {
		n := m.nodes[id]
		inForce := n.store.Load().Snapshot.Version().Number
		superseded, runsNewest := n.supersededAt(inForce)
		if superseded.IsZero() {
			continue
		}
		if due && runsNewest {
			m.t.Fatalf("%s: %s can run the newest version, and runs %d, superseded %v ago", when, id, inForce, time.Since(superseded))
		}
		if age, known := n.runner.AssuredAge(time.Now()); known && age < time.Since(superseded) {
			m.t.Fatalf("%s: %s runs version %d, superseded %v ago, with an assurance of %v", when, id, inForce, time.Since(superseded), age)
		}
	}
}

// notInForce is a store that refuses some versions.
type notInForce struct {
	*config.Store[int]
	n *meshNode
}

// Offer implements distribute.Store.
func (s notInForce) Offer(snap *config.Snapshot) (bool, error) {
	s.n.m.mu.Lock()
	refused := s.n.refuses[snap.Version().Number]
	s.n.m.mu.Unlock()
	if refused {
		return false, errRejected
	}
	return s.Store.Offer(snap)
}
