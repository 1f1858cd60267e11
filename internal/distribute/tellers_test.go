package distribute

import (
	"fmt"
	"slices"
	"testing"

	"github.com/marlpass/marlpass/internal/membership"
)

// A node asks others whether they are there, and takes their answer for the promise to be
// told. If it asked nodes that tell somebody else, it would wait for a version that nobody
// brings, in a data centre in which everybody answers.
func TestTellersAreThoseThatTell(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 12, 34, 35, 66, 67, 240} {
		v := &membership.View{Records: make(map[string]*membership.ObservedRecord)}
		for i := range n {
			vm := membership.VM{ID: fmt.Sprint("n", i), DataCentre: "dc", LinkMbps: uint32(10 + i%3)}
			v.Records[vm.ID] = &membership.ObservedRecord{Record: membership.Record{VM: vm, State: membership.VMAlive}}
		}
		asked, most := make(map[string]int), make(map[string]int)
		for id := range v.Records {
			place := PositionOf(v, id, "dc")
			tellers, askers := place.Parents, place.MaxQueriers
			if IsFeeder(v, id, "dc") != (len(tellers) == 0) {
				t.Errorf("%d nodes: %s has the tellers %v, feeds: %v", n, id, tellers, IsFeeder(v, id, "dc"))
			}
			if len(tellers) == 0 {
				continue
			}
			if above := PositionOf(v, tellers[0], "dc"); place.Depth != above.Depth+1 {
				t.Errorf("%d nodes: %s is %d tells deep, %s above it %d", n, id, place.Depth, tellers[0], above.Depth)
			}
			asked[tellers[0]]++
			most[tellers[0]] = max(most[tellers[0]], askers)
			if !slices.Contains(PushTargets(v, tellers[0], "dc"), id) {
				t.Errorf("%d nodes: %s asks %s, which doesn't tell it", n, id, tellers[0])
			}
			if len(tellers) != 2 || tellers[0] == tellers[1] || slices.Contains(tellers, id) {
				t.Errorf("%d nodes: %s asks %v", n, id, tellers)
			}
		}
		for id, by := range asked {
			if by > most[id] || by > directTells {
				t.Errorf("%d nodes: %s is asked by %d, want %d at most", n, id, by, most[id])
			}
		}
	}
}
