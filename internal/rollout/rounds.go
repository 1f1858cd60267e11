package rollout

import "time"

const (
	// lostRounds is the number of rounds without a report after which a node counts as lost. Until
	// then it is late, and says nothing about the version.
	lostRounds = 4
	// disturbedFraction is the fraction of sampled nodes that are lost or restart within
	// disturbingRounds and disturb the comparison, and disturbanceTime how long a disturbance by
	// restarts lasts. That by losses is over when they are noticed.
	disturbedFraction = 0.15
	disturbingRounds  = 2
	disturbanceTime   = 1500 * time.Millisecond
	// examinationCalls is the number of further compared calls after which a version that is not rejected
	// counts as examined again, and maxUnexaminedCalls the number of calls that it may get before the
	// time to examine them, maxUnexaminedTime, starts.
	examinationCalls   = 30
	maxUnexaminedCalls = 50
	maxUnexaminedTime  = 3500 * time.Millisecond
)

// history holds the reports on a server. Reports are running totals, so one that is lost costs
// nothing but time: the next one includes its calls.
type history struct {
	version    string
	last       map[string]Counts // the last report
	round      int               // its round
	answeredAt time.Time
	rate       float64 // calls per second
	restarted  bool    // its node has restarted since the previous report
	lost       bool

	// counted is the part of last that was compared or discarded, up to countedRound.
	counted      map[string]Counts
	countedRound int
	// compared holds the counts of all rounds that were compared.
	compared map[string]Counts
}

// roundCounts holds the calls reported in one round.
type roundCounts struct {
	number   int
	servers  map[string]map[string]Counts // by server and class
	baseline map[string]Counts            // sum over the baseline's servers, by class
	failures map[string]Failures          // of the canaries, by class
	calls    uint32                       // of the canaries
}

// Status describes the comparison in the last step, for logs.
type Status struct {
	// Sampled is the number of servers whose reports were expected, Late the number of those without
	// one, Lost the number of those without one for some time, and Restarted the number of those
	// whose node has restarted.
	Sampled, Late, Lost, Restarted int
	// Compared is the number of calls of the target version that were compared so far, and Unexamined
	// the number of those since it was last examined.
	Compared, Unexamined uint32
	// Disturbed means that nothing was compared.
	Disturbed bool
}

// Status returns the state of the comparison in the last step.
func (c *Coordinator) Status() Status { return c.status }

// RecordReports records the reports of a VM's node on its servers, in reply to a message of the
// current phase.
func (c *Coordinator) RecordReports(now time.Time, vm string, reports []ServerReport) {
	c.acknowledged[vm] = true
	granted := c.unreported[vm].calls
	delete(c.unreported, vm)
	for _, report := range reports {
		key := Server{VM: vm, Instance: report.Instance}.key()
		c.idle[key] = c.record.Phase == Draining && report.Held && report.InFlight == 0
		h := c.counts[key]
		if h == nil {
			h = &history{version: report.Version, answeredAt: now, countedRound: c.round - 1}
			c.counts[key] = h
		} else if passed := now.Sub(h.answeredAt); passed > 0 {
			h.restarted = totalCalls(report.Counts) < totalCalls(h.last)
			h.rate = float64(totalCalls(sinceAll(report.Counts, h.last))) / passed.Seconds()
		}
		if h.restarted && h.version == c.order.Target {
			c.unexaminedCalls += uint32(granted) // what it counted of them is gone
		}
		if h.lost && h.version != c.order.Target {
			// Its calls since the last report belong to a longer period than those of the others.
			h.counted, h.countedRound = report.Counts, c.round
		}
		h.last, h.answeredAt, h.round, h.lost = report.Counts, now, c.round, false
	}
}

// collect takes in the reports of the last round, and reports whether the comparison is disturbed.
//
// The loss of many nodes at once makes calls fail for a moment, in numbers that differ from server to
// server. What they say of that moment is discarded. A report that is merely late defers the
// comparison of its round instead, by less than lostRounds.
func (c *Coordinator) collect(now time.Time) bool {
	c.pending = append(c.pending, c.newRound())
	if c.observeLosses() {
		c.losses, c.pending, c.openedAt, c.discardedRound = nil, nil, time.Time{}, c.round
		if c.status.Restarted > 0 {
			c.undisturbedAt = now.Add(disturbanceTime)
		}
	}
	c.status.Disturbed = now.Before(c.undisturbedAt)
	if c.status.Disturbed {
		c.pending, c.openedAt = nil, time.Time{}
	} else {
		c.compareUpTo(c.lastCompleteRound())
	}
	c.updateUnexamined(now)
	c.status.Compared, c.status.Unexamined = c.comparedCalls, c.unexaminedCalls
	return c.status.Disturbed
}

// newRound returns the calls that were reported in the last round for the first time.
func (c *Coordinator) newRound() roundCounts {
	r := roundCounts{
		number: c.round, servers: make(map[string]map[string]Counts),
		baseline: make(map[string]Counts), failures: make(map[string]Failures),
	}
	sampled := c.sampled()
	for _, s := range sampled {
		if h := c.counts[s.key()]; h != nil && h.countedRound < c.discardedRound {
			// Its calls since then include those of the disturbed time.
			if s.Version == c.order.Target {
				c.unexaminedCalls += totalCalls(sinceAll(h.last, h.counted))
			}
			h.counted, h.countedRound = h.last, c.round
		}
	}
	for _, s := range sampled {
		if h := c.counts[s.key()]; h != nil && h.round == c.round && s.Version != c.order.Target {
			addAll(r.baseline, r.take(s, h))
		}
	}
	if totalCalls(r.baseline) == 0 {
		return r // nothing to compare with yet; later reports include these calls
	}
	for _, s := range sampled {
		h := c.counts[s.key()]
		if h == nil || h.round != c.round || s.Version != c.order.Target {
			continue
		}
		baseline := c.baselineSince(h.countedRound, r)
		counts := r.take(s, h)
		r.calls += totalCalls(counts)
		for class, n := range counts {
			f := r.failures[class]
			f.Add(n, baseline[class])
			r.failures[class] = f
		}
	}
	c.unexaminedCalls += r.calls
	return r
}

// take adds the calls of a server that were not counted yet to the round.
func (r *roundCounts) take(s Server, h *history) map[string]Counts {
	counts := sinceAll(h.last, h.counted)
	r.servers[s.key()] = counts
	h.counted, h.countedRound = h.last, r.number
	return counts
}

// baselineSince returns the baseline's calls in r and the rounds before it that follow the given
// round, as far as they are kept.
func (c *Coordinator) baselineSince(round int, r roundCounts) map[string]Counts {
	sum := make(map[string]Counts)
	addAll(sum, r.baseline)
	for _, list := range [][]roundCounts{c.recent, c.pending} {
		for _, earlier := range list {
			if earlier.number > round {
				addAll(sum, earlier.baseline)
			}
		}
	}
	return sum
}

// observeLosses reports whether so many nodes were lost or restarted lately that the comparison is
// disturbed. Nodes that stay lost disturb it once; the others are compared without them.
func (c *Coordinator) observeLosses() bool {
	c.status = Status{}
	events := 0
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || !c.messaged[s.VM] {
			continue
		}
		c.status.Sampled++
		switch {
		case h.round == c.round && h.restarted:
			c.status.Restarted++
			events++
		case h.lost:
			c.status.Lost++
		case c.round-h.round >= lostRounds:
			h.lost = true
			c.status.Lost++
			events++
		case h.round != c.round:
			c.status.Late++
		}
	}
	c.losses = append(c.losses, events)
	c.losses = c.losses[max(0, len(c.losses)-disturbingRounds):]
	sum := 0
	for _, n := range c.losses {
		sum += n
	}
	return float64(sum) > disturbedFraction*float64(c.status.Sampled)
}

// lastCompleteRound returns the last round that enough servers have reported on, in that round or
// later.
func (c *Coordinator) lastCompleteRound() int {
	for round := c.round; round > c.round-lostRounds; round-- {
		missing, known := 0, 0
		for _, s := range c.sampled() {
			h := c.counts[s.key()]
			if h == nil || !c.messaged[s.VM] || h.lost {
				continue
			}
			known++
			if h.round < round {
				missing++
			}
		}
		if float64(missing) <= disturbedFraction*float64(known) {
			return round
		}
	}
	return c.round - lostRounds
}

// compareUpTo adds the pending rounds up to the given one to the evidence.
func (c *Coordinator) compareUpTo(round int) {
	for len(c.pending) > 0 && c.pending[0].number <= round {
		r := c.pending[0]
		c.pending = c.pending[1:]
		c.recent = append(c.recent, r)
		mergeAll(c.failures, r.failures)
		for key, counts := range r.servers {
			h := c.counts[key]
			if h.compared == nil {
				h.compared = make(map[string]Counts)
			}
			addAll(h.compared, counts)
		}
		c.comparedCalls += r.calls
		c.comparedSinceExamined += r.calls
		if !c.openedAt.IsZero() && r.number > c.openedRound+1 {
			c.comparedOpen += r.calls
		}
	}
	for len(c.recent) > 0 && c.recent[0].number <= c.round-recentTicks {
		c.recent = c.recent[1:]
	}
}
