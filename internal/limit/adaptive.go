package limit

import "time"

// adaptive lowers the limit on running calls under the announced slots when the
// backend server shows that it runs fewer at once, and raises it again.
//
// It compares the service time of calls that started while the backend server
// was full with that of calls that started while it was at most half full. Both
// are means, so widely spread service times don't look like a slow backend
// server; and a backend server that is slow at any load raises both, so the
// limit does not fall for nothing.
type adaptive struct {
	slots   int
	current float64
	excess  average // of full service time over light service time, in ppm
	full    int     // calls that started at the limit in this window
	shed    int
}

const (
	slowRatio     = 1.5 // above it the backend server is running too many
	steadyRatio   = 1.25
	limitDecrease = 0.85
	shedDecrease  = 0.8
	limitIncrease = 0.5
	minLight      = 10 // samples of light load that a comparison needs
	minFull       = 5  // samples at the limit that a decision needs
	ratioScale    = 1e6
)

// setSlots reports whether the number differs from the last one.
func (a *adaptive) setSlots(slots int) bool {
	if slots == a.slots {
		return false
	}
	a.slots = slots
	a.current = float64(slots)
	a.excess = average{}
	return true
}

func (a *adaptive) limit() int {
	return min(max(int(a.current+shareRounding), 1), a.slots)
}

// lightLoad is the most calls that may run for a sample to count as light.
func (a *adaptive) lightLoad() int { return max(1, a.slots/2) }

func (a *adaptive) observe(c *classState, busy int, latency time.Duration) {
	light := &c.light
	if busy <= a.lightLoad() {
		light.add(latency)
	}
	if busy < a.limit() || light.count < minLight || light.value <= 0 {
		return
	}
	a.full++
	a.excess.add(time.Duration(ratioScale * float64(latency) / light.value))
}

// turn ends a window.
func (a *adaptive) turn() {
	ratio := a.excess.value / ratioScale
	switch {
	case a.shed > 0:
		a.current = max(1, a.current*shedDecrease)
	case a.full >= minFull && ratio > slowRatio:
		a.current = max(1, a.current*limitDecrease)
		// What was measured belongs to the old limit.
		a.excess = average{}
	case a.full < minFull || ratio < steadyRatio:
		a.current = min(float64(a.slots), a.current+limitIncrease)
	}
	a.full, a.shed = 0, 0
}
