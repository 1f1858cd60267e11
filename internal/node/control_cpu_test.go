package node

import (
	"testing"
	"time"
)

// Guards against call processing counted as processor time of control: an interval counts only
// if no call is in flight at either end and none starts in between.
func TestControlCPUExcludesIntervalsWithCalls(t *testing.T) {
	start := time.Now()
	at := func(n int, started uint64, idle bool) cpuSample {
		return cpuSample{at: start.Add(time.Duration(n) * time.Second), cpu: time.Duration(n) * time.Millisecond, started: started, idle: idle}
	}
	for _, c := range []struct {
		name     string
		from, to cpuSample
		counts   bool
	}{
		{"no call", at(0, 5, true), at(1, 5, true), true},
		{"a call starts and ends", at(0, 5, true), at(1, 6, true), false},
		{"a call starts", at(0, 5, true), at(1, 6, false), false},
		{"a call ends", at(0, 5, false), at(1, 5, true), false},
		{"a call in flight throughout", at(0, 5, false), at(1, 5, false), false},
	} {
		q := new(controlCPUMeter)
		q.addInterval(c.from, c.to)
		cpu, wall := q.totals()
		if (wall == 1) != c.counts || (cpu == 0.001) != c.counts {
			t.Errorf("%s: counted %g s of processor time over %g s", c.name, cpu, wall)
		}
	}
}
