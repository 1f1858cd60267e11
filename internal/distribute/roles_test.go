package distribute

import (
	"fmt"
	"testing"

	"github.com/marlpass/marlpass/internal/membership"
)

// The platform keeps both feeders of a data centre waiting, and answers all others. No other
// data centre told them of a version, so its nodes ran by the one before for over two seconds.
// One feeder of each data centre has to mention a version to one of each other.
func TestFeedersMentionAVersionElsewhere(t *testing.T) {
	v := &membership.View{Records: map[string]*membership.ObservedRecord{}}
	for i := range 24 {
		id := fmt.Sprint("vm", i)
		v.Records[id] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: id, DataCentre: fmt.Sprint("dc", i%4)}, State: membership.VMAlive,
		}}
	}
	heard := map[string]int{}
	tellers := 0
	for id, r := range v.Records {
		to := CrossDCTargets(v, id, r.VM.DataCentre)
		if len(to) == 0 {
			continue
		}
		tellers++
		for _, p := range to {
			heard[p]++
			if its := v.Records[p].VM.DataCentre; its == r.VM.DataCentre || !IsFeeder(v, p, its) {
				t.Errorf("%s of %s tells %s of %s", id, r.VM.DataCentre, p, its)
			}
		}
	}
	if tellers != 4 || len(heard) != 4 {
		t.Errorf("%d tell %v", tellers, heard)
	}
	for id, n := range heard {
		if n != 3 {
			t.Errorf("%s is told by %d", id, n)
		}
	}
	if got := CrossDCTargets(nil, "vm1", "dc1"); got != nil {
		t.Errorf("alone: %v", got)
	}
}
