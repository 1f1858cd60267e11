package limit

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// urgencyConfig has an urgent class and two classes of nested calls.
func urgencyConfig(byPriority bool) Config {
	return Config{Slots: 1, MaxWaiting: 40, ByPriority: byPriority, Classes: []Class{
		{Name: "seats", Priority: 8}, {Name: "nested"}, {Name: "other", Priority: 1},
	}}
}

func offerCall(t *testing.T, q *Queue, class string, priority int, oneShot bool) *Entry {
	t.Helper()
	e := &Entry{OneShot: oneShot, Caller: Caller{Priority: priority}}
	if oneShot {
		e.Caller.ClassPriority = priority // of a root without a workspace
	}
	if r := q.Offer(at(0), e, class, time.Time{}); r != nil {
		t.Fatal(r)
	}
	return e
}

// Guards the order of classes among workspaces of equal priority: with the priority of the workspace
// alone, nested calls of the least urgent class would start before calls of the most urgent one.
func TestClassDecidesAmongEqualWorkspaces(t *testing.T) {
	for _, tt := range []struct {
		rootClass int // priority of the class of the nested call's root
		first     string
	}{{2, "seats"}, {8, "nested"}} {
		q := newTestQueue(urgencyConfig(true))
		running := offerCall(t, q, "other", 0, false)
		for _, e := range []*Entry{
			{OneShot: true, Caller: Caller{Workspace: "a", Priority: 9, ClassPriority: tt.rootClass}},
			{Caller: Caller{Workspace: "b", Priority: 9}},
		} {
			class := "seats"
			if e.OneShot {
				class = "nested"
			}
			if r := q.Offer(at(0), e, class, time.Time{}); r != nil {
				t.Fatal(r)
			}
		}
		if got := startOrder(q, running); got[0] != tt.first {
			t.Errorf("root class of priority %d: started in the order %v", tt.rootClass, got)
		}
	}
}

// startOrder frees the slot again and again, and returns the classes in the order of their starts.
func startOrder(q *Queue, running *Entry) (order []string) {
	for running != nil {
		q.Done(at(0), running, Result{NotSent: true})
		running = nil
		for _, ev := range q.Events() {
			running = ev.Entry
			order = append(order, running.class.Name)
		}
	}
	return order
}

// Guards urgent calls against nested calls of less urgent work, and nested calls against waiting
// behind calls that are no more urgent than their root.
func TestOneShotCallsStartByPriority(t *testing.T) {
	for _, tt := range []struct {
		name       string
		byPriority bool
		root       int // priority of the nested calls
		first      string
	}{
		{"less urgent root", true, 2, "seats"},
		{"equal root", true, 8, "nested"},
		{"more urgent root", true, 9, "nested"},
		{"unknown root", true, 0, "nested"},
		{"without workspaces", false, 2, "nested"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := newTestQueue(urgencyConfig(tt.byPriority))
			running := offerCall(t, q, "other", 0, false)
			offerCall(t, q, "nested", tt.root, true)
			offerCall(t, q, "seats", 0, false)
			if got := startOrder(q, running); got[0] != tt.first {
				t.Errorf("started in the order %v", got)
			}
		})
	}
}

// Guards against starvation: a class of nested calls keeps a quarter of the starts that it would
// have if it went first, also behind nested calls of a more urgent class, and no more.
func TestOneShotFloor(t *testing.T) {
	q := newTestQueue(urgencyConfig(true))
	running := offerCall(t, q, "other", 0, false)
	for range 8 {
		offerCall(t, q, "nested", 2, true)
	}
	for range 20 {
		offerCall(t, q, "seats", 0, false)
	}
	order := startOrder(q, running)
	kept := 0
	for _, class := range order[:22] {
		if class == "nested" {
			kept++
		}
	}
	if kept != 2 || len(order) != 28 {
		t.Errorf("%d of 8 nested calls started before the last urgent call: %v", kept, order)
	}
}

// Guards a full queue: calls give way in the reverse of the order in which they start, and a newcomer
// that is no more urgent is refused.
func TestFullQueueRefusesLessUrgentFirst(t *testing.T) {
	for _, tt := range []struct {
		name       string
		byPriority bool
		newcomer   Entry
		class      string
		victim     int // of the waiting calls; -1 is the newcomer
	}{
		{"urgent call", true, Entry{}, "seats", 1},
		{"nested call of an urgent root", true, Entry{OneShot: true, Caller: Caller{Priority: 7, ClassPriority: 7}}, "nested", 1},
		{"nested call of equal priority", true, Entry{OneShot: true, Caller: Caller{Priority: 2, ClassPriority: 2}}, "nested", -1},
		{"least urgent call", true, Entry{}, "other", -1},
		{"nested call of an unknown root", true, Entry{OneShot: true}, "nested", 1},
		{"without workspaces, urgent call", false, Entry{}, "seats", -1},
		{"without workspaces, nested call", false, Entry{OneShot: true, Caller: Caller{Priority: 7, ClassPriority: 7}}, "nested", -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := urgencyConfig(tt.byPriority)
			c.MaxWaiting = 2
			q := newTestQueue(c)
			offerCall(t, q, "other", 0, false)
			waiting := []*Entry{offerCall(t, q, "nested", 4, true), offerCall(t, q, "nested", 2, true)}
			r := q.Offer(at(0), &tt.newcomer, tt.class, time.Time{})
			if tt.victim < 0 {
				wantReason(t, r, call.ReasonOverloaded)
				return
			}
			events := q.Events()
			if r != nil || len(events) != 1 || events[0].Entry != waiting[tt.victim] {
				t.Errorf("refused %v, events %v", r, events)
			}
		})
	}
}

// Guards work in progress of an unknown root: its nested calls give way to no one in a full queue, and
// don't wait behind calls of their class whose root is known.
func TestUnknownRootKeepsItsPlace(t *testing.T) {
	c := urgencyConfig(true)
	c.MaxWaiting = 1
	q := newTestQueue(c)
	running := offerCall(t, q, "other", 0, false)
	unknown := offerCall(t, q, "nested", 0, true)
	wantReason(t, q.Offer(at(0), &Entry{}, "seats", time.Time{}), call.ReasonOverloaded)
	q.Abandon(at(0), unknown)
	c.MaxWaiting = 3
	q.Configure(at(0), c)
	offerCall(t, q, "nested", 7, true)
	offerCall(t, q, "seats", 0, false)
	unknown = offerCall(t, q, "nested", 0, true)
	q.Done(at(0), running, Result{NotSent: true})
	if !unknown.Started() {
		t.Error("a call with a known root or an urgent call has started first")
	}
}

// Guards parallel nested calls after a pause: the pause says nothing about the wait. While more urgent
// calls take all slots, the wait counts.
func TestPauseIsNoWait(t *testing.T) {
	q := newTestQueue(urgencyConfig(true))
	offer := func(now time.Duration) *call.Refusal {
		e := &Entry{OneShot: true, Caller: Caller{Priority: 2}}
		return q.Offer(at(now), e, "nested", at(now+200*time.Millisecond))
	}
	first := &Entry{OneShot: true}
	q.Offer(at(0), first, "nested", time.Time{})
	q.Done(at(time.Millisecond), first, Result{Latency: time.Millisecond})
	q.Offer(at(9*time.Second), &Entry{}, "seats", time.Time{})
	for range 2 {
		if r := offer(10 * time.Second); r != nil {
			t.Errorf("refused after a pause: %v", r)
		}
	}
	wantReason(t, offer(10*time.Second+150*time.Millisecond), call.ReasonOverloaded)
}
