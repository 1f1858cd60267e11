package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// updateUnexamined keeps the number of the target version's calls since it was last examined, and the
// time since when there are too many of them.
func (c *Coordinator) updateUnexamined(now time.Time) {
	if c.comparedSinceExamined >= examinationCalls && float64(c.comparedCalls) >= c.firstExaminationCalls() {
		c.comparedSinceExamined, c.unexaminedCalls, c.unexaminedSince = 0, c.pendingCalls(), time.Time{}
	}
	if c.unexaminedCalls+c.uncountedCalls() >= maxUnexaminedCalls && c.unexaminedSince.IsZero() {
		c.unexaminedSince = now
	}
}

// uncountedCalls returns the number of calls granted to canaries that have not reported on them yet, and
// of those reported that there was nothing to compare with.
func (c *Coordinator) uncountedCalls() uint32 {
	var n uint32
	for _, s := range c.canaries() {
		h := c.counts[s.key()]
		if h == nil {
			continue
		}
		n += totalCalls(sinceAll(h.last, h.counted))
		if !h.lost {
			n += uint32(c.unreported[s.VM].calls)
		}
	}
	return n
}

// firstExaminationCalls returns the number of compared calls after which the version is examined for the
// first time: enough to compare the variance of its times, or as many as it gets in time.
func (c *Coordinator) firstExaminationCalls() float64 {
	return min(minVarianceAnswers, maxUnexaminedCalls+c.rate()*c.set.Share*maxUnexaminedTime.Seconds()/2)
}

// pendingCalls returns the number of the target version's calls in pending rounds.
func (c *Coordinator) pendingCalls() uint32 {
	var n uint32
	for _, r := range c.pending {
		n += r.calls
	}
	return n
}

func mergeAll(to, from map[string]Failures) {
	for class, f := range from {
		sum := to[class]
		sum.merge(f)
		to[class] = sum
	}
}

// recentCalls returns the number of the target version's calls that were compared in the last rounds.
func (c *Coordinator) recentCalls() uint32 {
	var n uint32
	for _, r := range c.recent {
		n += r.calls
	}
	return n
}

// rejectReason returns the reason why the target version is worse than the baseline, or "": over the
// whole period, over the last rounds, or since all of its servers were opened.
func (c *Coordinator) rejectReason() string {
	recent := c.evidenceOf(c.recent)
	reason := cmp.Or(Compare(c.wholeEvidence()), Compare(recent))
	if reason == "" && !c.openedAt.IsZero() {
		reason = Compare(c.evidenceOf(c.openRounds(c.recent)))
	}
	return reason
}

// doubt returns the reason why the target version should not get more calls yet, or "": it has failed
// more often than the baseline, or would be rejected if the pending rounds counted.
func (c *Coordinator) doubt() string {
	for _, class := range slices.Sorted(maps.Keys(c.failures)) {
		if reason := failureReason(c.failures[class], minFailuresDoubt); reason != "" {
			return reason
		}
	}
	return Compare(c.evidenceOf(c.openRounds(append(slices.Clone(c.recent), c.pending...))))
}

// openRounds returns the rounds whose calls ran while all servers of the target version were open.
func (c *Coordinator) openRounds(rounds []roundCounts) []roundCounts {
	return slices.DeleteFunc(slices.Clone(rounds), func(r roundCounts) bool { return r.number <= c.openedRound+1 })
}

// wholeEvidence returns the evidence of all rounds that were compared. Lost servers are left out: the
// remaining ones would be compared with an earlier period.
func (c *Coordinator) wholeEvidence() Evidence {
	e := Evidence{Failures: c.failures}
	for _, s := range c.sampled() {
		if h := c.counts[s.key()]; h != nil && !h.lost {
			e.add(s.Version == c.order.Target, h.compared)
		}
	}
	return e
}

// evidenceOf returns the evidence of some rounds.
func (c *Coordinator) evidenceOf(rounds []roundCounts) Evidence {
	e := Evidence{Failures: make(map[string]Failures)}
	servers := make(map[string]map[string]Counts)
	for _, r := range rounds {
		mergeAll(e.Failures, r.failures)
		for key, counts := range r.servers {
			if servers[key] == nil {
				servers[key] = make(map[string]Counts)
			}
			addAll(servers[key], counts)
		}
	}
	for _, s := range c.sampled() {
		if h := c.counts[s.key()]; h != nil && !h.lost {
			e.add(s.Version == c.order.Target, servers[s.key()])
		}
	}
	return e
}

func (e *Evidence) add(canary bool, counts map[string]Counts) {
	if canary {
		e.Canaries = append(e.Canaries, counts)
	} else {
		e.Baseline = append(e.Baseline, counts)
	}
}
