package limit

import "time"

// relativeWait is the first lane of Fairway, with expected work in place of the
// tokens left: cheap work first, and each call moved forward by its wait over
// its own patience, which is a multiple of its expected work.
type relativeWait struct {
	multiple float64
	floor    time.Duration
}

func (o relativeWait) score(now time.Time, c *classState, mean float64) float64 {
	work := max(float64(c.service.duration()), float64(time.Millisecond))
	patience := max(o.multiple*work, float64(o.floor))
	return mean/work + float64(now.Sub(c.head().arrived))/patience
}

func (o relativeWait) pick(now time.Time, cs []*classState) *classState {
	var mean float64
	for _, c := range cs {
		mean += float64(c.service.duration()) / float64(len(cs))
	}
	best, bestScore := cs[0], o.score(now, cs[0], mean)
	for _, c := range cs[1:] {
		if s := o.score(now, c, mean); s > bestScore {
			best, bestScore = c, s
		}
	}
	return best
}

// shortestFirst is the cheap-first order alone.
type shortestFirst struct{}

func (shortestFirst) pick(_ time.Time, cs []*classState) *classState {
	best := cs[0]
	for _, c := range cs[1:] {
		if c.service.value < best.service.value {
			best = c
		}
	}
	return best
}

// fairway adds the second lane: by arrival, with the work that the first lane
// places counted weight times, so that the work placed ahead of the oldest call
// is at most its own over the weight, plus one call.
type fairway struct {
	fast       relativeWait
	weight     float64
	fastLedger float64
	fairLedger float64
	oldest     uint64
}

func (o *fairway) pick(now time.Time, cs []*classState) *classState {
	oldest := FirstComeFirstServed{}.pick(now, cs)
	fast := o.fast.pick(now, cs)
	if o.oldest != oldest.head().sequence {
		// The paper resets the ledgers at every scheduling step. Calls
		// start one at a time here, so the step lasts until the oldest
		// call has started.
		o.oldest = oldest.head().sequence
		o.fastLedger = o.weight * fast.service.value
		o.fairLedger = oldest.service.value
	}
	if o.fastLedger <= o.fairLedger {
		o.fastLedger += o.weight * fast.service.value
		return fast
	}
	return oldest
}

// relativeToTarget is the relative wait with the answer time as the patience.
type relativeToTarget struct{}

func (relativeToTarget) pick(now time.Time, cs []*classState) *classState {
	score := func(c *classState) float64 {
		return float64(now.Sub(c.head().arrived)) / float64(max(c.waitBudget(), time.Millisecond))
	}
	best := cs[0]
	for _, c := range cs[1:] {
		if score(c) > score(best) {
			best = c
		}
	}
	return best
}
