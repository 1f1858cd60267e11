package node

import (
	"github.com/marlpass/marlpass/internal/membership"
)

// logView tells which other nodes came, went or changed their state.
func (n *Node) logView(old, now *membership.View) {
	if old == nil {
		old = &membership.View{}
	}
	for id, r := range now.Records {
		was := old.Records[id]
		if id == n.self.ID || was != nil && was.State == r.State && was.VM.Incarnation == r.VM.Incarnation {
			continue
		}
		n.log.Info().Str("part", "membership").Str("peer", id).Str("state", r.State.String()).
			Uint64("incarnation", r.VM.Incarnation).Msg("membership: a node is new or changed")
	}
	for id, was := range old.Records {
		if now.Records[id] == nil && id != n.self.ID {
			n.log.Info().Str("part", "membership").Str("peer", id).Str("was", was.State.String()).
				Msg("membership: a node is gone")
		}
	}
}
