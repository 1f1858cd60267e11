package distribute

import (
	"fmt"
	"testing"

	"github.com/marlpass/marlpass/internal/membership"
)

// Guards a data centre whose feeders get no answer from the platform against running the previous
// version for over two seconds, because no other data centre pushed the newer one to it. One feeder
// of each data centre has to push a version to one feeder of each other.
func TestCrossDCTargetsCoverFirstFeeders(t *testing.T) {
	v := &membership.View{Records: map[string]*membership.ObservedRecord{}}
	for i := range 24 {
		id := fmt.Sprint("vm", i)
		v.Records[id] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: id, DataCentre: fmt.Sprint("dc", i%4)}, State: membership.VMAlive,
		}}
	}
	received := map[string]int{}
	pushers := 0
	for id, r := range v.Records {
		to := CrossDCTargets(v, id, r.VM.DataCentre)
		if len(to) == 0 {
			continue
		}
		pushers++
		for _, p := range to {
			received[p]++
			if dc := v.Records[p].VM.DataCentre; dc == r.VM.DataCentre || !IsFeeder(v, p, dc) {
				t.Errorf("%s of %s pushes to %s of %s", id, r.VM.DataCentre, p, dc)
			}
		}
	}
	if pushers != 4 || len(received) != 4 {
		t.Errorf("%d nodes push to %v", pushers, received)
	}
	for id, n := range received {
		if n != 3 {
			t.Errorf("%s receives pushes from %d nodes", id, n)
		}
	}
	if got := CrossDCTargets(nil, "vm1", "dc1"); got != nil {
		t.Errorf("without a view: %v", got)
	}
}
