package membership

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// Guards against a mesh that uses four times its normal control bytes for minutes after a full
// start: all records are new to all nodes, and each node keeps sending them to peers that
// already hold them.
func TestConvergedPeersSendNoRecords(t *testing.T) {
	w := newMesh(120, 3, nil)
	w.mustConverge(t, time.Minute)
	w.run(time.Minute)
	sent := 0
	w.delivered = func(_ *vm, m *peerpb.Membership) { sent += len(m.GetRecords()) }
	w.run(10 * time.Second)
	if sent > 0 {
		t.Errorf("%d records sent to peers that hold them", sent)
	}
}

// Guards against stale addresses in the other region for half a minute after many nodes of a
// data centre restart. Records crossed between two bridges at ten per slow exchange, and a node
// that joined through another restarted one synced its missing data centres one at a time.
func TestMassRestartReachesOtherRegions(t *testing.T) {
	w := newMesh(120, 4, nil)
	w.mustConverge(t, time.Minute)
	w.run(time.Minute)
	var restarted []*vm
	for _, v := range w.nodes {
		if v.info.DataCentre == "dc-0" && len(restarted) < 22 {
			restarted = append(restarted, v)
			w.stop(v)
		}
	}
	w.run(3 * time.Second)
	for _, v := range restarted {
		w.start(v)
	}
	// Exchanges with the other region are up to 15 s apart.
	if _, ok := w.runUntil(12*time.Second, w.converged); !ok {
		t.Errorf("12 s later: %s", w.divergence())
	}
}
