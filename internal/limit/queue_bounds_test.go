package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards the invariants of the queue under any order of events: it runs at most the
// announced slots, starts or refuses each call once, starts none past its deadline,
// and does not leave all slots idle while calls wait.
func TestQueueInvariants(t *testing.T) {
	classes := []Class{
		{Name: "a", AnswerWithin: 20 * time.Millisecond},
		{Name: "b", AnswerWithin: time.Second, Priority: 2, Share: 0.3},
		{Name: "c", Priority: 9},
	}
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		q := newTestQueue(Config{Slots: slots, Classes: classes, MaxWaiting: 10})
		now := simStart
		var running, waiting []*Entry
		check := func() {
			for _, ev := range q.Events() {
				i := indexOf(waiting, ev.Entry)
				if i < 0 {
					t.Fatal("event for a call that does not wait")
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				if ev.Refusal != nil {
					continue
				}
				if !ev.Entry.deadline.IsZero() && !now.Before(ev.Entry.deadline) {
					t.Fatal("started past its deadline")
				}
				running = append(running, ev.Entry)
			}
			if busy, limit := q.Load(); busy != len(running) || limit > slots || limit < 1 {
				t.Fatalf("busy %d, running %d, limit %d", busy, len(running), limit)
			}
			if len(running) > slots || q.waiting != len(waiting) || len(waiting) > 10 {
				t.Fatalf("running %d, waiting %d and %d", len(running), q.waiting, len(waiting))
			}
			if len(running) == 0 && len(waiting) > 0 {
				t.Fatal("calls wait while all slots are free")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				e := &Entry{}
				class := rapid.SampledFrom([]string{"a", "b", "c", "gone"}).Draw(t, "class")
				var deadline time.Time
				if ms := rapid.IntRange(0, 200).Draw(t, "deadline"); ms > 0 {
					deadline = now.Add(time.Duration(ms) * time.Millisecond)
				}
				if q.Offer(now, e, class, deadline) == nil {
					waiting = append(waiting, e)
				}
				if e.Started() && q.waiting < len(waiting) && indexOfEvent(q, e) < 0 {
					waiting = waiting[:len(waiting)-1]
					running = append(running, e)
				}
				check()
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				e := running[i]
				running = append(running[:i], running[i+1:]...)
				q.Done(now, e, Result{Latency: now.Sub(e.started), Failed: rapid.Bool().Draw(t, "failed"),
					Shed: rapid.IntRange(0, 9).Draw(t, "shed") == 0})
				q.Done(now, e, Result{}) // a second Done does nothing
				check()
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				e := waiting[i]
				if !q.Abandon(now, e) {
					t.Fatal("a waiting call could not be abandoned")
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				check()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				q.Tick(now)
				check()
			},
		})
	})
}

func indexOf(es []*Entry, e *Entry) int {
	for i, o := range es {
		if o == e {
			return i
		}
	}
	return -1
}

func indexOfEvent(q *Queue, e *Entry) int {
	for i, ev := range q.events {
		if ev.Entry == e {
			return i
		}
	}
	return -1
}

// Guards against late answers at four times capacity, with and without retries: the
// answers of the class with the tightest target must be in time, and the backend
// server must stay busy.
func TestTightestTargetHoldsAtFourTimesCapacity(t *testing.T) {
	ours, fixed := defaultPolicy(0), baseline()
	ours.duration, fixed.duration = 5*time.Second, 5*time.Second
	for _, attempts := range []int{1, 4} {
		r := ours.simulate(4, attempts, nil)
		c := r.classes["lookups"]
		if c.answered == 0 || percent(c.onTarget, c.answered) < 95 || r.useful < 0.9 {
			t.Error(fmt.Sprintf("attempts %d: ", attempts) + tableRow("default", r))
		}
		b := fixed.simulate(4, attempts, nil).classes["lookups"]
		if c.onTarget <= b.onTarget {
			t.Errorf("%d lookups on target, not more than the baseline's %d", c.onTarget, b.onTarget)
		}
	}
}
