package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// ServingState is the state that a node serves calls with at one moment.
type ServingState struct {
	// TakesCalls reports whether the node takes calls. It is read before the other fields.
	TakesCalls bool
	Snapshot   *config.Snapshot
	// ProgramVersion is the version that the program was compiled from.
	ProgramVersion config.Version
}

// ServingState returns the state that the node serves calls with.
func (n *Node) ServingState() ServingState {
	takesCalls := n.takesCalls.Load()
	f := n.store.Load()
	return ServingState{TakesCalls: takesCalls, Snapshot: f.Snapshot, ProgramVersion: f.Program.Version}
}

// Submit submits an operator's command at the node, as its admin API does.
func (n *Node) Submit(ctx context.Context, cmd command.Command) command.Result {
	return n.control.commands.Submit(ctx, cmd)
}

// ControlBytes returns the bytes received and sent on the node's connections with other nodes,
// including HTTP and TLS.
func (n *Node) ControlBytes() (in, out uint64) { return n.control.peerMetrics.ConnectionBytes() }

// MembershipStats returns the counters of the membership.
func (n *Node) MembershipStats() membership.Stats { return n.control.members.Stats() }

// View returns the membership as this node sees it.
func (n *Node) View() *membership.View { return n.views.Load() }

// Incarnation returns the incarnation of this run of the node.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Conflicts returns the versions of other histories that the node saw.
func (n *Node) Conflicts() []*distribute.Conflict { return n.control.distributor.Conflicts() }
