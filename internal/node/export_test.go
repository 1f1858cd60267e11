package node

import "github.com/marlpass/marlpass/internal/config"

// Spread hands a version to a node as if it had been accepted there.
func (n *Node) Spread(d *config.Delta) { n.control.spread.Accepted(d) }

// Snapshot returns the snapshot in force.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot() }

// SeenRefusal returns which version this node knows another to have refused.
func (n *Node) SeenRefusal(vm string) (version uint64, reason string) {
	r := n.views.Load().Records[vm]
	if r == nil {
		return 0, ""
	}
	return r.Refused, r.RefusedReason
}
