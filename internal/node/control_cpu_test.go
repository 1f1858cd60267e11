package node

import (
	"testing"
	"time"
)

// Control's processor time must not take in what calls cost: an interval counts
// only if no call was there at either end and none came between.
func TestQuietLeavesOutIntervalsWithCalls(t *testing.T) {
	start := time.Now()
	at := func(n int, started uint64, idle bool) cpuSample {
		return cpuSample{at: start.Add(time.Duration(n) * time.Second), cpu: time.Duration(n) * time.Millisecond, started: started, idle: idle}
	}
	for _, c := range []struct {
		name     string
		from, to cpuSample
		counts   bool
	}{
		{"none", at(0, 5, true), at(1, 5, true), true},
		{"one that came and went", at(0, 5, true), at(1, 6, true), false},
		{"one that came", at(0, 5, true), at(1, 6, false), false},
		{"one that went", at(0, 5, false), at(1, 5, true), false},
		{"one all along", at(0, 5, false), at(1, 5, false), false},
	} {
		q := new(controlCPUMeter)
		q.addInterval(c.from, c.to)
		cpu, wall := q.totals()
		if (wall == 1) != c.counts || (cpu == 0.001) != c.counts {
			t.Errorf("%s: %g s of %g s", c.name, cpu, wall)
		}
	}
}
