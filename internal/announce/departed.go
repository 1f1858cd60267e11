package announce

import "slices"

// maxDeparted bounds the departed instances that are remembered. A VM has one backend server at
// a time, and announcements are late by seconds.
const maxDeparted = 64

// departedInstances holds the last instances that left or were replaced, oldest first, each with
// the start of its last departed incarnation. Without keepAll, only instances that report their
// start or number their announcements are remembered: others may return under the same name.
type departedInstances struct {
	list []departedInstance
	// keepAll also remembers instances of which no announcement was received: a node that has
	// just started may receive a withdrawal before any announcement.
	keepAll bool
}

type departedInstance struct {
	name    string
	started int64 // Unix ms; zero if the instance does not return
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

// has reports whether the incarnation that sent a, or one that started after it, has departed.
func (g *departedInstances) has(a Announcement) bool {
	at := g.find(a.Instance)
	return at >= 0 && a.Started <= g.list[at].started
}

// covers reports whether the incarnation that sent a, or one that started after it, was added. One
// that was added without its start is taken to be that of a.
func (g *departedInstances) covers(a Announcement) bool {
	at := g.find(a.Instance)
	if at < 0 {
		return false
	}
	if g.list[at].started == 0 {
		g.list[at].started = a.Started
	}
	return a.Started <= g.list[at].started
}

func (g *departedInstances) remove(name string) {
	g.list = slices.DeleteFunc(g.list, func(i departedInstance) bool { return i.name == name })
}

func (g *departedInstances) find(name string) int {
	return slices.IndexFunc(g.list, func(i departedInstance) bool { return i.name == name })
}
