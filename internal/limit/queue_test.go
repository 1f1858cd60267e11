package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/testseed"
	"pgregory.net/rapid"
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

func TestRateOfClassIsBounded(t *testing.T) {
	q := newTestQueue(Config{Slots: 100, Classes: []Class{{Name: "x", RatePerSecond: RateOf(100, 10)}}})
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

// Whatever comes in whatever order, a queue never runs more than the announced
// slots, starts or refuses each call once, starts none past its deadline, and
// leaves no slot idle for ever while calls wait.
func TestQueueKeepsItsBounds(t *testing.T) {
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
					t.Fatal("an event for a call that does not wait")
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
				q.Done(now, e, Result{}) // a second release does nothing
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

// All classes call at four times what the backend server can do, once and with
// callers that send again. What is answered of the class with the tightest
// target must be in time, and the backend server must be kept busy.
func TestTightestTargetHoldsAtFourTimesCapacity(t *testing.T) {
	us, base := ours(0), baseline()
	us.lasts, base.lasts = 5*time.Second, 5*time.Second
	for _, attempts := range []int{1, 4} {
		r := us.simulate(4, attempts, nil)
		c := r.classes["lookups"]
		if c.answered == 0 || percent(c.onTarget, c.answered) < 95 || r.useful < 0.9 {
			t.Error(fmt.Sprintf("attempts %d: ", attempts) + row("ours", r))
		}
		b := base.simulate(4, attempts, nil).classes["lookups"]
		if c.onTarget <= b.onTarget {
			t.Errorf("%d lookups on target, baseline %d", c.onTarget, b.onTarget)
		}
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
