package limit

import (
	"testing"
	"time"
)

// Guards against starvation by reservations: a class restricted to one allowed slot,
// which another class holds, may still run one call.
func TestReservationLeavesEachClassOneSlot(t *testing.T) {
	q := newTestQueue(Config{Slots: 3, Classes: []Class{{Name: "archive"}, {Name: "lookups"}}})
	q.classes["archive"].allowedSlots = 1
	offer(t, q, at(0), "lookups")
	if !offer(t, q, at(0), "archive").Started() {
		t.Error("the first archive call waits")
	}
	if offer(t, q, at(0), "archive").Started() {
		t.Error("the second archive call took a reserved slot")
	}
	if !offer(t, q, at(0), "lookups").Started() {
		t.Error("a lookup waits while a slot is free")
	}
}

// Guards against idle slots under overload, after two classes have yielded slots to
// each other in turn: when both miss their targets, one of them may use all slots.
func TestClassMissingItsTargetMayUseAllSlots(t *testing.T) {
	q := newTestQueue(Config{Slots: 6, Classes: []Class{
		{Name: "a", AnswerWithin: time.Second}, {Name: "b", AnswerWithin: time.Second, Priority: 9},
	}})
	for _, name := range []string{"a", "b"} {
		q.classes[name].allowedSlots = 1
		q.classes[name].window.refused = 1
	}
	q.Tick(at(time.Minute))
	if got := q.classes["b"].allowedSlots; got != 6 {
		t.Errorf("the class that misses its target may use %d of 6 slots", got)
	}
}

// Guards against a backend server that announces 12 slots but has 3, where further
// calls only slow each other down: the limit falls well below the announced slots.
func TestLimitFallsWhenSlotsAreOverstated(t *testing.T) {
	s := simulation{
		classes: usualMix()[1:2], announcedSlots: 12, realSlots: 3, duration: 60 * time.Second, seed: 1, attempts: 1,
		// Light load comes first, as the reference for the comparison.
		load: 0.5, laterLoad: 6,
	}
	got := s.run().limit
	if got > 6 {
		t.Errorf("limit %d of 12 announced and 3 real slots", got)
	}
	s.realSlots = 12
	if got := s.run().limit; got < 11 {
		t.Errorf("limit %d of 12 announced and 12 real slots", got)
	}
}

// Guards against a limit that stays low after a backend server has become four times
// slower at any load, which fewer concurrent calls would not help.
func TestLimitRecoversFromUniformSlowdown(t *testing.T) {
	s := simulation{
		classes: usualMix()[1:2], announcedSlots: 6, realSlots: 6, duration: 60 * time.Second, seed: 1, attempts: 1,
		load: 0.4, slowdown: 4, slowdownFrom: 10 * time.Second,
	}
	if got := s.run().limit; got < 4 {
		t.Errorf("limit %d of 6 slots, want at least 4", got)
	}
}

func TestShedCallsLowerLimit(t *testing.T) {
	q := newTestQueue(Config{Slots: 8})
	for i := range 4 {
		now := at(time.Duration(i) * time.Second)
		q.Done(now, offer(t, q, now, "x"), Result{Shed: true})
	}
	q.Tick(at(5 * time.Second))
	if q.Limit() > 5 {
		t.Errorf("limit %d of 8 slots after shed calls, want at most 5", q.Limit())
	}
}

// Guards against idle slots after a backend server raises its announced slots from one
// to eight: allowed slots stayed at the old number and rose one slot of one class at a
// time, while calls waited.
func TestAddedSlotsAreUsedAtOnce(t *testing.T) {
	classes := []Class{{Name: "lookups"}, {Name: "photos"}}
	q := newTestQueue(Config{Slots: 1, Classes: classes})
	q.Configure(at(time.Second), Config{Slots: 8, Classes: classes})
	for _, class := range []string{"lookups", "photos", "not named", "lookups"} {
		for range 2 {
			if e := offer(t, q, at(2*time.Second), class); !e.Started() {
				t.Errorf("a call of %q waits with %d of 8 slots busy", class, q.running)
			}
		}
	}
}

// Guards against a new number of slots that undoes the reservations of a class.
func TestAddedSlotsKeepReservations(t *testing.T) {
	classes := []Class{{Name: "bulk"}}
	q := newTestQueue(Config{Slots: 4, Classes: classes})
	q.classes["bulk"].allowedSlots = 2
	q.Configure(at(time.Second), Config{Slots: 8, Classes: classes})
	if got := q.classes["bulk"].allowedSlots; got != 2 {
		t.Errorf("may use %d slots, want 2", got)
	}
}
