// Package agenda provides an event queue for discrete-event simulations in virtual time. The models
// in tests run on it.
package agenda

import (
	"container/heap"
	"time"
)

// EventQueue is a queue of events, ordered by time. Events of the same time run in the order in
// which they were scheduled, so that runs with the same seed give the same results. The zero
// EventQueue is empty. It is not safe for concurrent use.
type EventQueue struct {
	events events
	added  uint64
}

type event struct {
	at    time.Time
	order uint64
	do    func(now time.Time)
}

// Schedule adds an event that calls do at time t.
func (q *EventQueue) Schedule(t time.Time, do func(now time.Time)) {
	q.added++
	heap.Push(&q.events, event{t, q.added, do})
}

// Next removes and returns the next event; ok is false if there is none up to end.
func (q *EventQueue) Next(end time.Time) (at time.Time, do func(now time.Time), ok bool) {
	if len(q.events) == 0 || q.events[0].at.After(end) {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

// Run runs all events, including those that they schedule.
func (q *EventQueue) Run() {
	for len(q.events) > 0 {
		e := heap.Pop(&q.events).(event)
		e.do(e.at)
	}
}

// events implements heap.Interface.
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
