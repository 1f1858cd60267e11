package lineage

import "time"

const (
	// agingInterval is the time after which counts and times are halved, so that a class that has
	// ceased to make calls is forgotten within minutes.
	agingInterval = time.Minute
	// minArrivals is how many calls must have come while calls of one class only ran, before that
	// class counts as making them. It is also the least number of calls that must have been
	// expected while no call ran, before their absence counts.
	minArrivals = 4
	// minContrast is how many times more calls must come while a class runs than while no call runs.
	// Calls from elsewhere come as often at either time.
	minContrast = 4
	// maxRateRatio bounds how many times more often the class that makes most calls may make them
	// than one that counts as making them. It excludes classes that happen to run when a call
	// arrives late from a run that was given up.
	maxRateRatio = 8
)

// advance adds the time since the last change to the totals of the state that lasted until now.
func (t *Tracker) advance(now time.Time) {
	if t.last.IsZero() {
		t.last, t.agedAt = now, now
	}
	elapsed := now.Sub(t.last)
	if elapsed <= 0 {
		return // concurrent callers read the clock before they take the lock
	}
	t.last = now
	switch t.active {
	case 0:
		t.idle += elapsed
	case 1:
		class := t.onlyRunning()
		class.alone += elapsed
		class.callTime += elapsed * time.Duration(len(class.runs))
	}
	if now.Sub(t.agedAt) >= agingInterval {
		t.agedAt = now
		t.age()
	}
}

// onlyRunning returns a class with running calls, or nil.
func (t *Tracker) onlyRunning() *runningClass {
	for _, class := range t.classes {
		if len(class.runs) > 0 {
			return class
		}
	}
	return nil
}

// age halves all counts and times, and drops those of classes that have not been seen lately.
func (t *Tracker) age() {
	t.idle /= 2
	for name, class := range t.classes {
		class.alone /= 2
		class.callTime /= 2
		if len(class.runs) == 0 && class.alone < time.Millisecond {
			delete(t.classes, name)
			for _, a := range t.calls {
				delete(a.during, class)
			}
		}
	}
	for name, a := range t.calls {
		a.idle /= 2
		total := a.idle
		for class := range a.during {
			a.during[class] /= 2
			total += a.during[class]
		}
		if total < 0.01 {
			delete(t.calls, name)
		}
	}
}

// record counts a call of a class that entered now.
func (t *Tracker) record(class string) *arrivals {
	a := t.calls[class]
	if a == nil {
		a = &arrivals{during: make(map[*runningClass]float64)}
		t.calls[class] = a
	}
	switch t.active {
	case 0:
		a.idle++
	case 1:
		a.during[t.onlyRunning()]++
	}
	return a
}

// makersOf returns the classes that make the calls counted in a.
func (t *Tracker) makersOf(a *arrivals, nested bool) []*runningClass {
	t.makers = t.makers[:0]
	var highest float64
	for class, n := range a.during {
		if n >= minArrivals {
			highest = max(highest, class.callRate(n))
		}
	}
	for class, n := range a.during {
		if n >= minArrivals && class.callRate(n)*maxRateRatio >= highest && t.makes(class, a, nested) {
			t.makers = append(t.makers, class)
		}
	}
	return t.makers
}

// makes reports whether the calls counted in a depend on running calls of class.
func (t *Tracker) makes(class *runningClass, a *arrivals, nested bool) bool {
	// The calls that would have come while no call ran if they were independent of class.
	expected := a.during[class] * t.idle.Seconds() / max(class.alone.Seconds(), 1e-3)
	if expected < minArrivals {
		return nested // no call ran too rarely to tell
	}
	return expected >= minContrast*a.idle
}

// callRate returns how many calls per second one running call of the class makes if it made n.
func (c *runningClass) callRate(n float64) float64 { return n / max(c.callTime.Seconds(), 1e-3) }
