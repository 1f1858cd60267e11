package limit

import (
	"cmp"
	"container/list"

	"github.com/marlpass/marlpass/internal/config"
)

// Caller identifies on whose behalf a call is made.
type Caller struct {
	// Workspace is the workspace that holds the caller's key, or empty.
	Workspace string
	// Priority overrides that of the call's class; zero means the class's priority.
	Priority int
	// ClassPriority replaces the priority of the call's class; zero means that of the class. It is
	// that of the root's class for a nested call.
	ClassPriority int
}

// priority returns the priority that decides which calls yield to others: that of the workspace, and
// among equal workspaces that of the class. Most workspaces of a mesh have the same priority, and the
// order of the classes has to hold among them.
func (e *Entry) priority() int {
	class := cmp.Or(e.Caller.ClassPriority, e.class.Priority)
	return cmp.Or(e.Caller.Priority, class)*(config.MaxPriority+1) + class
}

// workspaceCount counts the calls of one workspace in a class.
type workspaceCount struct {
	workspace string
	waiting   int
	running   int
}

// workspaceCounts holds the counts of the workspaces that have calls in a class.
type workspaceCounts struct {
	byName map[string]*workspaceCount
	spare  []*workspaceCount
}

// forWorkspace returns the count of a workspace, or nil if the name is empty.
func (wc *workspaceCounts) forWorkspace(workspace string) *workspaceCount {
	if workspace == "" {
		return nil
	}
	if count := wc.byName[workspace]; count != nil {
		return count
	}
	if wc.byName == nil {
		wc.byName = make(map[string]*workspaceCount)
	}
	count := wc.newCount()
	count.workspace = workspace
	wc.byName[workspace] = count
	return count
}

func (wc *workspaceCounts) newCount() *workspaceCount {
	last := len(wc.spare) - 1
	if last < 0 {
		return &workspaceCount{}
	}
	count := wc.spare[last]
	wc.spare = wc.spare[:last]
	return count
}

// dropIfIdle removes a count whose workspace has no call in the class.
func (wc *workspaceCounts) dropIfIdle(count *workspaceCount) {
	if count.waiting > 0 || count.running > 0 {
		return
	}
	delete(wc.byName, count.workspace)
	wc.spare = append(wc.spare, count)
}

// addToWorkspace adds to the waiting and running calls of e's workspace in its class.
func (e *Entry) addToWorkspace(waiting, running int) {
	count := e.class.workspaces.forWorkspace(e.Caller.Workspace)
	if count == nil {
		return
	}
	count.waiting += waiting
	count.running += running
	e.class.workspaces.dropIfIdle(count)
}

// yields reports whether a waiting call yields to another one: its class is further within its
// latency target, or its priority is lower, or its workspace has at least two more calls waiting
// in the same class. With only one more, the two workspaces would just change places.
//
// The last rule is longest queue drop, a buffer policy that needs no state for idle workspaces. It
// keeps a workspace that sends many times its usual load from filling the queue alone.
func yields(waiting, other *Entry) bool {
	if waiting.class != other.class && waiting.class.latencyBand() != other.class.latencyBand() {
		return waiting.class.latencyBand() < other.class.latencyBand()
	}
	if waiting.priority() != other.priority() {
		return waiting.priority() < other.priority()
	}
	return waiting.class == other.class && waiting.Caller.Workspace != other.Caller.Workspace && waiting.workspaceWaiting() > other.workspaceWaiting()+1
}

// workspaceWaiting returns how many calls of e's workspace wait in its class; zero without a
// workspace.
func (e *Entry) workspaceWaiting() int {
	if t := e.class.workspaces.byName[e.Caller.Workspace]; t != nil {
		return t.waiting
	}
	return 0
}

// firstToYield returns the call of a lane that yields first, the newest if several would, or nil
// if the lane is empty.
func (c *classState) firstToYield(lane *list.List) *Entry {
	last := lane.Back()
	if last == nil {
		return nil
	}
	yielding := last.Value.(*Entry)
	if len(c.workspaces.byName) == 0 {
		return yielding
	}
	for el := last.Prev(); el != nil; el = el.Prev() {
		if e := el.Value.(*Entry); yields(e, yielding) {
			yielding = e
		}
	}
	return yielding
}

// insertByPriority inserts e after the calls of the same or a higher priority.
func insertByPriority(lane *list.List, e *Entry) *list.Element {
	el := lane.Back()
	for el != nil && el.Value.(*Entry).urgency() < e.urgency() {
		el = el.Prev()
	}
	if el == nil {
		return lane.PushFront(e)
	}
	return lane.InsertAfter(e, el)
}

// newestOnTime returns the newest call of the on-time lane among the workspaces with the fewest
// running calls.
func (c *classState) newestOnTime() *Entry {
	last := c.onTime.Back()
	best := last.Value.(*Entry)
	if len(c.workspaces.byName) == 0 {
		return best
	}
	for el := last.Prev(); el != nil; el = el.Prev() {
		if e := el.Value.(*Entry); e.workspaceRunning() < best.workspaceRunning() {
			best = e
		}
	}
	return best
}

// workspaceRunning returns how many calls of e's workspace run in its class; zero without a
// workspace.
func (e *Entry) workspaceRunning() int {
	if t := e.class.workspaces.byName[e.Caller.Workspace]; t != nil {
		return t.running
	}
	return 0
}
