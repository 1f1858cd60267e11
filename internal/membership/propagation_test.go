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
func TestConvergedPeersSendNoRecords(t *testing.T) {
	w := newMesh(120, 3, nil)
	w.mustConverge(t, time.Minute)
	w.run(time.Minute)
	sent := 0
	w.delivered = func(_ *vm, m *peerpb.Membership) { sent += len(m.GetRecords()) }
	w.run(10 * time.Second)
	if sent > 0 {
		t.Errorf("%d records told to peers that hold them", sent)
	}
}

// What an operator would see: a data centre's nodes come back at once, and for
// half a minute the other region calls them where they no longer are. The
// records cross by two bridges, ten with each of their slow exchanges. And a
// returned node that another one of the herd let in lacks whole data centres,
// which it makes good one at a time.
func TestMassRestartReachesOtherRegions(t *testing.T) {
	w := newMesh(120, 4, nil)
	w.mustConverge(t, time.Minute)
	w.run(time.Minute)
	var herd []*vm
	for _, v := range w.nodes {
		if v.info.DataCentre == "dc-0" && len(herd) < 22 {
			herd = append(herd, v)
			w.stop(v)
		}
	}
	w.run(3 * time.Second)
	for _, v := range herd {
		w.start(v)
	}
	// Exchanges with the other region are up to 15 s apart.
	if _, ok := w.runUntil(12*time.Second, w.converged); !ok {
		t.Errorf("12 s later: %s", w.divergence())
	}
}
