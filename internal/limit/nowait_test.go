package limit

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against busy refusals of NoWait calls counted as misses: the class would get
// reserved slots and be served newest first, though its calls are in time elsewhere.
func TestBusyRefusalIsNotATargetMiss(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "lookups", AnswerWithin: 200 * time.Millisecond, RatePerSecond: 5}}})
	running := offer(t, q, at(0), "lookups")
	for i := range 50 {
		wantReason(t, q.Offer(at(time.Duration(300+10*i)*time.Millisecond), &Entry{NoWait: true}, "lookups", time.Time{}), call.ReasonBusy)
	}
	c := q.classes["lookups"]
	if c.missesTarget() || c.stats.Refused != 0 || c.stats.Busy != 50 || q.waiting != 0 {
		t.Errorf("misses %v, refused %d, busy %d, waiting %d", c.missesTarget(), c.stats.Refused, c.stats.Busy, q.waiting)
	}
	q.Done(at(time.Second), running, Result{Latency: time.Second})
	e := &Entry{NoWait: true}
	if r := q.Offer(at(time.Second), e, "lookups", time.Time{}); r != nil || !e.Started() {
		t.Errorf("refused %v with a free slot: busy refusals used up the class's rate", r)
	}
}
