package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// ServingState is what a node runs calls by at one moment.
type ServingState struct {
	// TakesCalls says that the node takes calls. It was read first.
	TakesCalls bool
	Snapshot   *config.Snapshot
	// ProgramVersion is the version that the program says it was compiled from.
	ProgramVersion config.Version
}

// ServingState returns what the node runs calls by.
func (n *Node) ServingState() ServingState {
	carries := n.takesCalls.Load()
	f := n.store.Load()
	return ServingState{TakesCalls: carries, Snapshot: f.Snapshot, ProgramVersion: f.Program.Version}
}

// Submit has the node take an operator's command, as its admin API does.
func (n *Node) Submit(ctx context.Context, cmd command.Command) command.Result {
	return n.control.commands.Submit(ctx, cmd)
}

// ControlBytes returns the bytes of the node's connections with other nodes,
// read and written, with HTTP and TLS.
func (n *Node) ControlBytes() (in, out uint64) { return n.control.peerMetrics.ConnectionBytes() }

// MembershipStats returns the counters of the membership.
func (n *Node) MembershipStats() membership.Stats { return n.control.members.Stats() }

// View returns the membership as the node knows it.
func (n *Node) View() *membership.View { return n.views.Load() }

// Incarnation returns the incarnation of this start of the node.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Conflicts returns the versions of other histories that the node saw.
func (n *Node) Conflicts() []*distribute.Conflict { return n.control.distributor.Conflicts() }
