package limit

import "time"

// adaptiveLimit is a concurrency limit. It falls below the announced slots when
// the backend server turns out to run fewer calls at once, and rises again.
//
// It compares the service time of calls that started at the limit with that of
// calls that started under light load. Both are means, so that widely spread
// service times don't look like a slow backend server. A backend server that is
// slow at any load raises both, so that the limit does not fall without effect.
type adaptiveLimit struct {
	slots          int
	current        float64
	slowdown       average // service time at the limit over mean service time under light load, in ppm
	samplesAtLimit int     // calls that started at the limit, in this window
	shedCalls      int     // calls that the backend server refused, in this window
}

const (
	slowRatio         = 1.5  // slowdown above which the limit falls
	steadyRatio       = 1.25 // slowdown below which the limit rises
	limitDecrease     = 0.85
	shedDecrease      = 0.8
	limitIncrease     = 0.5 // slots per window
	minLightSamples   = 10  // samples under light load before they are compared
	minSamplesAtLimit = 5   // samples at the limit before it is lowered
	ratioScale        = 1e6
)

// setSlots sets the announced slots and reports whether they have changed.
func (a *adaptiveLimit) setSlots(slots int) bool {
	if slots == a.slots {
		return false
	}
	a.slots = slots
	a.current = float64(slots)
	a.slowdown = average{}
	return true
}

func (a *adaptiveLimit) limit() int {
	return min(max(int(a.current+shareRounding), 1), a.slots)
}

// lightLoad returns how many calls may run for a sample to count as light load. A
// quarter is low enough to stay below the real number of slots of a backend
// server that announces far too many.
func (a *adaptiveLimit) lightLoad() int { return max(1, a.slots/4) }

func (a *adaptiveLimit) observe(c *classState, busy int, latency time.Duration) {
	light := &c.lightServiceTime
	if busy <= a.lightLoad() {
		light.add(latency)
	}
	if busy < a.limit() || light.count < minLightSamples || light.value <= 0 {
		return
	}
	a.samplesAtLimit++
	a.slowdown.add(time.Duration(ratioScale * float64(latency) / light.value))
}

// endWindow adjusts the limit at the end of a control window.
func (a *adaptiveLimit) endWindow() {
	ratio := a.slowdown.value / ratioScale
	switch {
	case a.shedCalls > 0:
		a.current = max(1, a.current*shedDecrease)
	case a.samplesAtLimit >= minSamplesAtLimit && ratio > slowRatio:
		a.current = max(1, a.current*limitDecrease)
		// The samples were taken at the old limit.
		a.slowdown = average{}
	case a.samplesAtLimit < minSamplesAtLimit || ratio < steadyRatio:
		a.current = min(float64(a.slots), a.current+limitIncrease)
	}
	a.samplesAtLimit, a.shedCalls = 0, 0
}
