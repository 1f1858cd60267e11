package agenda

import (
	"slices"
	"testing"
	"time"
)

// Guards against events that run out of order, which would make simulations irreproducible.
func TestEventOrder(t *testing.T) {
	start := time.Unix(0, 0)
	var q EventQueue
	var got []string
	record := func(s string) func(time.Time) { return func(time.Time) { got = append(got, s) } }
	q.Schedule(start.Add(2), record("late"))
	q.Schedule(start.Add(1), record("first"))
	q.Schedule(start.Add(1), func(now time.Time) {
		record("second")(now)
		q.Schedule(now, record("third"))
	})
	if _, _, ok := q.Next(start); ok {
		t.Fatal("an event is returned before its time")
	}
	at, do, ok := q.Next(start.Add(1))
	if !ok || !at.Equal(start.Add(1)) {
		t.Fatal(at, ok)
	}
	do(at)
	q.Run()
	if want := []string{"first", "second", "third", "late"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
