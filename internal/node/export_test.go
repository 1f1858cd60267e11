package node

import (
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
)

// AcceptVersion passes a version to a node as if the node had accepted it.
func (n *Node) AcceptVersion(d *config.Delta) { n.control.distributor.Accepted(d) }

// Snapshot returns the snapshot in force.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot() }

// ObservedRefusal returns the version that another node refused, as seen by this node.
func (n *Node) ObservedRefusal(vm string) (version uint64, reason string) {
	r := n.views.Load().Records[vm]
	if r == nil {
		return 0, ""
	}
	return r.RefusedVersion, r.RefusedReason
}

// BreakListener closes the node's socket for callers while it runs.
func BreakListener(n *Node) { n.ln.callers.Close() }

// GatesHaveClass reports whether every gate of the node is configured with the class.
func (n *Node) GatesHaveClass(class string) bool {
	for _, gate := range *n.calls.gates.byInstance.Load() {
		found := false
		for _, s := range gate.Stats(time.Now()) {
			found = found || s.Class == class
		}
		if !found {
			return false
		}
	}
	return true
}

// OfferSnapshot puts a version in force the way a received one is.
func (n *Node) OfferSnapshot(s *config.Snapshot) (bool, error) { return notifyingStore{n}.Offer(s) }

// AdvertisedRate returns the rate limit in force of this VM's backend server of a service.
func (n *Node) AdvertisedRate(service string) limit.AdvertisedRate {
	b, _ := backends{n.registry}.Find(service, "")
	return n.calls.gates.advertisedRate(b)
}
