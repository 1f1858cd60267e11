package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

func newTestQueue(cfg Config) *Queue {
	q := NewQueue(QueueOptions{Rand: rand.New(rand.NewPCG(1, 1))})
	q.Configure(simStart, cfg)
	return q
}

func at(d time.Duration) time.Time { return simStart.Add(d) }

// offer offers a call that must not be refused.
func offer(t *testing.T, q *Queue, now time.Time, class string) *Entry {
	t.Helper()
	e := &Entry{}
	if r := q.Offer(now, e, class, time.Time{}); r != nil {
		t.Fatalf("refused: %v", r)
	}
	return e
}

func wantReason(t *testing.T, r *call.Refusal, want call.Reason) {
	t.Helper()
	if r == nil || r.Reason != want {
		t.Errorf("got %v, want a refusal as %q", r, want)
	}
}

// Archive pulls fill all slots of an idle backend server, which they may. Then
// an owner's lookup waits beside one more archive pull that came first. The
// next free slot must go to the lookup, because the archive class is over its
// share, and no running pull may be stopped for it.
func TestClassOverShareYieldsFreedSlots(t *testing.T) {
	q := newTestQueue(Config{Slots: 4, Classes: []Class{{Name: "archive", Share: 0.25}, {Name: "lookups"}}})
	var running []*Entry
	for range 4 {
		running = append(running, offer(t, q, at(0), "archive"))
	}
	pull := offer(t, q, at(1*time.Millisecond), "archive")
	lookup := offer(t, q, at(2*time.Millisecond), "lookups")
	if lookup.Started() || q.running != 4 {
		t.Fatal("a running pull was stopped")
	}
	q.Done(at(time.Second), running[0], Result{Latency: time.Second})
	if !lookup.Started() || pull.Started() {
		t.Errorf("lookup started %v, pull started %v", lookup.Started(), pull.Started())
	}
}

// A lookup waits behind a slow call until its deadline has passed. It must be
// refused as not run and never start, however late the slot comes free.
func TestExpiredCallNeverStarts(t *testing.T) {
	q := newTestQueue(Config{Slots: 1})
	first := offer(t, q, at(0), "x")
	e := &Entry{}
	if r := q.Offer(at(0), e, "x", at(time.Second)); r != nil {
		t.Fatal(r)
	}
	q.Done(at(2*time.Second), first, Result{Latency: 2 * time.Second})
	events := q.Events()
	if len(events) != 1 || e.Started() {
		t.Fatalf("events %+v, started %v", events, e.Started())
	}
	wantReason(t, events[0].Refusal, call.ReasonExpired)
}

func TestFullQueueRefusesClassOfLowestPriority(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, MaxWaiting: 2, Classes: []Class{
		{Name: "bulk", Priority: 1}, {Name: "bookings", Priority: 9},
	}})
	offer(t, q, at(0), "bulk")
	offer(t, q, at(0), "bulk")
	newest := offer(t, q, at(0), "bulk")
	wantReason(t, q.Offer(at(0), &Entry{}, "bulk", time.Time{}), call.ReasonOverloaded)
	offer(t, q, at(0), "bookings")
	events := q.Events()
	if len(events) != 1 || events[0].Entry != newest {
		t.Fatalf("events %+v, want the newest bulk call refused", events)
	}
	wantReason(t, events[0].Refusal, call.ReasonOverloaded)
}

func TestRateOfClassIsBounded(t *testing.T) {
	q := newTestQueue(Config{Slots: 100, Classes: []Class{{Name: "x", RatePerSecond: RatePerBackend(100, 10)}}})
	admitted := 0
	for i := range 1000 {
		e := &Entry{}
		r := q.Offer(at(time.Duration(i)*10*time.Millisecond), e, "x", time.Time{})
		if r == nil {
			admitted++
			q.Done(at(time.Duration(i)*10*time.Millisecond), e, Result{})
			continue
		}
		wantReason(t, r, call.ReasonOverRate)
	}
	if admitted < 100 || admitted > 101 {
		t.Errorf("admitted %d in 10 s at 10/s", admitted)
	}
}

// Archive pulls may run ten times a second. A full queue refuses one, or its
// caller gives up while it waits, or it gives way, and nothing was run. The next
// one, sent when a slot is free, was refused as over the rate.
func TestCallThatNeverStartsSpendsNoRate(t *testing.T) {
	classes := []Class{{Name: "pulls", RatePerSecond: 10, Priority: 1}, {Name: "lookups", Priority: 9}}
	for name, loses := range map[string]func(t *testing.T, q *Queue){
		"refused": func(t *testing.T, q *Queue) {
			offer(t, q, at(0), "lookups")
			wantReason(t, q.Offer(at(0), &Entry{}, "pulls", time.Time{}), call.ReasonOverloaded)
		},
		"gives up": func(t *testing.T, q *Queue) {
			if !q.Abandon(at(0), offer(t, q, at(0), "pulls")) {
				t.Error("did not wait")
			}
		},
		"gives way": func(t *testing.T, q *Queue) {
			offer(t, q, at(0), "pulls")
			offer(t, q, at(0), "lookups")
			wantReason(t, q.Events()[0].Refusal, call.ReasonOverloaded)
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := newTestQueue(Config{Slots: 1, MaxWaiting: 1, Classes: classes})
			first := offer(t, q, at(0), "lookups")
			loses(t, q)
			q.Done(at(0), first, Result{})
			offer(t, q, at(0), "pulls")
			wantReason(t, q.Offer(at(0), &Entry{}, "pulls", time.Time{}), call.ReasonOverRate)
		})
	}
}

func TestDrainRefusesWaitingAndNew(t *testing.T) {
	q := newTestQueue(Config{Slots: 1})
	running := offer(t, q, at(0), "x")
	offer(t, q, at(0), "x")
	q.Drain(at(0))
	wantReason(t, q.Events()[0].Refusal, call.ReasonDraining)
	wantReason(t, q.Offer(at(0), &Entry{}, "x", time.Time{}), call.ReasonDraining)
	if !running.Started() {
		t.Error("a running call was stopped")
	}
}

// A booking waits for a slot until a tenth of a second of its time is left, where
// bookings take three times that. Started, it is cut off at its deadline: its work
// is lost, and its caller told that nobody knows whether it ran. It has to be refused
// while it is certain that it did not.
func TestHopelessCallsAreNotStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(QueueOptions{Rand: rand.New(rand.NewPCG(1, 2))})
	q.Configure(now, Config{Slots: 1, Classes: []Class{{Name: "book"}}})
	for range minLight {
		var e Entry
		if r := q.Offer(now, &e, "book", now.Add(time.Second)); r != nil {
			t.Fatal(r)
		}
		now = now.Add(300 * time.Millisecond)
		q.Done(now, &e, Result{Latency: 300 * time.Millisecond})
	}
	var running, waiting Entry
	if r := q.Offer(now, &running, "book", now.Add(time.Second)); r != nil {
		t.Fatal(r)
	}
	if r := q.Offer(now, &waiting, "book", now.Add(400*time.Millisecond)); r != nil {
		t.Fatal(r)
	}
	now = now.Add(300 * time.Millisecond)
	q.Done(now, &running, Result{Latency: 300 * time.Millisecond})
	ev := q.Events()
	if len(ev) != 1 || ev[0].Refusal == nil || ev[0].Refusal.Reason != call.ReasonExpired {
		t.Errorf("events: %+v", ev)
	}
}
