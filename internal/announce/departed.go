package announce

import "slices"

// maxDeparted bounds the instances remembered as gone. One VM has one backend server
// at a time, and announcements come late by seconds.
const maxDeparted = 64

// departedInstances are the last instances that left or were replaced, oldest first,
// each with the start of its last incarnation that did. Unless all are kept, only
// those are that tell their start or number their announcements: others may come
// back under the same name.
type departedInstances struct {
	list []departedInstance
	// keepAll keeps those as well of which no announcement has arrived: a node that
	// started a moment ago hears an instance leave that it never heard announce itself.
	keepAll bool
}

type departedInstance struct {
	name    string
	started int64 // Unix ms; zero where an instance doesn't come back
}

func (g *departedInstances) add(a Announcement) {
	if !g.keepAll && a.Sequence == 0 && a.Started == 0 {
		return
	}
	if at := g.find(a.Instance); at >= 0 {
		g.list[at].started = max(g.list[at].started, a.Started)
		return
	}
	if len(g.list) >= maxDeparted {
		g.list = g.list[1:]
	}
	g.list = append(g.list, departedInstance{a.Instance, a.Started})
}

// has reports whether the incarnation that a tells of has gone, or one that
// started after it.
func (g *departedInstances) has(a Announcement) bool {
	at := g.find(a.Instance)
	return at >= 0 && a.Started <= g.list[at].started
}

func (g *departedInstances) find(name string) int {
	return slices.IndexFunc(g.list, func(i departedInstance) bool { return i.name == name })
}
