package distribute

import (
	"fmt"
	"slices"
	"testing"

	"github.com/marlpass/marlpass/internal/membership"
)

// Guards a node against waiting for a version that no node pushes to it, while every node it
// queries is reachable: it must query the nodes that push to it.
func TestParentsPushToTheirChildren(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 12, 34, 35, 66, 67, 240} {
		v := &membership.View{Records: make(map[string]*membership.ObservedRecord)}
		for i := range n {
			vm := membership.VM{ID: fmt.Sprint("n", i), DataCentre: "dc", LinkMbps: uint32(10 + i%3)}
			v.Records[vm.ID] = &membership.ObservedRecord{Record: membership.Record{VM: vm, State: membership.VMAlive}}
		}
		queriers, limit := make(map[string]int), make(map[string]int)
		for id := range v.Records {
			pos := PositionOf(v, id, "dc")
			parents, maxQueriers := pos.Parents, pos.MaxQueriers
			if IsFeeder(v, id, "dc") != (len(parents) == 0) {
				t.Errorf("%d nodes: %s has the parents %v, feeder: %v", n, id, parents, IsFeeder(v, id, "dc"))
			}
			if len(parents) == 0 {
				continue
			}
			if parent := PositionOf(v, parents[0], "dc"); pos.Depth != parent.Depth+1 {
				t.Errorf("%d nodes: %s has depth %d, its parent %s %d", n, id, pos.Depth, parents[0], parent.Depth)
			}
			queriers[parents[0]]++
			limit[parents[0]] = max(limit[parents[0]], maxQueriers)
			if !slices.Contains(PushTargets(v, parents[0], "dc"), id) {
				t.Errorf("%d nodes: %s queries %s, which does not push to it", n, id, parents[0])
			}
			if len(parents) != 2 || parents[0] == parents[1] || slices.Contains(parents, id) {
				t.Errorf("%d nodes: %s queries %v", n, id, parents)
			}
		}
		for id, got := range queriers {
			if got > limit[id] || got > maxDirectPushes {
				t.Errorf("%d nodes: %s is queried by %d, want at most %d", n, id, got, limit[id])
			}
		}
	}
}
