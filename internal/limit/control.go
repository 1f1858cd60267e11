package limit

import "time"

const (
	// controlWindow is the interval at which limits and reservations are adjusted.
	controlWindow = 250 * time.Millisecond
	// maxMissRate is the fraction of a class's calls in one window that may be
	// late or refused before the class counts as missing its latency target.
	maxMissRate = 0.05
	// releaseWindows is how many windows without a miss release a reserved slot.
	releaseWindows = 2
)

// recordResult updates the measurements with a call that has ended.
func (q *Queue) recordResult(now time.Time, e *Entry, r Result) {
	c := e.class
	c.stats.Done++
	if q.waiting > 0 && !q.lastCompletion.IsZero() {
		q.completionInterval.add(now.Sub(q.lastCompletion))
	}
	q.lastCompletion = now
	if r.Shed {
		q.adaptive.shedCalls++
		return
	}
	if r.Failed {
		// The latency of a failure is not counted: a backend server that
		// fails fast would look like one with spare capacity.
		return
	}
	c.serviceTime.add(r.Latency)
	c.serviceTimeHigh.add(r.Latency)
	q.adaptive.observe(c, e.busyAtStart, r.Latency)
	total := e.started.Sub(e.arrived) + r.Latency
	c.latencyHigh.add(total)
	c.window.answered++
	if c.AnswerWithin > 0 && total > c.AnswerWithin {
		c.window.late++
		return
	}
	c.stats.OnTarget++
}

// rollWindow starts a new control window if the current one is over.
func (q *Queue) rollWindow(now time.Time) {
	if now.Before(q.windowEnd) {
		return
	}
	q.windowEnd = now.Add(controlWindow)
	q.adaptive.endWindow()
	for _, c := range q.ordered {
		c.endWindow()
	}
	if !q.options.NoYielding {
		q.adjustReservations()
	}
}

// endWindow computes the miss rate of the window and resets its counts.
func (c *classState) endWindow() {
	total := c.window.answered + c.window.refused
	var missed float64
	if total > 0 {
		missed = float64(c.window.late+c.window.refused) / float64(total)
	}
	c.missRate = missed
	c.window = windowCounts{}
}

// missesTarget reports whether the class misses its latency target, by late
// answers or by calls refused so that other answers are in time.
func (c *classState) missesTarget() bool {
	return c.AnswerWithin > 0 && c.missRate > maxMissRate
}

// adjustReservations moves one slot. While a class misses its latency target, the
// class furthest within its own loses one more allowed slot; after releaseWindows
// without a miss the most restricted class regains one.
//
// The class that misses its target may use all slots. So some class with waiting
// calls may use every reserved slot, and an overloaded backend server is kept busy.
func (q *Queue) adjustReservations() {
	if behind := q.mostBehindClass(); behind != nil {
		q.windowsWithoutMiss = 0
		behind.allowedSlots = q.cfg.Slots
		if yielding := q.yieldingClass(behind); yielding != nil {
			yielding.allowedSlots = min(yielding.allowedSlots, q.Limit()) - 1
		}
		return
	}
	q.windowsWithoutMiss++
	if q.windowsWithoutMiss%releaseWindows != 0 {
		return
	}
	if c := q.mostRestrictedClass(); c != nil {
		c.allowedSlots++
	}
}

// mostBehindClass returns the class furthest beyond its latency target, or nil if
// none misses it.
func (q *Queue) mostBehindClass() *classState {
	var worst *classState
	for _, c := range q.ordered {
		if c.missesTarget() && (worst == nil || yieldsBefore(worst, c)) {
			worst = c
		}
	}
	return worst
}

// yieldingClass returns the class that yields a slot to behind, or nil: the one
// furthest within its latency target among those that hold slots and are allowed
// more than one.
func (q *Queue) yieldingClass(behind *classState) *classState {
	var yielding *classState
	for _, c := range q.ordered {
		if c.running == 0 || c.allowedSlots <= 1 || !yieldsBefore(c, behind) {
			continue
		}
		if yielding == nil || yieldsBefore(c, yielding) {
			yielding = c
		}
	}
	return yielding
}

// mostRestrictedClass returns the class with the fewest allowed slots, or nil if
// all may use all slots.
func (q *Queue) mostRestrictedClass() *classState {
	var restricted *classState
	for _, c := range q.ordered {
		if c.allowedSlots < q.cfg.Slots && (restricted == nil || c.allowedSlots < restricted.allowedSlots) {
			restricted = c
		}
	}
	return restricted
}
