package distribute

import (
	"cmp"
	"slices"

	"github.com/marlpass/marlpass/internal/membership"
)

// Feeds reports whether self is one of the nodes of data centre dc that read the
// platform for the others.
func Feeds(v *membership.View, self, dc string) bool {
	order := feederOrder(v, self, dc)
	return slices.Contains(order[:min(feedersPerDC, len(order))], self)
}

// feederOrder returns the nodes of data centre dc, its feeders first.
func feederOrder(v *membership.View, self, dc string) []string {
	ids, _ := feederChoice(v, self, dc)
	return byLink(v, ranked("feeder/"+dc+"/", ids))
}

// Tellers returns the nodes that self depends on for versions, in the order in which it asks
// them whether they are there, and how many nodes at most ask the first of them; none for a
// feeder. They are the feeders, which half of the nodes ask the other way about. In a tree
// the node above comes first, then a feeder.
func Tellers(v *membership.View, self, dc string) (tellers []string, askers int) {
	order := feederOrder(v, self, dc)
	at := slices.Index(order, self)
	if at < feedersPerDC {
		return nil, 0
	}
	tellers = slices.Clone(order[:feedersPerDC])
	if at%2 == 1 {
		slices.Reverse(tellers)
	}
	if at >= feedersPerDC+directTells {
		above := (at-feedersPerDC)/directTells + 1
		return []string{order[above], tellers[0]}, directTells
	}
	told := min(len(order)-feedersPerDC, directTells)
	return tellers, (told + 1) / 2
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

// ToTell returns the nodes of data centre dc that self tells of a version once it
// holds it: a feeder all others, or the upper part of a tree where they are many,
// and in such a tree every other node those below it. Nodes whose views differ get
// slightly different trees; whoever is missed hears by the membership.
func ToTell(v *membership.View, self, dc string) []string {
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

// ToMention returns the first feeder of each other data centre, if self is that of dc. They
// are told that there is a version, and not what has changed: each reads it by itself.
//
// It guards against a data centre whose feeders the platform keeps waiting, while it answers
// all others. Such feeders don't know yet that they can't read, and hear of a version only by
// the exchanges between data centres, some seconds apart. Told at once, they pull it as soon
// as it is overdue.
func ToMention(v *membership.View, self, dc string) []string {
	var out []string
	for other, ids := range live(v, self, dc) {
		first := byLink(v, ranked("feeder/"+other+"/", ids))[0]
		if other == dc && first != self {
			return nil
		}
		if other != dc {
			out = append(out, first)
		}
	}
	slices.Sort(out)
	return out
}
