package distribute

import (
	"cmp"
	"slices"

	"github.com/marlpass/marlpass/internal/membership"
)

// IsFeeder reports whether self is one of the nodes of data centre dc that read the platform for
// the others.
func IsFeeder(v *membership.View, self, dc string) bool {
	order := feederOrder(v, self, dc)
	return slices.Contains(order[:min(feedersPerDC, len(order))], self)
}

// feederOrder returns the nodes of data centre dc, its feeders first.
func feederOrder(v *membership.View, self, dc string) []string {
	ids, _ := feederCandidates(v, self, dc)
	return sortByLink(v, ranked("feeder/"+dc+"/", ids))
}

// Position is a node's position in the distribution order of its data centre.
type Position struct {
	// Rank is the node's index in the order in which nodes read the platform. The first two are the
	// feeders.
	Rank    int
	Feeders []string
	// Parents are the nodes that push versions to this one, in the order in which it checks that
	// they are reachable. They are the two feeders, whose order every other node reverses; below
	// the first level of the tree, the parent and then a feeder. A feeder has none.
	Parents []string
	// MaxQueriers is the maximum number of nodes that query the first parent.
	MaxQueriers int
	// Depth is the number of pushes that a version takes from a feeder to this node.
	Depth int
}

// PositionOf returns the position of self in data centre dc.
func PositionOf(v *membership.View, self, dc string) Position {
	order := feederOrder(v, self, dc)
	p := Position{Rank: slices.Index(order, self), Feeders: order[:min(feedersPerDC, len(order))]}
	if p.Rank < feedersPerDC {
		return p
	}
	p.Parents = slices.Clone(p.Feeders)
	if p.Rank%2 == 1 {
		slices.Reverse(p.Parents)
	}
	if p.Depth = depth(p.Rank); p.Depth > 1 {
		p.Parents = []string{order[parentRank(p.Rank)], p.Parents[0]}
		p.MaxQueriers = maxDirectPushes
		return p
	}
	direct := min(len(order)-feedersPerDC, maxDirectPushes)
	p.MaxQueriers = (direct + 1) / 2
	return p
}

// parentRank returns the rank of the parent of a node to which the feeders do not push directly.
func parentRank(rank int) int { return (rank-feedersPerDC)/maxDirectPushes + 1 }

func depth(rank int) int {
	switch {
	case rank < feedersPerDC:
		return 0
	case rank < feedersPerDC+maxDirectPushes:
		return 1
	}
	return 1 + depth(parentRank(rank))
}

// sortByLink sorts the nodes by link speed, fastest first. Feeders read every version whole, some
// hundred kilobytes, and push to all others; over a 5 Mbit/s link each read takes half a second, in
// which calls over that link stall.
func sortByLink(v *membership.View, order []string) []string {
	link := func(id string) uint32 {
		if v == nil || v.Records[id] == nil {
			return 0
		}
		return v.Records[id].VM.LinkMbps
	}
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(link(b), link(a)) })
	return order
}

// maxDirectPushes is the number of nodes of a data centre to which one node pushes directly. In
// larger data centres a tree forwards versions, so that no node pushes to more.
const maxDirectPushes = 32

// PushTargets returns the nodes of data centre dc to which self pushes a version once it holds it.
// A feeder pushes to all others, or to the first level of the tree in a large data centre; in such
// a tree every other node pushes to its children. Nodes with different views get slightly different
// trees; a node that is missed learns of the version from the membership.
func PushTargets(v *membership.View, self, dc string) []string {
	ids := liveByDC(v, self, dc)[dc]
	order := sortByLink(v, ranked("feeder/"+dc+"/", ids))
	rank := slices.Index(order, self)
	if len(order) <= maxDirectPushes+feedersPerDC {
		if rank >= feedersPerDC {
			return nil
		}
		return slices.Delete(slices.Clone(order), rank, rank+1)
	}
	// Both feeders are at the root, each as a replacement for the other.
	if rank < feedersPerDC {
		otherFeeder := slices.Delete(slices.Clone(order[:feedersPerDC]), rank, rank+1)
		return append(otherFeeder, order[feedersPerDC:feedersPerDC+maxDirectPushes]...)
	}
	below := (rank-feedersPerDC+1)*maxDirectPushes + feedersPerDC
	return order[min(below, len(order)):min(below+maxDirectPushes, len(order))]
}

// CrossDCTargets returns the first feeder of every other data centre, if self is the first feeder
// of dc. They receive only the version, not the changes: each reads those itself.
//
// It guards against a data centre whose feeders get no answer from the platform while all others
// do. Such feeders do not know yet that their reads fail, and would learn of a version only from
// the exchanges between data centres, some seconds apart. With the push, they pull it as soon as it
// is overdue.
func CrossDCTargets(v *membership.View, self, dc string) []string {
	if feederOrder(v, self, dc)[0] != self {
		return nil
	}
	return FirstFeeders(v, self, dc)
}

// Readers returns the nodes that read the platform for the feeders of all data centres: the leader
// and, if there is one, its deputy. They are the first feeders with the fastest links, or the
// feeders of the only data centre.
func Readers(v *membership.View, self, dc string) []string {
	order := feederOrder(v, self, dc)
	firsts := append(FirstFeeders(v, self, dc), order[0])
	if len(firsts) == 1 {
		return order[:min(platformReaders, len(order))]
	}
	return sortByLink(v, ranked("reader/", firsts))[:platformReaders]
}

// platformReaders is the number of nodes of a mesh that read the platform while it answers them.
const platformReaders = 2

// OtherFeeders returns the feeders of all data centres but dc.
func OtherFeeders(v *membership.View, self, dc string) []string {
	var out []string
	for other, ids := range liveByDC(v, self, dc) {
		if other == dc {
			continue
		}
		order := sortByLink(v, ranked("feeder/"+other+"/", ids))
		out = append(out, order[:min(feedersPerDC, len(order))]...)
	}
	slices.Sort(out)
	return out
}

// FirstFeeders returns the first feeder of each data centre other than dc.
func FirstFeeders(v *membership.View, self, dc string) []string {
	var out []string
	for other, ids := range liveByDC(v, self, dc) {
		if other != dc {
			out = append(out, sortByLink(v, ranked("feeder/"+other+"/", ids))[0])
		}
	}
	slices.Sort(out)
	return out
}
