package load

import (
	"testing"
	"time"
)

// Every sending that ends is counted once, under either set of policies, and no
// booking runs twice under ours.
func TestOverloadCountsEverySending(t *testing.T) {
	rep, err := MeasureOverload(t.Context(), OverloadOptions{
		Loads: []float64{1}, Window: 300 * time.Millisecond, Crowd: true, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.Runs) != 6 {
		t.Fatalf("got %d runs", len(rep.Runs))
	}
	for _, run := range rep.Runs {
		if run.Policy == policyOurs && run.Doubled > 0 {
			t.Errorf("callers %s: %d bookings ran twice", run.Callers, run.Doubled)
		}
		for _, c := range run.Classes {
			if c.Offered == 0 || c.Sent != c.Answered+c.Refused+c.Failed || c.Within > c.Answered {
				t.Errorf("%s, callers %s: %+v", run.Policy, run.Callers, c)
			}
		}
	}
}

func TestClassOfIdentity(t *testing.T) {
	if got := classOf("3/bookings#17"); got != "bookings" {
		t.Errorf("got %q", got)
	}
}
