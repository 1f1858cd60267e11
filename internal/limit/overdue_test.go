package limit

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// previews simulates a class with 300 ms of work and a latency target of 600 ms, whose
// callers have a deadline of four seconds and retry twice, 1.2 seconds after a refusal.
func previews(load float64, hideFirstAttempt bool) simulation {
	return simulation{
		classes:        []simClass{{Class{Name: "previews", AnswerWithin: 600 * time.Millisecond}, 300 * time.Millisecond, 1, 4 * time.Second}},
		announcedSlots: 9, realSlots: 9, load: load, duration: time.Minute, seed: 1,
		attempts: 3, retryPause: 1200 * time.Millisecond, hideFirstAttempt: hideFirstAttempt,
	}
}

// Guards against a self-sustaining overload: at 1.1 times capacity, retries of refused
// callers took the places of calls that could meet their target, whose callers retried
// late in turn. Most answers were late where refusing one call in ten would do.
func TestRetryingCallersDoNotCrowdOutOthers(t *testing.T) {
	for _, load := range []float64{1.1, 1.25} {
		shown, hidden := previews(load, false).run().classes["previews"], previews(load, true).run().classes["previews"]
		share := func(n int, r *classResult) float64 { return float64(n) / float64(r.offered) }
		t.Logf("load %.2f: in time %.3f and answered %.3f; with retries not known as such %.3f and %.3f", load,
			share(shown.inTime, shown), share(shown.answered, shown), share(hidden.inTime, hidden), share(hidden.answered, hidden))
		if share(shown.inTime, shown) < 1.15*share(hidden.inTime, hidden) {
			t.Errorf("load %.2f: retries crowd out other calls", load)
		}
		if share(shown.answered, shown) < 0.97*share(hidden.answered, hidden) {
			t.Errorf("load %.2f: fewer calls are answered", load)
		}
	}
}

// Guards the newest-first order of a class that misses its target. In order of arrival
// each call started when its wait budget was nearly spent, and slow ones missed: at load
// 1.1, 48 of 100 calls were answered in time where 90 could be.
func TestMostCallsMeetTheirTargetUnderOverload(t *testing.T) {
	for load, minInTime := range map[float64]float64{0.9: 0.8, 1.1: 0.7, 1.25: 0.62} {
		r := previews(load, false).run().classes["previews"]
		if got := float64(r.inTime) / float64(r.offered); got < minInTime {
			t.Errorf("load %.2f: %.3f in time, want %.2f", load, got, minInTime)
		}
	}
}

// Guards the overdue lane: an overdue call gets a slot once no on-time call waits. It is
// refused at once while such spare slots are rare, and later when its time to wait ends.
func TestOverdueCallsTakeSpareSlots(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "x", AnswerWithin: 500 * time.Millisecond}}})
	for i := range 20 {
		e := offer(t, q, at(time.Duration(i)*200*time.Millisecond), "x")
		q.Done(at(time.Duration(i)*200*time.Millisecond+100*time.Millisecond), e, Result{Latency: 100 * time.Millisecond})
	}
	running := offer(t, q, at(5*time.Second), "x")
	overdue := &Entry{FirstAttempt: at(3 * time.Second)}
	if r := q.Offer(at(5*time.Second), overdue, "x", at(7*time.Second)); r != nil || overdue.Started() {
		t.Fatalf("refused %v, started %v", r, overdue.Started())
	}
	fresh := offer(t, q, at(5010*time.Millisecond), "x")
	q.Done(at(5100*time.Millisecond), running, Result{Latency: 100 * time.Millisecond})
	if !fresh.Started() || overdue.Started() {
		t.Fatalf("the on-time call started %v, the overdue one %v", fresh.Started(), overdue.Started())
	}
	q.Done(at(5200*time.Millisecond), fresh, Result{Latency: 100 * time.Millisecond})
	if !overdue.Started() {
		t.Fatal("the overdue call did not get the spare slot")
	}
	first := &Entry{FirstAttempt: at(4 * time.Second)}
	if r := q.Offer(at(9*time.Second), first, "x", at(11*time.Second)); r != nil {
		t.Fatalf("the first overdue call was refused: %v", r)
	}
	wantReason(t, q.Offer(at(9*time.Second), &Entry{FirstAttempt: at(4 * time.Second)}, "x", at(11*time.Second)), call.ReasonOverloaded)
	wantReason(t, q.Expire(at(9500*time.Millisecond), first), call.ReasonOverloaded)
}

// Guards one-shot calls under overload: work in progress makes lookups at a busy service
// and is lost when one is refused, since it does not retry them. The lookups must get
// through; other calls are refused instead and retried.
func TestOneShotCallsStartFirst(t *testing.T) {
	approvals := simClass{Class{Name: "approvals", AnswerWithin: 800 * time.Millisecond, Priority: 8}, 350 * time.Millisecond, 0.75, 5 * time.Second}
	lookups := simClass{Class{Name: "lookups", AnswerWithin: 200 * time.Millisecond, Priority: 8}, 55 * time.Millisecond, 0.45, 600 * time.Millisecond}
	refused := func(once bool) float64 {
		s := simulation{
			classes: []simClass{approvals, lookups}, announcedSlots: 9, realSlots: 9, load: 1, duration: time.Minute, seed: 1,
			attempts: 3, retryPause: 1200 * time.Millisecond, oneShot: map[string]bool{"lookups": once},
		}
		r := s.run().classes["lookups"]
		return float64(r.gaveUp) / float64(r.offered)
	}
	hidden, known := refused(false), refused(true)
	t.Logf("lookups refused: %.3f, and %.3f where they are not known to be one-shot", known, hidden)
	if known > 0.02 || hidden < 5*known {
		t.Error("too many lookups are refused")
	}
}
