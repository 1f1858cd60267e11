package lineage

import (
	"testing"
	"time"
)

// endRuns runs calls one after the other; of each of the first lost ones a nested call is refused.
func endRuns(a *Admission, now time.Time, runs, lost int) {
	for i := range runs {
		a.Started(now, "browse")
		if i < lost {
			a.NestedRefused(now, "browse", 2*time.Second)
		}
		a.Ended(now, "browse", i < lost)
	}
}

// Guards against runs that are started although their nested calls cannot be served, against refusals
// while most runs succeed, and against a class that is refused for good.
func TestAdmitsRunsInTheShareThatSucceeds(t *testing.T) {
	for _, tt := range []struct {
		name       string
		runs, lost int
		wait       time.Duration
		want       int // of 100 calls
	}{
		{"nothing known", 0, 0, 0, 100},
		{"too few runs", 3, 3, 0, 100},
		{"half of the runs lost", 20, 10, 0, 100},
		{"most runs lost", 20, 16, 0, 20},
		{"all runs lost", 20, 20, 0, 0},
		{"long ago", 20, 20, 5 * outcomeMemory, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var a Admission
			a.Admit(start, "browse", 0)
			endRuns(&a, start, tt.runs, tt.lost)
			now := start.Add(tt.wait)
			admitted := 0
			for i := range 100 {
				after, ok := a.Admit(now, "browse", (float64(i)+0.5)/100)
				if ok {
					admitted++
				} else if after < time.Second || after > 3*time.Second {
					t.Errorf("told to return after %v", after)
				}
			}
			if admitted != tt.want || a.Refused() != uint64(100-tt.want) {
				t.Errorf("%d of 100 runs admitted, want %d", admitted, tt.want)
			}
		})
	}
	var a Admission
	a.Admit(start, "browse", 0)
	endRuns(&a, start, 50, 50)
	if _, ok := a.Admit(start.Add(probeInterval), "browse", 0.99); !ok {
		t.Error("no probe is admitted")
	}
}

// Guards against runs that fail on their own, or succeed without the nested call that was refused,
// and count as lost for it.
func TestOnlyFailedRunsWithRefusedCallsAreLost(t *testing.T) {
	var a Admission
	a.Admit(start, "browse", 0)
	for range 20 {
		a.Started(start, "browse")
		a.NestedRefused(start, "browse", time.Second)
		a.Ended(start, "browse", false)
		a.Started(start, "browse")
		a.Ended(start, "browse", true)
	}
	if _, ok := a.Admit(start, "browse", 0.99); !ok {
		t.Error("a run is refused")
	}
}
