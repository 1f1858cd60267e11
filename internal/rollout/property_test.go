package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Flags{"rapid.checks": "150", "rapid.nofailfile": "true"})
}

// faultInjector injects a fault into the model at each tick.
type faultInjector struct {
	m *model
	t *rapid.T
}

// pick draws a server.
func (x faultInjector) pick() *modelServer {
	return x.m.servers[rapid.IntRange(0, len(x.m.servers)-1).Draw(x.t, "server")]
}

func (x faultInjector) inject() {
	switch rapid.SampledFrom([]string{"", "", "", "", "lose", "return", "cut", "heal", "restart"}).Draw(x.t, "event") {
	case "lose":
		x.m.coordinator = nil
	case "return":
		if x.m.coordinator == nil {
			x.m.startCoordinator()
		}
	case "cut":
		x.pick().Reachable = false
	case "heal":
		x.pick().Reachable = true
	case "restart":
		s := x.pick()
		s.controller, s.tally = AdmissionController{}, new(Tally)
		s.controller.ApplyTable(x.m.now, x.m.order, x.m.record)
	}
}

// Guards against any sequence of lost coordinators, partitioned nodes and restarted nodes by which
// a bad version gets more than its share or is promoted, calls at reachable nodes are interrupted,
// or one final phase follows another.
func TestInvariantsUnderFaults(t *testing.T) {
	verdicts := map[Phase]int{}
	rapid.Check(t, func(t *rapid.T) {
		var bad *fault
		if rapid.Bool().Draw(t, "bad") {
			bad = &faults[0]
		}
		m := newModel(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), 19, 400, 14*time.Second, bad)
		m.startCoordinator()
		var verdict Phase
		for m.now.Sub(m.startedAt) < m.order.TimeLimit+2*m.set.FinishReserve {
			faultInjector{m, t}.inject()
			m.tick()
			if verdict.Final() && m.record.Phase != verdict {
				t.Fatalf("%s after %s", m.record.Phase, verdict)
			}
			verdict = m.record.Phase
		}
		verdicts[verdict]++
		if m.cutCalls > 0 {
			t.Fatalf("%d calls interrupted", m.cutCalls)
		}
		part := float64(m.exposed) / float64(m.total)
		if bad != nil && (verdict == Completed || part > maxExposure || m.lateCalls > 0) {
			t.Fatalf("%s, the bad version was exposed to %.3f of the calls, %d after the rollback bound", verdict, part, m.lateCalls)
		}
	})
	if verdicts[Completed] == 0 || verdicts[RolledBack] == 0 {
		t.Errorf("the runs cover too few outcomes: %v", verdicts)
	}
	t.Logf("%v", verdicts)
}
