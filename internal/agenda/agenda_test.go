package agenda

import (
	"slices"
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
	start := time.Unix(0, 0)
	var a EventQueue
	var got []string
	note := func(s string) func(time.Time) { return func(time.Time) { got = append(got, s) } }
	a.Schedule(start.Add(2), note("late"))
	a.Schedule(start.Add(1), note("first"))
	a.Schedule(start.Add(1), func(now time.Time) {
		note("second")(now)
		a.Schedule(now, note("third"))
	})
	if _, _, ok := a.Next(start); ok {
		t.Fatal("an event came before its time")
	}
	at, do, ok := a.Next(start.Add(1))
	if !ok || !at.Equal(start.Add(1)) {
		t.Fatal(at, ok)
	}
	do(at)
	a.Run()
	if want := []string{"first", "second", "third", "late"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
