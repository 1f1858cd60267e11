package limit

import "container/list"

// Caller is on whose behalf a call is made.
type Caller struct {
	// Workspace is the workspace that holds the caller's key, or empty.
	Workspace string
	// Priority goes before that of the call's class; zero leaves it to the class.
	Priority int
}

// priority orders calls wherever some must give way.
func (e *Entry) priority() int {
	if e.Caller.Priority != 0 {
		return e.Caller.Priority
	}
	return e.class.Priority
}

// tally counts the calls that one workspace has in a class.
type tally struct {
	workspace string
	waiting   int
	running   int
}

// tallies are those of a class's workspaces with calls in it.
type tallies struct {
	byName map[string]*tally
	spare  []*tally
}

func (ts *tallies) of(workspace string) *tally {
	if workspace == "" {
		return nil
	}
	if t := ts.byName[workspace]; t != nil {
		return t
	}
	if ts.byName == nil {
		ts.byName = make(map[string]*tally)
	}
	t := ts.unused()
	t.workspace = workspace
	ts.byName[workspace] = t
	return t
}

func (ts *tallies) unused() *tally {
	last := len(ts.spare) - 1
	if last < 0 {
		return &tally{}
	}
	t := ts.spare[last]
	ts.spare = ts.spare[:last]
	return t
}

// settle drops t once its workspace has no call in the class.
func (ts *tallies) settle(t *tally) {
	if t.waiting > 0 || t.running > 0 {
		return
	}
	delete(ts.byName, t.workspace)
	ts.spare = append(ts.spare, t)
}

// count adds to the calls of e's workspace that wait and run in its class.
func (e *Entry) count(waiting, running int) {
	t := e.class.tallies.of(e.Caller.Workspace)
	if t == nil {
		return
	}
	t.waiting += waiting
	t.running += running
	e.class.tallies.settle(t)
}

// yields reports whether a, which waits, gives way to b: its class stands further inside its
// target, or its priority is lower, or its workspace has at least two more calls waiting in the
// same class: with one more, the two would only change places.
//
// The last is longest queue drop, a buffer policy that needs no state for idle workspaces. It
// guards against a workspace that sends many times its usual and fills the queue alone.
func yields(a, b *Entry) bool {
	if a.class != b.class && a.class.band() != b.class.band() {
		return a.class.band() < b.class.band()
	}
	if a.priority() != b.priority() {
		return a.priority() < b.priority()
	}
	return a.class == b.class && a.Caller.Workspace != b.Caller.Workspace && a.waitingBeside() > b.waitingBeside()+1
}

// waitingBeside is how many calls of e's workspace wait in its class, none if it has no workspace.
func (e *Entry) waitingBeside() int {
	if t := e.class.tallies.byName[e.Caller.Workspace]; t != nil {
		return t.waiting
	}
	return 0
}

// least returns the call of a lane that gives way first, the newest where several would.
func (c *classState) least(lane *list.List) *Entry {
	last := lane.Back()
	if last == nil {
		return nil
	}
	least := last.Value.(*Entry)
	if len(c.tallies.byName) == 0 {
		return least
	}
	for el := last.Prev(); el != nil; el = el.Prev() {
		if e := el.Value.(*Entry); yields(e, least) {
			least = e
		}
	}
	return least
}

// insert puts e behind the calls of its priority or a higher one.
func insert(lane *list.List, e *Entry) *list.Element {
	el := lane.Back()
	for el != nil && el.Value.(*Entry).priority() < e.priority() {
		el = el.Prev()
	}
	if el == nil {
		return lane.PushFront(e)
	}
	return lane.InsertAfter(e, el)
}

// newest returns the newest call that waits to be answered in time, of the workspaces with the
// fewest calls running.
func (c *classState) newest() *Entry {
	last := c.waiting.Back()
	best := last.Value.(*Entry)
	if len(c.tallies.byName) == 0 {
		return best
	}
	for el := last.Prev(); el != nil; el = el.Prev() {
		if e := el.Value.(*Entry); e.runningBeside() < best.runningBeside() {
			best = e
		}
	}
	return best
}

// runningBeside is how many calls of e's workspace run in its class, none if it has no workspace.
func (e *Entry) runningBeside() int {
	if t := e.class.tallies.byName[e.Caller.Workspace]; t != nil {
		return t.running
	}
	return 0
}
