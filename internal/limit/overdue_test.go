package limit

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// previews is a class as a toolmaker calls it: a third of a second of work, aimed at
// 600 ms, and callers who wait four seconds and come back twice, after the second that
// a refusal tells them at least.
func previews(load float64, forget bool) simulation {
	return simulation{
		classes: []simClass{{Class{Name: "previews", AnswerWithin: 600 * time.Millisecond}, 300 * time.Millisecond, 1, 4 * time.Second}},
		slots:   9, real: 9, load: load, lasts: time.Minute, seed: 1,
		attempts: 3, retryEvery: 1200 * time.Millisecond, forget: forget,
	}
}

// At ten per cent over what the backend server can do, callers who were refused come
// back late. Taken for newcomers, they filled the places of those who could still be
// in time, who were refused for it and came back late in turn: most answers were late,
// for good, at a load that had asked to refuse one call in ten.
func TestReturningCallersDoNotCrowdOutOthers(t *testing.T) {
	for _, load := range []float64{1.1, 1.25} {
		known, unknown := previews(load, false).run().classes["previews"], previews(load, true).run().classes["previews"]
		share := func(n int, r *classResult) float64 { return float64(n) / float64(r.offered) }
		t.Logf("load %.2f: in time %.3f and answered %.3f, without telling them apart %.3f and %.3f", load,
			share(known.inTime, known), share(known.answered, known), share(unknown.inTime, unknown), share(unknown.answered, unknown))
		if share(known.inTime, known) < 1.15*share(unknown.inTime, unknown) {
			t.Errorf("load %.2f: calls that return still crowd out others", load)
		}
		if share(known.answered, known) < 0.97*share(unknown.answered, unknown) {
			t.Errorf("load %.2f: fewer calls are answered", load)
		}
	}
}

// The queue of an overloaded backend server serves the newest call first while its
// class misses its target. In order of arrival each call got its slot when nearly all
// of its time to wait was used up, and a slow one missed: 48 in 100 calls at a load of
// 1.1 were answered in time, where 9 in 10 might be.
func TestMostCallsAreInTimeUnderOverload(t *testing.T) {
	for load, least := range map[float64]float64{0.9: 0.8, 1.1: 0.7, 1.25: 0.62} {
		r := previews(load, false).run().classes["previews"]
		if got := float64(r.inTime) / float64(r.offered); got < least {
			t.Errorf("load %.2f: %.3f in time, want %.2f", load, got, least)
		}
	}
}

// A slot is left over for a moment in which no call waits that can be in time. The
// call that came back late has waited for that and gets it, within the part of its
// time that it waits; one that comes when such slots are rare is refused at once.
func TestOverdueCallsTakeSlotsThatAreLeftOver(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "x", AnswerWithin: 500 * time.Millisecond}}})
	for i := range 20 {
		e := offer(t, q, at(time.Duration(i)*200*time.Millisecond), "x")
		q.Done(at(time.Duration(i)*200*time.Millisecond+100*time.Millisecond), e, Result{Latency: 100 * time.Millisecond})
	}
	running := offer(t, q, at(5*time.Second), "x")
	late := &Entry{FirstAttempt: at(3 * time.Second)}
	if r := q.Offer(at(5*time.Second), late, "x", at(7*time.Second)); r != nil || late.Started() {
		t.Fatalf("refused %v, started %v", r, late.Started())
	}
	fresh := offer(t, q, at(5010*time.Millisecond), "x")
	q.Done(at(5100*time.Millisecond), running, Result{Latency: 100 * time.Millisecond})
	if !fresh.Started() || late.Started() {
		t.Fatalf("the newcomer started %v, the late one %v", fresh.Started(), late.Started())
	}
	q.Done(at(5200*time.Millisecond), fresh, Result{Latency: 100 * time.Millisecond})
	if !late.Started() {
		t.Fatal("a slot was left over, and nobody got it")
	}
	first := &Entry{FirstAttempt: at(4 * time.Second)}
	if r := q.Offer(at(9*time.Second), first, "x", at(11*time.Second)); r != nil {
		t.Fatalf("the first may always wait, got %v", r)
	}
	wantReason(t, q.Offer(at(9*time.Second), &Entry{FirstAttempt: at(4 * time.Second)}, "x", at(11*time.Second)), call.ReasonOverloaded)
	wantReason(t, q.Expire(at(9500*time.Millisecond), first), call.ReasonOverloaded)
}

// Work in progress asks another service for two lookups and fails when either is
// refused: the work is lost and done again. Other calls keep that service's backend
// servers full. The lookups, which nobody sends again, must get through; the others
// are refused for it and come back.
func TestCallsThatDoNotReturnGoFirst(t *testing.T) {
	approvals := simClass{Class{Name: "approvals", AnswerWithin: 800 * time.Millisecond, Priority: 8}, 350 * time.Millisecond, 0.75, 5 * time.Second}
	lookups := simClass{Class{Name: "lookups", AnswerWithin: 200 * time.Millisecond, Priority: 8}, 55 * time.Millisecond, 0.45, 600 * time.Millisecond}
	refused := func(once bool) float64 {
		s := simulation{
			classes: []simClass{approvals, lookups}, slots: 9, real: 9, load: 1, lasts: time.Minute, seed: 1,
			attempts: 3, retryEvery: 1200 * time.Millisecond, once: map[string]bool{"lookups": once},
		}
		r := s.run().classes["lookups"]
		return float64(r.gaveUp) / float64(r.offered)
	}
	before, after := refused(false), refused(true)
	t.Logf("lookups refused: %.3f, and %.3f where it is not known that they don't return", after, before)
	if after > 0.02 || before < 5*after {
		t.Error("lookups are refused")
	}
}
