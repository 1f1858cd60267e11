package retry

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
)

// meshModel models nodes with services that call each other in a chain. Every class is sent to three
// backend servers at most.
type meshModel struct {
	bound    MeshBound
	rng      *rand.Rand
	now      time.Duration
	policies [][]*Policy // by node and service
	fanOut   []int       // nested calls of a run, by service
	// first and again are the chances of a rejection of a first and a later attempt.
	first, again float64
	calls, extra [][]time.Duration // by service; extra are the arrivals beyond the first, and inherited calls
	refused      int               // inherited calls that the budget didn't allow
}

func newMeshModel(bound MeshBound, nodes int, fanOut []int, seed uint64) *meshModel {
	m := &meshModel{bound: bound, rng: rand.New(rand.NewPCG(2, seed)), fanOut: fanOut}
	for n := range nodes {
		var ps []*Policy
		for s := range fanOut {
			p := New(Options{Rand: newSeeded(uint64(n*10 + s)), ChargeReachedOnly: true, RandomRejections: true, MaxAttempts: 6})
			p.SetLimits(bound.Limits(nodes))
			ps = append(ps, p)
		}
		m.policies = append(m.policies, ps)
	}
	m.calls, m.extra = make([][]time.Duration, len(fanOut)), make([][]time.Duration, len(fanOut))
	return m
}

// call makes a call at a node. retried is set if it comes from a run that was itself a retry.
func (m *meshModel) call(node, service int, retried bool) {
	p, now := m.policies[node][service], start.Add(m.now)
	if retried {
		if !p.RecordInherited(now) {
			m.refused++
			return
		}
		m.extra[service] = append(m.extra[service], m.now)
	} else {
		p.RecordCallAt(now)
		m.calls[service] = append(m.calls[service], m.now)
	}
	for attempt := 1; ; attempt++ {
		rejected := m.first
		if attempt > 1 {
			rejected = m.again
			m.extra[service] = append(m.extra[service], m.now)
		}
		if m.rng.Float64() >= rejected {
			for range m.fanOut[service] {
				m.call(m.rng.IntN(len(m.policies)), service+1, retried || attempt > 1)
			}
			return
		}
		d := p.Decide(Input{
			Now: now, Outcome: call.NotRun, Attempt: attempt, Reached: attempt, MaxReached: 3, Remaining: time.Second,
			Refusal: refusal(call.ReasonBackend), SlotsFree: true, Priority: 1 + m.rng.IntN(9), BodyReplayable: true,
			Overdue: m.rng.IntN(2) == 0, ParentRetried: retried,
		})
		if !d.Retry {
			return
		}
	}
}

// excess returns by how much the retries of a service exceed the bound in the worst window. The
// times are in ascending order.
func (m MeshBound) excess(calls, extra []time.Duration) (worst float64) {
	between := func(times []time.Duration, from, to time.Duration) float64 {
		at := func(t time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= t }) }
		return float64(at(to) - at(from))
	}
	window := m.Window
	for _, t := range extra {
		for _, from := range []time.Duration{t, t - window + 1} {
			n := max(between(calls, from, from+window), between(calls, from-window/2, from+window/2), between(calls, from-window, from))
			worst = max(worst, between(extra, from, from+window)-m.Ratio*n-m.Slack)
		}
	}
	return worst
}

// Guards against nodes that together make more retries than the settings allow in some window: with
// budgets filled long before, with bursts and floors of many nodes, with services whose retried runs
// repeat their nested calls, and with waves in which first attempts fail and later ones succeed.
func TestMeshBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		bound := MeshBound{
			Ratio: 0.2, Slack: float64(nodes) * rapid.Float64Range(0, 6).Draw(t, "slack of a node"),
			Window: 10 * time.Second, InheritedKnown: rapid.Bool().Draw(t, "inherited known"),
		}
		fanOut := make([]int, rapid.IntRange(1, 3).Draw(t, "services"))
		// Where inherited retries are unknown, they aren't charged.
		for s := range fanOut[1:] {
			if bound.InheritedKnown {
				fanOut[s] = rapid.IntRange(0, 3).Draw(t, "fan-out")
			}
		}
		m := newMeshModel(bound, nodes, fanOut, rapid.Uint64().Draw(t, "seed"))
		chance := rapid.SampledFrom([]float64{0, 0.55, 1})
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			length := rapid.SampledFrom([]time.Duration{time.Second / 10, time.Second, 5 * time.Second, 12 * time.Second}).Draw(t, "length")
			calls := nodes * rapid.SampledFrom([]int{0, 1, 4, 20, 100}).Draw(t, "calls of a node")
			m.first, m.again = chance.Draw(t, "rejected"), chance.Draw(t, "rejected again")
			for range calls {
				m.now += length / time.Duration(calls)
				m.call(m.rng.IntN(nodes), m.rng.IntN(len(fanOut)), false)
			}
			if calls == 0 {
				m.now += length
			}
		}
		for s := range fanOut {
			if over := bound.excess(m.calls[s], m.extra[s]); over > 1e-6 {
				t.Fatalf("service %d: %.1f retries above the bound, limits %+v", s, over, bound.Limits(nodes))
			}
		}
	})
}
