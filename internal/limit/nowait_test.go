package limit

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A call that looks for a free slot is refused where none is, at once. That is no miss of
// its class: counted as one, a busy backend server would reserve slots for the class and
// serve its newest call first, while all its calls are answered in time elsewhere.
func TestBusyIsNoMiss(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "lookups", AnswerWithin: 200 * time.Millisecond, RatePerSecond: 5}}})
	running := offer(t, q, at(0), "lookups")
	for i := range 50 {
		wantReason(t, q.Offer(at(time.Duration(300+10*i)*time.Millisecond), &Entry{NoWait: true}, "lookups", time.Time{}), call.ReasonBusy)
	}
	c := q.classes["lookups"]
	if c.misses() || c.stats.Refused != 0 || c.stats.Busy != 50 || q.waiting != 0 {
		t.Errorf("misses %v, refused %d, busy %d, waiting %d", c.misses(), c.stats.Refused, c.stats.Busy, q.waiting)
	}
	q.Done(at(time.Second), running, Result{Latency: time.Second})
	e := &Entry{NoWait: true}
	if r := q.Offer(at(time.Second), e, "lookups", time.Time{}); r != nil || !e.Started() {
		t.Errorf("refused %v with a free slot: looks used up the class's rate", r)
	}
}
