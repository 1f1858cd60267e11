package node

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/membership"
)

// maxViewLines bounds the log lines about single nodes per view. While a mesh starts, or a data
// centre is lost or returns, hundreds of nodes change at once, and each node would log all others.
const maxViewLines = 12

// viewChange is a node that differs between two views.
type viewChange struct {
	peer     string
	now, was *membership.ObservedRecord // nil where it is not in that view
}

// viewChanges returns the nodes other than self that were added, removed or changed, by ID.
func viewChanges(self string, old, now *membership.View) []viewChange {
	var out []viewChange
	for id, r := range now.Records {
		was := old.Records[id]
		if id == self || was != nil && was.State == r.State && was.VM.Incarnation == r.VM.Incarnation {
			continue
		}
		out = append(out, viewChange{id, r, was})
	}
	for id, was := range old.Records {
		if now.Records[id] == nil && id != self {
			out = append(out, viewChange{id, nil, was})
		}
	}
	slices.SortFunc(out, func(a, b viewChange) int { return cmp.Compare(a.peer, b.peer) })
	return out
}

// logView logs which other nodes were added, removed or changed: one line per node, and the counts
// when there are more than maxViewLines.
func (n *Node) logView(old, now *membership.View) {
	if old == nil {
		old = &membership.View{}
	}
	log := n.log.With().Str("part", "membership").Logger()
	changes := viewChanges(n.self.ID, old, now)
	for _, c := range changes[:min(len(changes), maxViewLines)] {
		c.write(log)
	}
	if more := len(changes) - maxViewLines; more > 0 {
		added, removed, changed := countChanges(changes)
		log.Info().Int("came", added).Int("gone", removed).Int("changed", changed).Int("left_out", more).
			Int("nodes", len(now.Records)).Msg("membership: many nodes are new, gone or changed")
	}
}

func (c viewChange) write(log zerolog.Logger) {
	if c.now == nil {
		log.Info().Str("peer", c.peer).Str("was", c.was.State.String()).Msg("membership: a node is gone")
		return
	}
	log.Info().Str("peer", c.peer).Str("state", c.now.State.String()).
		Uint64("incarnation", c.now.VM.Incarnation).Msg("membership: a node is new or changed")
}

func countChanges(changes []viewChange) (added, removed, changed int) {
	for _, c := range changes {
		switch {
		case c.was == nil:
			added++
		case c.now == nil:
			removed++
		default:
			changed++
		}
	}
	return added, removed, changed
}
