package limit

import "time"

// relativeWait is the first lane of Fairway, with expected work in place of the
// remaining tokens: cheap work first, and each call moved forward by its wait
// relative to a multiple of its expected work.
type relativeWait struct {
	multiple float64
	floor    time.Duration
}

func (o relativeWait) score(now time.Time, c *classState, mean float64) float64 {
	work := max(float64(c.serviceTime.duration()), float64(time.Millisecond))
	scale := max(o.multiple*work, float64(o.floor))
	return mean/work + float64(now.Sub(c.head().arrived))/scale
}

func (o relativeWait) pick(now time.Time, candidates []*classState) *classState {
	var mean float64
	for _, c := range candidates {
		mean += float64(c.serviceTime.duration()) / float64(len(candidates))
	}
	best, bestScore := candidates[0], o.score(now, candidates[0], mean)
	for _, c := range candidates[1:] {
		if s := o.score(now, c, mean); s > bestScore {
			best, bestScore = c, s
		}
	}
	return best
}

// shortestFirst orders by expected work only.
type shortestFirst struct{}

func (shortestFirst) pick(_ time.Time, candidates []*classState) *classState {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.serviceTime.value < best.serviceTime.value {
			best = c
		}
	}
	return best
}

// fairway adds the second lane, in order of arrival. Work that the first lane
// starts is counted weight times, so that the work started ahead of the oldest
// call is at most its own work over weight, plus one call.
type fairway struct {
	fast       relativeWait
	weight     float64
	fastLedger float64
	fairLedger float64
	oldest     uint64
}

func (o *fairway) pick(now time.Time, candidates []*classState) *classState {
	oldest := FirstComeFirstServed{}.pick(now, candidates)
	fast := o.fast.pick(now, candidates)
	if o.oldest != oldest.head().sequence {
		// The paper resets the ledgers at every scheduling step. Here calls
		// start one at a time, so a step lasts until the oldest call starts.
		o.oldest = oldest.head().sequence
		o.fastLedger = o.weight * fast.serviceTime.value
		o.fairLedger = oldest.serviceTime.value
	}
	if o.fastLedger <= o.fairLedger {
		o.fastLedger += o.weight * fast.serviceTime.value
		return fast
	}
	return oldest
}

// relativeToTarget orders by the wait relative to the wait budget of the class.
type relativeToTarget struct{}

func (relativeToTarget) pick(now time.Time, candidates []*classState) *classState {
	score := func(c *classState) float64 {
		return float64(now.Sub(c.head().arrived)) / float64(max(c.waitBudget(), time.Millisecond))
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if score(c) > score(best) {
			best = c
		}
	}
	return best
}
