package quota

import (
	"fmt"
	"testing"
	"time"
)

// heldAt returns the bound of a workspace after ten nodes reported the same average rate.
func heldAt(c *Collector, rate float64, waiting int) *Hold {
	now := time.Unix(1e6, 0)
	limits := map[string]Limit{"w": Policy{Window: window, Overage: overage, Slack: slackCalls}.Limit(100, 0)}
	for i := range 10 {
		c.AddNodeReport(now, fmt.Sprint(i), 1, []Usage{{Workspace: "w", RecentRate: rate / 10, AverageRate: rate / 10, Waiting: waiting}})
	}
	for _, a := range c.Answer(now, "0", limits) {
		return a.Hold
	}
	return nil
}

// Guards against calls that wait although their workspace is far below its quota.
func TestFarBelowTheQuotaNothingIsHeld(t *testing.T) {
	if h := heldAt(NewCollector(), 50, 0); h != nil {
		t.Errorf("held at half of the quota: %+v", h)
	}
	if heldAt(NewCollector(), 90, 0) == nil {
		t.Error("not held at nine tenths of the quota")
	}
}

// Guards against a collector that starts behind a partition and hands out the whole quota.
func TestRestartedCollectorReservesWhatItDoesNotKnow(t *testing.T) {
	c := NewCollector()
	c.SetUnreached(2.0 / 3)
	h := heldAt(c, 90, 0)
	if h == nil || h.Calls != 0 || h.Foreseen > 1.0/3/0.9+0.01 {
		t.Errorf("bound %+v, want no part and a third of the quota", h)
	}
}

// Guards against more granted calls than the tokens in the bucket, and against calls granted twice.
func TestGrantsTakeTokens(t *testing.T) {
	c := NewCollector()
	limits := map[string]Limit{"w": {Rate: 100, Burst: 17.5}}
	first := heldAt(c, 90, 3).Granted
	now := time.Unix(1e6, 0)
	granted := first
	for i := 1; i < 10; i++ {
		granted += c.Answer(now, fmt.Sprint(i), limits)[0].Hold.Granted
	}
	if first != 3 || granted > initialLevel {
		t.Errorf("%d of 3 calls granted at the first node, %d in all from %d tokens", first, granted, initialLevel)
	}
	if again := c.Answer(now, "0", limits)[0].Hold.Granted; again != first {
		t.Errorf("%d calls granted in the repeated answer, %d before", again, first)
	}
}

// Guards against a call that waits for ever, or that is counted as waiting after it left.
func TestWaitingCallAsksAgain(t *testing.T) {
	now := time.Unix(1e6, 0)
	l := NewLimiter(now)
	l.Apply([]Admission{{Workspace: "w", Ratio: 1, Hold: &Hold{}}})
	for range 2 {
		if l.Ask(now, "w", false) != Waiting {
			t.Fatal("a call of a held workspace without a part did not wait")
		}
	}
	applied := l.Applied()
	now = now.Add(MinReportInterval)
	if u := l.Report(now)[0]; u.Waiting != 2 {
		t.Fatalf("reported %+v, want 2 waiting", u)
	}
	l.Apply([]Admission{{Workspace: "w", Ratio: 1, Hold: &Hold{Granted: 1}}})
	<-applied
	if l.AskAgain(now, "w") != Admitted || l.AskAgain(now, "w") != Waiting {
		t.Error("one call was granted")
	}
	l.Leave("w")
	if u := l.Report(now.Add(ReportInterval))[0]; u.Waiting != 0 || u.Admitted != 1 {
		t.Errorf("reported %+v, want none waiting and one admitted", u)
	}
}

// Guards against calls that wait in a calm mesh, where each workspace is far below its quota and most
// send a node less than a call in several seconds.
func TestCalmMeshHoldsNextToNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *sim) {
		s.run(10 * time.Second) // until the average rates are known
		s.waited = 0
		s.run(10 * time.Second)
		if most := 20000 / 1000; s.waited > most {
			t.Errorf("%d of about 20,000 calls waited", s.waited)
		}
	})
}
