package node_test

import (
	"testing"

	"github.com/marlpass/marlpass/internal/config"
)

// An operator states a new class with a share of a fifth. Entry nodes send its
// calls as soon as they run the version. For the next moments the destination's
// gate did not know the class, and ran its calls without share or priority: the
// gates followed the version only with the node's next refresh.
func TestGatesKnowAClassWithItsVersion(t *testing.T) {
	w := startMesh(t, 1, nil)
	w.hold(w.VMs[0])
	n := w.VMs[0].Node()
	for range 20 {
		bulk := *n.Snapshot().Targets()[0]
		bulk.Name += "x"
		bulk.Match.PathPrefix += "/" + bulk.Name
		next, _, err := n.Snapshot().Next([]config.Object{config.EncodeTarget(bulk)}, nil)
		w.must(err)
		if ok, err := n.OfferSnapshot(next); !ok {
			t.Fatal("the version is not in force:", err)
		}
		if !n.GatesHaveClass(bulk.Name) {
			t.Fatalf("version %d is in force, and a gate does not know %s", next.Version().Number, bulk.Name)
		}
	}
}
