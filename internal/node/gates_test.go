package node_test

import (
	"testing"

	"github.com/marlpass/marlpass/internal/config"
)

// Guards against gates that are configured only at the refresh after a version comes into
// force. Entry nodes send calls of a new class as soon as they run its version, and a gate
// without the class ran them with no share or priority.
func TestGatesAreConfiguredWithTheVersion(t *testing.T) {
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
			t.Fatalf("version %d is in force, and a gate lacks class %s", next.Version().Number, bulk.Name)
		}
	}
}
