package distribute

import (
	"cmp"
	"slices"

	"github.com/marlpass/marlpass/internal/membership"
)

// IsFeeder reports whether self is one of the nodes of data centre dc that read the
// platform for the others.
func IsFeeder(v *membership.View, self, dc string) bool {
	order := feederOrder(v, self, dc)
	return slices.Contains(order[:min(feedersPerDC, len(order))], self)
}

// feederOrder returns the nodes of data centre dc, its feeders first.
func feederOrder(v *membership.View, self, dc string) []string {
	ids, _ := feederChoice(v, self, dc)
	return byLink(v, ranked("feeder/"+dc+"/", ids))
}

// Position is where a node stands among those of its data centre by which versions come to it.
type Position struct {
	// Rank is the node's place in the order in which nodes are to read the platform. The first
	// two are the feeders.
	Rank    int
	Feeders []string
	// Parents are the nodes that this one depends on for versions, in the order in which it asks
	// them whether they are there. They are the feeders, which half of the nodes ask the other
	// way about; in a tree the node above, then a feeder. A feeder has none.
	Parents []string
	// MaxQueriers is how many nodes at most ask the first teller.
	MaxQueriers int
	// Depth is how many tells a version takes from a feeder to this node.
	Depth int
}

// PositionOf returns the place of self in data centre dc.
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
		p.Parents = []string{order[above(p.Rank)], p.Parents[0]}
		p.MaxQueriers = directTells
		return p
	}
	told := min(len(order)-feedersPerDC, directTells)
	p.MaxQueriers = (told + 1) / 2
	return p
}

// above returns the rank of the node that tells the one of a rank over those that the feeders
// tell by themselves.
func above(rank int) int { return (rank-feedersPerDC)/directTells + 1 }

func depth(rank int) int {
	switch {
	case rank < feedersPerDC:
		return 0
	case rank < feedersPerDC+directTells:
		return 1
	}
	return 1 + depth(above(rank))
}

// byLink puts the nodes with the fastest links first. Feeders read every version
// whole, some hundred kilobytes, and tell all others; over a link of 5 Mbit/s each
// read takes half a second, in which the calls there stand still.
func byLink(v *membership.View, order []string) []string {
	link := func(id string) uint32 {
		if v == nil || v.Records[id] == nil {
			return 0
		}
		return v.Records[id].VM.LinkMbps
	}
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(link(b), link(a)) })
	return order
}

// directTells is how many nodes of a data centre a feeder tells by itself. In
// larger ones a tree passes a version on, so that no node sends more than these.
const directTells = 32

// PushTargets returns the nodes of data centre dc that self tells of a version once it
// holds it: a feeder all others, or the upper part of a tree where they are many,
// and in such a tree every other node those below it. Nodes whose views differ get
// slightly different trees; whoever is missed hears by the membership.
func PushTargets(v *membership.View, self, dc string) []string {
	ids := live(v, self, dc)[dc]
	order := byLink(v, ranked("feeder/"+dc+"/", ids))
	at := slices.Index(order, self)
	if len(order) <= directTells+feedersPerDC {
		if at >= feedersPerDC {
			return nil
		}
		return slices.Delete(slices.Clone(order), at, at+1)
	}
	// Both feeders stand at the root, one in place of the other.
	if at < feedersPerDC {
		other := slices.Delete(slices.Clone(order[:feedersPerDC]), at, at+1)
		return append(other, order[feedersPerDC:feedersPerDC+directTells]...)
	}
	below := (at-feedersPerDC+1)*directTells + feedersPerDC
	return order[min(below, len(order)):min(below+directTells, len(order))]
}

// CrossDCTargets returns the first feeder of each other data centre, if self is that of dc. They
// are told that there is a version, and not what has changed: each reads it by itself.
//
// It guards against a data centre whose feeders the platform keeps waiting, while it answers
// all others. Such feeders don't know yet that they can't read, and hear of a version only by
// the exchanges between data centres, some seconds apart. Told at once, they pull it as soon
// as it is overdue.
func CrossDCTargets(v *membership.View, self, dc string) []string {
	if feederOrder(v, self, dc)[0] != self {
		return nil
	}
	return FirstFeeders(v, self, dc)
}

// Readers returns the nodes that read the platform for the feeders of all data centres: the one
// that leads, and its deputy, if there is one. They are first feeders, those with the fastest
// links; in a mesh of one data centre its feeders.
func Readers(v *membership.View, self, dc string) []string {
	order := feederOrder(v, self, dc)
	firsts := append(FirstFeeders(v, self, dc), order[0])
	if len(firsts) == 1 {
		return order[:min(readersInAll, len(order))]
	}
	return byLink(v, ranked("reader/", firsts))[:readersInAll]
}

// readersInAll is how many nodes of a mesh read the platform while it answers them.
const readersInAll = 2

// OtherFeeders returns the feeders of all data centres but dc.
func OtherFeeders(v *membership.View, self, dc string) []string {
	var out []string
	for other, ids := range live(v, self, dc) {
		if other == dc {
			continue
		}
		order := byLink(v, ranked("feeder/"+other+"/", ids))
		out = append(out, order[:min(feedersPerDC, len(order))]...)
	}
	slices.Sort(out)
	return out
}

// FirstFeeders returns the first feeder of each data centre other than dc.
func FirstFeeders(v *membership.View, self, dc string) []string {
	var out []string
	for other, ids := range live(v, self, dc) {
		if other != dc {
			out = append(out, byLink(v, ranked("feeder/"+other+"/", ids))[0])
		}
	}
	slices.Sort(out)
	return out
}
