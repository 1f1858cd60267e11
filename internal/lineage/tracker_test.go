package lineage

import (
	"testing"
	"time"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs calls at a Tracker one after the other.
type clock struct {
	*Tracker
	now time.Time
}

func newClock() *clock { return &clock{NewTracker(1), start} }

func (c *clock) wait(d time.Duration) { c.now = c.now.Add(d) }

func (c *clock) begin(class, workspace string, priority int) Token {
	return c.Begin(c.now, Call{Class: class, Root: Root{Class: class, Workspace: workspace, Priority: priority}})
}

// learn runs calls of a class, each of which makes a nested call, with pauses in between.
func (c *clock) learn(class, nested string) {
	for range 10 {
		token := c.begin(class, "", 5)
		c.wait(50 * time.Millisecond)
		c.Root(c.now, nested, true)
		c.wait(50 * time.Millisecond)
		c.End(c.now, token)
		c.wait(100 * time.Millisecond)
	}
}

func TestRootOfOnlyCandidateIsExact(t *testing.T) {
	c := newClock()
	c.learn("browse", "seat")
	known := c.Stats()
	browse := c.begin("browse", "harbour", 2)
	c.begin("load", "quay", 9) // makes no calls of class seat
	root, ok := c.Root(c.now, "seat", true)
	if want := (Root{Class: "browse", Workspace: "harbour", Priority: 2}); !ok || root != want {
		t.Errorf("got %+v %v, want %+v", root, ok, want)
	}
	if s := c.Stats(); s.Exact != known.Exact+1 || s.Bounded != 0 {
		t.Errorf("counts %+v after %+v", s, known)
	}
	c.End(c.now, browse)
	c.End(c.now, browse)
	if _, ok := c.Root(c.now, "seat", true); ok {
		t.Error("an ended call is a root")
	}
}

// Guards urgent work against a nested call that counts as less urgent than its root, and retries
// against nested calls that count as first attempts. Equal candidates take turns.
func TestMostUrgentCandidateIsUsed(t *testing.T) {
	c := newClock()
	c.learn("browse", "seat")
	c.learn("submit", "seat")
	c.Begin(c.now, Call{Class: "browse", Root: Root{Class: "browse", Priority: 2, Retried: true}})
	c.begin("submit", "quay", 7)
	root, ok := c.Root(c.now, "seat", true)
	if !ok || root.Class != "submit" || root.Workspace != "quay" || !root.Retried {
		t.Errorf("got %+v %v", root, ok)
	}
	if s := c.Stats(); s.Bounded != 1 {
		t.Errorf("counts %+v", s)
	}
	c.begin("browse", "pier", 7)
	turns := map[string]int{}
	for range 11 {
		root, _ := c.Root(c.now, "seat", true)
		turns[root.Workspace]++
	}
	if turns["quay"] != 5 || turns["pier"] != 6 {
		t.Errorf("of equal candidates got %v", turns)
	}
}

// Guards callers without a key: their calls come whether or not calls run, and have no root.
func TestCallsFromElsewhereHaveNoRoot(t *testing.T) {
	for _, nested := range []bool{false, true} {
		c := newClock()
		for range 100 {
			token := c.begin("browse", "harbour", 9)
			c.wait(50 * time.Millisecond)
			c.Root(c.now, "timetable", nested)
			c.End(c.now, token)
			c.wait(50 * time.Millisecond)
			c.Root(c.now, "timetable", nested)
		}
		c.begin("browse", "harbour", 9)
		if root, ok := c.Root(c.now, "timetable", nested); ok {
			t.Errorf("presumed nested %v: got root %+v", nested, root)
		}
	}
}

// Guards nested calls that come to the same listener as callers: they are recognised once they have
// come while calls run, and not while none runs. Until then nothing is known.
func TestNestedCallsAreRecognised(t *testing.T) {
	c := newClock()
	for i := range 10 {
		token := c.begin("browse", "harbour", 9)
		c.wait(100 * time.Millisecond)
		if _, ok := c.Root(c.now, "seat", false); ok != (i >= 4) {
			t.Errorf("call %d: root known %v", i, ok)
		}
		c.End(c.now, token)
		c.wait(110 * time.Millisecond)
	}
}

// Guards against a root that a restarted backend server's late calls point to: a class that runs by
// chance when a call of another class's run arrives late does not count as making it.
func TestLateCallsDoNotMislead(t *testing.T) {
	c := newClock()
	for range 10 {
		c.learn("browse", "seat")
	}
	for range 5 {
		token := c.begin("load", "quay", 9)
		c.wait(time.Second)
		c.Root(c.now, "seat", true)
		c.End(c.now, token)
	}
	c.begin("load", "quay", 9)
	if root, ok := c.Root(c.now, "seat", true); ok {
		t.Errorf("got root %+v", root)
	}
}

// Guards against growth, and against a class that counts as making calls long after it has ceased.
func TestForgetsClasses(t *testing.T) {
	c := newClock()
	c.learn("browse", "seat")
	for range 40 {
		c.wait(agingInterval)
		c.End(c.now, c.begin("load", "", 5))
	}
	if len(c.classes) > 1 || len(c.calls) > 0 {
		t.Errorf("keeps %d classes and %d classes of nested calls", len(c.classes), len(c.calls))
	}
}

// Guards against a malformed header, one of an earlier process and one of an ended call.
func TestNamedRoot(t *testing.T) {
	c := newClock()
	token := c.begin("browse", "harbour", 2)
	name := c.Header(token)
	if root, ok := c.Named(name); !ok || root.Workspace != "harbour" {
		t.Errorf("got %+v %v", root, ok)
	}
	c.End(c.now, token)
	for _, value := range []string{name, "", "-1", "x y", c.Header(token + 1)} {
		if _, ok := c.Named(value); ok {
			t.Errorf("%q names a call", value)
		}
	}
}

func BenchmarkCall(b *testing.B) {
	c := newClock()
	c.learn("browse", "seat")
	for range 4 {
		c.begin("browse", "harbour", 5)
	}
	for b.Loop() {
		c.wait(time.Millisecond)
		token := c.begin("browse", "harbour", 5)
		c.Root(c.now, "seat", true)
		c.End(c.now, token)
	}
}
