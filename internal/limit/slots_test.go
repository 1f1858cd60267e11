package limit

import (
	"testing"
	"time"
)

// Archive pulls have had to give way until one slot is all that they are let
// up to, and lookups hold it. A pull must still get the second slot, or archive
// pulls would wait for as long as lookups keep coming.
func TestReservationLeavesEachClassOneSlot(t *testing.T) {
	q := newTestQueue(Config{Slots: 3, Classes: []Class{{Name: "archive"}, {Name: "lookups"}}})
	q.classes["archive"].upTo = 1
	offer(t, q, at(0), "lookups")
	if !offer(t, q, at(0), "archive").Started() {
		t.Error("the first pull waits")
	}
	if offer(t, q, at(0), "archive").Started() {
		t.Error("the second pull took a reserved slot")
	}
	if !offer(t, q, at(0), "lookups").Started() {
		t.Error("a lookup waits while a slot is free")
	}
}

// Two classes have given way to each other in turn. When both miss their
// targets, one of them must be let up to the limit again; otherwise slots stand
// idle in the middle of an overload.
func TestClassThatMissesIsLetUpToTheLimit(t *testing.T) {
	q := newTestQueue(Config{Slots: 6, Classes: []Class{
		{Name: "a", AnswerWithin: time.Second}, {Name: "b", AnswerWithin: time.Second, Priority: 9},
	}})
	for _, name := range []string{"a", "b"} {
		q.classes[name].upTo = 1
		q.classes[name].window.refused = 1
	}
	q.Tick(at(time.Minute))
	if got := q.classes["b"].upTo; got != 6 {
		t.Errorf("the class that misses is let up to %d of 6 slots", got)
	}
}

// A backend server announces 12 slots and has 3, so calls beyond three only
// slow each other down. The limit must fall well below what was announced.
func TestLimitFallsWhenSlotsAreOverstated(t *testing.T) {
	s := simulation{
		classes: usualMix()[1:2], slots: 12, real: 3, lasts: 60 * time.Second, seed: 1, attempts: 1,
		// Light load first, or there is nothing to compare with.
		load: 0.5, loadLater: 6,
	}
	got := s.run().limit
	if got > 6 {
		t.Errorf("limit %d of 12 announced and 3 real slots", got)
	}
	s.real = 12
	if got := s.run().limit; got < 11 {
		t.Errorf("limit %d of 12 honest slots", got)
	}
}

// A backend server becomes four times slower at any load, which fewer calls at
// once would not mend. The limit must not stay down for it.
func TestLimitRecoversWhenAllIsSlower(t *testing.T) {
	s := simulation{
		classes: usualMix()[1:2], slots: 6, real: 6, lasts: 60 * time.Second, seed: 1, attempts: 1,
		load: 0.4, lag: 4, lagFrom: 10 * time.Second,
	}
	if got := s.run().limit; got < 4 {
		t.Errorf("limit %d of 6 slots", got)
	}
}

func TestShedLowersLimit(t *testing.T) {
	q := newTestQueue(Config{Slots: 8})
	for i := range 4 {
		now := at(time.Duration(i) * time.Second)
		q.Done(now, offer(t, q, now, "x"), Result{Shed: true})
	}
	q.Tick(at(5 * time.Second))
	if q.Limit() > 5 {
		t.Errorf("limit %d after three windows with refusals, of 8", q.Limit())
	}
}

// A backend server announces itself with one slot and, once warm, with eight.
// Nothing misses its target, yet seven slots stay empty while calls wait: what
// a class may use was cut to the old number of slots, and given back one slot
// of one class at a time.
func TestMoreSlotsAreUsedAtOnce(t *testing.T) {
	classes := []Class{{Name: "lookups"}, {Name: "photos"}}
	q := newTestQueue(Config{Slots: 1, Classes: classes})
	q.Configure(at(time.Second), Config{Slots: 8, Classes: classes})
	for _, class := range []string{"lookups", "photos", "not named", "lookups"} {
		for range 2 {
			if e := offer(t, q, at(2*time.Second), class); !e.Started() {
				t.Errorf("a call of %q waits beside %d of 8 slots busy", class, q.running)
			}
		}
	}
}

// A class gives way to one that misses its target. A new number of slots must
// not undo that.
func TestMoreSlotsKeepReservations(t *testing.T) {
	classes := []Class{{Name: "bulk"}}
	q := newTestQueue(Config{Slots: 4, Classes: classes})
	q.classes["bulk"].upTo = 2
	q.Configure(at(time.Second), Config{Slots: 8, Classes: classes})
	if got := q.classes["bulk"].upTo; got != 2 {
		t.Errorf("may use %d slots, want 2", got)
	}
}
