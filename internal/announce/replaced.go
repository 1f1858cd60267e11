package announce

import (
	"net/netip"
	"slices"
)

// returnClaims is the number of announcements in a row, without one of another instance at the
// address, by which a replaced instance returns.
const returnClaims = 2

// replacedInstances holds the last instances that were replaced by another at their address, oldest
// first, where neither reports its start.
//
// It guards against the announcement of a backend server that has crashed, delayed by a partition,
// that arrives after its successor's: nothing tells which of them is the newer one. Both may take the
// address at first; the one that goes on announcing itself gets it back.
type replacedInstances struct{ list []replacedInstance }

type replacedInstance struct {
	name     string
	address  netip.AddrPort
	sequence uint64 // of its last announcement
	claims   int    // announcements since another instance at the address announced itself
}

func (g *replacedInstances) add(a Announcement) {
	g.remove(a.Instance)
	if len(g.list) >= maxDeparted {
		g.list = g.list[1:]
	}
	g.list = append(g.list, replacedInstance{name: a.Instance, address: a.Address, sequence: a.Sequence})
}

func (g *replacedInstances) remove(name string) {
	g.list = slices.DeleteFunc(g.list, func(i replacedInstance) bool { return i.name == name })
}

// mayReturn reports whether the sender of an announcement was not replaced at its address, or returns
// by it.
func (r *Registry) mayReturn(a Announcement) bool {
	returns := true
	for i := range r.replaced.list {
		g := &r.replaced.list[i]
		switch {
		case g.name == a.Instance:
			if a.Sequence > g.sequence {
				g.sequence = a.Sequence
				g.claims++
			}
			returns = g.claims >= returnClaims || a.Instance == r.confirmed && a.Sequence == 0
		case g.address == a.Address:
			g.claims = 0
		}
	}
	if returns {
		r.replaced.remove(a.Instance)
	}
	return returns
}
