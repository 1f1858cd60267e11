package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// Guards against a node that is restarted while the platform is empty and serves version 0
// although its peers hold version 8: it drew the one seed that was down each time, until it
// counted as the first node.
func TestEverySeedIsTriedBeforeBootstrap(t *testing.T) {
	seeds := []string{"10.0.0.7:7000", "10.0.0.8:7000"}
	cfg := DefaultConfig(VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"})
	cfg.Seeds = seeds
	for draw := range uint64(200) {
		s := New(cfg, epoch, rand.New(rand.NewPCG(1, draw)))
		s.AddContacts(epoch, []Contact{{ID: "vm-7", DataCentre: "dc-0", ControlAddr: seeds[0]}})
		asked := map[string]int{}
		for now := epoch; !s.Joined(); now = now.Add(tickInterval) {
			for _, out := range s.Tick(now) {
				if out.Kind == peerpb.Kind_KIND_JOIN {
					asked[out.Addr]++
				}
			}
		}
		for _, seed := range seeds {
			if asked[seed] == 0 {
				t.Errorf("draw %d: %s was not tried: %v", draw, seed, asked)
			}
		}
	}
}

// Guards against a node that restarts while the platform is down, without seeds or contact rows,
// and then knows no endpoint and refuses every call. Nodes that remember its address must
// contact it.
func TestRestartedNodeIsRediscovered(t *testing.T) {
	for _, how := range []string{"leaves", "crashes"} {
		alone := false
		w := newMesh(8, 2, func(c *Config) {
			*c = FastConvergence(*c)
			if alone {
				c.Seeds = nil
			}
		})
		w.run(20 * time.Second)
		v := w.nodes[3]
		if how == "leaves" {
			v.Leave(w.now)
			w.run(2 * time.Second)
		}
		v.up = false
		w.run(time.Second)
		alone = true
		w.start(v)
		if took, ok := w.runUntil(10*time.Second, w.converged); !ok {
			t.Errorf("a node that %s is not rediscovered within %v: %s", how, took, w.divergence())
		}
	}
}

// Guards against slow convergence after a data centre's nodes restart within 300 ms: each joined
// with a full state packed up to a second earlier, knew no endpoint for another second, and
// calls were lost meanwhile.
func TestMassRestartConvergesQuickly(t *testing.T) {
	var sum time.Duration
	const runs = 10
	for n := range runs {
		w := newMesh(10+n, 3, func(c *Config) { *c = FastConvergence(*c) })
		w.run(20 * time.Second)
		for _, v := range w.nodes {
			w.stop(v)
		}
		w.run(time.Second)
		for _, v := range w.nodes {
			w.after(time.Duration(w.rnd.Int64N(int64(300*time.Millisecond))), func() { w.start(v) })
		}
		w.run(300 * time.Millisecond)
		took, ok := w.runUntil(10*time.Second, w.converged)
		if !ok {
			t.Fatal(w.divergence())
		}
		sum += took
	}
	mean := sum / runs
	t.Logf("converged after %v in the mean", mean)
	if mean > 1500*time.Millisecond {
		t.Errorf("converged after %v in the mean", mean)
	}
}
