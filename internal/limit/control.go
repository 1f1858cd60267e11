package limit

import "time"

const (
	// controlWindow is how often limits and caps are looked at.
	controlWindow = 250 * time.Millisecond
	// missedPart is the part of a class's calls in one window that may be
	// late or refused before the class counts as missing its target.
	missedPart = 0.05
	// raiseEvery is how many windows without a miss raise a cap by a slot.
	raiseEvery = 4
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
	if !q.options.NoGiveWay {
		q.turnCaps()
	}
	for _, c := range q.ordered {
		c.window = windowCounts{}
	}
}

// turnCaps moves one slot. While a class misses its target, the class furthest
// inside its own loses one, down to one; after some windows without a miss the
// most restricted class gets one back.
func (q *Queue) turnCaps() {
	missing := q.missing()
	if missing != nil {
		q.sinceGiving = 0
		if g := q.giver(missing); g != nil {
			g.cap = max(1, min(g.cap, g.running, q.Limit())-1)
		}
		return
	}
	q.sinceGiving++
	if q.sinceGiving%raiseEvery != 0 {
		return
	}
	if c := q.mostRestricted(); c != nil {
		c.cap++
	}
}

// missing returns the class furthest outside its target, or nil.
func (q *Queue) missing() *classState {
	var worst *classState
	for _, c := range q.ordered {
		if c.AnswerWithin <= 0 {
			continue
		}
		total := c.window.answered + c.window.refused
		if float64(c.window.late+c.window.refused) <= missedPart*float64(total) {
			continue
		}
		if worst == nil || givesWayBefore(worst, c) {
			worst = c
		}
	}
	return worst
}

// giver returns the class that gives up a slot to missing: the one furthest
// inside its target among those that hold more than one.
func (q *Queue) giver(missing *classState) *classState {
	var g *classState
	for _, c := range q.ordered {
		if c == missing || min(c.cap, c.running) <= 1 || !givesWayBefore(c, missing) {
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
		if c.cap < q.cfg.Slots && (m == nil || c.cap < m.cap) {
			m = c
		}
	}
	return m
}
