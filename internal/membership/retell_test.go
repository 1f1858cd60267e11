package membership

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// What an operator would see: minutes after a whole mesh was started, each node
// still spends four times the control bytes that it should. All records are
// new to all nodes at once, and each node goes on telling every one of them to
// peers that have long had it.
func TestAgreeingPeersStopTelling(t *testing.T) {
	w := newMesh(120, 3, nil)
	w.mustSettle(t, time.Minute)
	w.run(time.Minute)
	told := 0
	w.delivered = func(_ *vm, m *peerpb.Membership) { told += len(m.GetRecords()) }
	w.run(10 * time.Second)
	if told > 0 {
		t.Errorf("%d records told to peers that hold them", told)
	}
}
