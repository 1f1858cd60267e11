package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// What an operator would see: a node is restarted while the platform is empty, and
// serves by version 0 although its peers hold version 8. One of its seeds was down,
// and it happened to ask that one each time, until it took itself to be the first.
func TestEverySeedIsAskedBeforeANodeIsAlone(t *testing.T) {
	seeds := []string{"10.0.0.7:7000", "10.0.0.8:7000"}
	cfg := DefaultConfig(VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"})
	cfg.Seeds = seeds
	for draw := range uint64(200) {
		s := New(cfg, epoch, rand.New(rand.NewPCG(1, draw)))
		s.AddContacts(epoch, []Contact{{ID: "vm-7", DataCentre: "dc-0", ControlAddr: seeds[0]}})
		asked := map[string]int{}
		for now := epoch; !s.Joined(); now = now.Add(tickEvery) {
			for _, out := range s.Tick(now) {
				if out.Kind == peerpb.Kind_KIND_JOIN {
					asked[out.Addr]++
				}
			}
		}
		for _, seed := range seeds {
			if asked[seed] == 0 {
				t.Errorf("draw %d: %s was not asked: %v", draw, seed, asked)
			}
		}
	}
}

// A rolling restart stops a node while the platform is down. It starts again at
// its address with nobody to ask: no seeds, and no rows of contacts. It knew no
// endpoint and refused every call until the platform was back. Those that
// remember its address have to find it.
func TestRestartedNodeIsFoundByTheOthers(t *testing.T) {
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
		if took, ok := w.runUntil(10*time.Second, w.settled); !ok {
			t.Errorf("a node that %s is not found within %v: %s", how, took, w.unsettled())
		}
	}
}

// A data centre's worth of nodes lose power and come back within 300 ms. Each was let
// in with a full state that had been packed up to a second before, when hardly anybody
// was back, and knew the others a second later: meanwhile the work that it took was
// lost, since it knew no endpoint of the services that the work called.
func TestHerdThatStartsTogetherKnowsItselfAtOnce(t *testing.T) {
	var sum time.Duration
	const herds = 10
	for n := range herds {
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
		took, ok := w.runUntil(10*time.Second, w.settled)
		if !ok {
			t.Fatal(w.unsettled())
		}
		sum += took
	}
	mean := sum / herds
	t.Logf("after %v in the mean", mean)
	if mean > 1500*time.Millisecond {
		t.Errorf("the herd knew itself after %v in the mean", mean)
	}
}
