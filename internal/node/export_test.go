package node

import (
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// AcceptVersion hands a version to a node as if it had been accepted there.
func (n *Node) AcceptVersion(d *config.Delta) { n.control.spread.Accepted(d) }

// Snapshot returns the snapshot in force.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot() }

// ObservedRefusal returns which version this node knows another to have refused.
func (n *Node) ObservedRefusal(vm string) (version uint64, reason string) {
	r := n.views.Load().Records[vm]
	if r == nil {
		return 0, ""
	}
	return r.RefusedVersion, r.RefusedReason
}

// BreakListener closes the socket for callers under the node's feet.
func BreakListener(n *Node) { n.ln.callers.Close() }

// GatesHaveClass reports whether every gate of the node knows the class.
func (n *Node) GatesHaveClass(class string) bool {
	for _, gate := range *n.calls.gates.byInstance.Load() {
		known := false
		for _, s := range gate.Stats(time.Now()) {
			known = known || s.Class == class
		}
		if !known {
			return false
		}
	}
	return true
}

// OfferSnapshot puts a version in force as the spreading does.
func (n *Node) OfferSnapshot(s *config.Snapshot) (bool, error) { return wakingStore{n}.Offer(s) }
