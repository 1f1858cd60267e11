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

// trouble is what happens to the model's mesh at one tick.
type trouble struct {
	m *model
	t *rapid.T
}

// pick draws a server.
func (x trouble) pick() *modelServer {
	return x.m.servers[rapid.IntRange(0, len(x.m.servers)-1).Draw(x.t, "server")]
}

func (x trouble) happen() {
	switch rapid.SampledFrom([]string{"", "", "", "", "lose", "return", "cut", "heal", "restart"}).Draw(x.t, "event") {
	case "lose":
		x.m.conductor = nil
	case "return":
		if x.m.conductor == nil {
			x.m.conduct()
		}
	case "cut":
		x.pick().Reachable = false
	case "heal":
		x.pick().Reachable = true
	case "restart":
		s := x.pick()
		s.guard, s.tally = AdmissionController{}, new(Tally)
		s.guard.ApplyTable(x.m.now, x.m.order, x.m.record)
	}
}

// Guards against any order of lost conductors, nodes cut off and nodes restarted by which a bad
// version gets more than its part or is promoted, calls at nodes in reach are cut off, or one
// verdict follows another.
func TestPromisesUnderTrouble(t *testing.T) {
	verdicts := map[Phase]int{}
	rapid.Check(t, func(t *rapid.T) {
		var bad *fault
		if rapid.Bool().Draw(t, "bad") {
			bad = &faults[0]
		}
		m := newModel(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), 19, 400, 14*time.Second, bad)
		m.conduct()
		var verdict Phase
		for m.now.Sub(m.begin) < m.order.TimeLimit+2*m.set.FinishReserve {
			trouble{m, t}.happen()
			m.tick()
			if verdict.Final() && m.record.Phase != verdict {
				t.Fatalf("%s after %s", m.record.Phase, verdict)
			}
			verdict = m.record.Phase
		}
		verdicts[verdict]++
		if m.cut > 0 {
			t.Fatalf("%d calls cut off", m.cut)
		}
		part := float64(m.exposed) / float64(m.total)
		if bad != nil && (verdict == Completed || part > exposure || m.late > 0) {
			t.Fatalf("%s, the bad version got %.3f of the calls, %d too late", verdict, part, m.late)
		}
	})
	if verdicts[Completed] == 0 || verdicts[RolledBack] == 0 {
		t.Errorf("the property met too little: %v", verdicts)
	}
	t.Logf("%v", verdicts)
}
