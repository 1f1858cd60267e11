package limit

import "time"

const (
	// controlWindow is how often limits and reservations are looked at.
	controlWindow = 250 * time.Millisecond
	// missedPart is the part of a class's calls in one window that may be
	// late or refused before the class counts as missing its target.
	missedPart = 0.05
	// releaseEvery is how many windows without a miss free a reserved slot.
	releaseEvery = 2
)

// learn takes the measurements of a call that has ended.
func (q *Queue) learn(now time.Time, e *Entry, r Result) {
	c := e.class
	c.stats.Done++
	if q.waiting > 0 && !q.lastDone.IsZero() {
		q.doneEvery.add(now.Sub(q.lastDone))
	}
	q.lastDone = now
	if r.Shed {
		q.adaptive.shed++
		return
	}
	if r.Failed {
		// A failure's time says nothing of the work: a backend server
		// that fails fast would look like one with room.
		return
	}
	c.service.add(r.Latency)
	c.serviceHigh.add(r.Latency)
	q.adaptive.observe(c, e.busy, r.Latency)
	total := e.started.Sub(e.arrived) + r.Latency
	c.high.add(total)
	c.window.answered++
	if c.AnswerWithin > 0 && total > c.AnswerWithin {
		c.window.late++
		return
	}
	c.stats.OnTarget++
}

// turnWindow ends the control window if it is over.
func (q *Queue) turnWindow(now time.Time) {
	if now.Before(q.windowEnd) {
		return
	}
	q.windowEnd = now.Add(controlWindow)
	q.adaptive.turn()
	for _, c := range q.ordered {
		c.turn()
	}
	if !q.options.NoYielding {
		q.turnReservations()
	}
}

// turn ends the class's window.
func (c *classState) turn() {
	total := c.window.answered + c.window.refused
	var missed float64
	if total > 0 {
		missed = float64(c.window.late+c.window.refused) / float64(total)
	}
	c.missRate = missed
	c.window = windowCounts{}
}

// misses reports whether the class misses its target, be it by late answers or
// because its calls had to be refused to keep the others' answers in time.
func (c *classState) misses() bool {
	return c.AnswerWithin > 0 && c.missRate > missedPart
}

// turnReservations moves one slot. While a class misses its target, one more
// slot is kept free of the class furthest inside its own; after some windows
// without a miss one slot is given back to the most restricted class.
//
// The class that misses is itself let up to the limit. So whenever something is
// reserved there is a class with calls to run that may use it, and an
// overloaded backend server is kept busy.
func (q *Queue) turnReservations() {
	if missing := q.missing(); missing != nil {
		q.calmWindows = 0
		missing.upTo = q.cfg.Slots
		if g := q.giver(missing); g != nil {
			g.upTo = min(g.upTo, q.Limit()) - 1
		}
		return
	}
	q.calmWindows++
	if q.calmWindows%releaseEvery != 0 {
		return
	}
	if c := q.mostRestricted(); c != nil {
		c.upTo++
	}
}

// missing returns the class furthest outside its target, or nil.
func (q *Queue) missing() *classState {
	var worst *classState
	for _, c := range q.ordered {
		if c.misses() && (worst == nil || givesWayBefore(worst, c)) {
			worst = c
		}
	}
	return worst
}

// giver returns the class that gives way to missing: the one furthest inside
// its target among those that hold slots and have any to give.
func (q *Queue) giver(missing *classState) *classState {
	var g *classState
	for _, c := range q.ordered {
		if c.running == 0 || c.upTo <= 1 || !givesWayBefore(c, missing) {
			continue
		}
		if g == nil || givesWayBefore(c, g) {
			g = c
		}
	}
	return g
}

func (q *Queue) mostRestricted() *classState {
	var m *classState
	for _, c := range q.ordered {
		if c.upTo < q.cfg.Slots && (m == nil || c.upTo < m.upTo) {
			m = c
		}
	}
	return m
}
