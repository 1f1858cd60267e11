package membership

import (
	"math/rand/v2"
	"testing"

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
