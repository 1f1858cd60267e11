// Package agenda holds what is to happen in virtual time, in its order. The models of the
// tests run by it.
package agenda

import (
	"container/heap"
	"time"
)

// EventQueue is a list of events. What stands for the same moment happens in the order in which
// it was put there, so that a run with the same seed gives the same figures. The zero EventQueue
// is empty. It is not safe for concurrent use.
type EventQueue struct {
	events events
	added  uint64
}

type event struct {
	at    time.Time
	order uint64
	do    func(now time.Time)
}

// Schedule puts do on the agenda.
func (a *EventQueue) Schedule(t time.Time, do func(now time.Time)) {
	a.added++
	heap.Push(&a.events, event{t, a.added, do})
}

// Next takes the next event off, if it comes by end.
func (a *EventQueue) Next(end time.Time) (at time.Time, do func(now time.Time), ok bool) {
	if len(a.events) == 0 || a.events[0].at.After(end) {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&a.events).(event)
	return e.at, e.do, true
}

// Run runs all events, with those that they add.
func (a *EventQueue) Run() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(event)
		e.do(e.at)
	}
}

// events is a heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
