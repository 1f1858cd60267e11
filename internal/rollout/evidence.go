package rollout

import (
	"cmp"
	"time"
)

const (
	// disturbedFraction is the fraction of sampled nodes whose loss disturbs a comparison, and
	// disturbanceTime how long the disturbance lasts.
	disturbedFraction = 0.15
	disturbanceTime   = 1500 * time.Millisecond
)

// history holds the counts of a server by tick.
type history struct {
	version    string
	base       map[string]Counts // counts at the start of the whole period
	prev       map[string]Counts // of the report before last
	last       map[string]Counts
	recent     []map[string]Counts // oldest first, at most recentTicks
	rate       float64             // calls per second
	round      int                 // round of the last report
	reset      bool                // its node has restarted since the previous report
	answeredAt time.Time
}

// Status describes the comparison in the last step, for logs.
type Status struct {
	// Sampled is the number of servers whose reports were expected, Silent the number of those
	// without one, and Restarted the number of those whose node has restarted.
	Sampled, Silent, Restarted int
	// Disturbed means that nothing was compared.
	Disturbed bool
}

// Status returns the state of the comparison in the last step.
func (c *Coordinator) Status() Status { return c.status }

// RecordReports records the reports of a VM's node on its servers, in reply to a message of the
// current phase.
func (c *Coordinator) RecordReports(now time.Time, vm string, reports []ServerReport) {
	c.acknowledged[vm] = true
	for _, report := range reports {
		key := Server{VM: vm, Instance: report.Instance}.key()
		c.idle[key] = c.record.Phase == Draining && report.Held && report.InFlight == 0
		h := c.counts[key]
		if h == nil {
			h = &history{version: report.Version, answeredAt: now}
			c.counts[key] = h
		} else if passed := now.Sub(h.answeredAt); passed > 0 {
			h.reset = totalCalls(report.Counts) < totalCalls(h.last)
			h.rate = float64(totalCalls(sinceAll(report.Counts, h.last))) / passed.Seconds()
		}
		h.prev, h.last, h.answeredAt, h.round = h.last, report.Counts, now, c.round
		h.recent = append(h.recent, report.Counts)
		h.recent = h.recent[max(0, len(h.recent)-recentTicks):]
	}
}

// disturbed reports whether many nodes were lost or restarted between two rounds, now or recently.
//
// It guards a good version. The loss of many nodes at once makes calls fail for a moment, in
// numbers that differ from server to server, and the counts of the lost nodes are gone. Neither the
// earlier counts nor those of the moment itself say anything about the version.
func (c *Coordinator) disturbed(now time.Time) bool {
	c.status = Status{}
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || !c.messaged[s.VM] {
			continue
		}
		c.status.Sampled++
		switch {
		case h.reset:
			c.status.Restarted++
		case h.round != c.round:
			c.status.Silent++
		}
	}
	if float64(c.status.Restarted+c.status.Silent) > disturbedFraction*float64(c.status.Sampled) {
		c.undisturbedAt = now.Add(disturbanceTime)
	}
	if !now.Before(c.undisturbedAt) {
		return false
	}
	c.status.Disturbed = true
	for _, h := range c.counts {
		h.base, h.recent = h.last, h.recent[len(h.recent)-1:]
	}
	c.rounds, c.failures = nil, make(map[string]Failures)
	return true
}

// collectFailures adds the failures of the last round.
func (c *Coordinator) collectFailures() {
	canaries, baseline := make(map[string]Counts), make(map[string]Counts)
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || h.round != c.round {
			continue
		}
		to := baseline
		if s.Version == c.order.Target {
			to = canaries
		}
		addAll(to, sinceAll(h.last, h.prev))
	}
	round := make(map[string]Failures)
	for class, counts := range canaries {
		var f Failures
		f.Add(counts, baseline[class])
		round[class] = f
	}
	c.rounds = append(c.rounds, round)
	c.rounds = c.rounds[max(0, len(c.rounds)-recentTicks):]
	mergeAll(c.failures, round)
}

func mergeAll(to, from map[string]Failures) {
	for class, f := range from {
		sum := to[class]
		sum.merge(f)
		to[class] = sum
	}
}

// rejectReason returns the reason why the target version is worse than the baseline, over the whole
// period or recently, or "". Servers whose nodes did not reply to the last messages are left out:
// when many nodes are lost, the remaining ones would be compared with an earlier period.
func (c *Coordinator) rejectReason() string {
	whole, recent := Evidence{Failures: c.failures}, Evidence{Failures: make(map[string]Failures)}
	for _, round := range c.rounds {
		mergeAll(recent.Failures, round)
	}
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || h.round != c.round {
			continue
		}
		all, recentCounts := sinceAll(h.last, h.base), sinceAll(h.last, h.recent[0])
		if s.Version == c.order.Target {
			whole.Canaries, recent.Canaries = append(whole.Canaries, all), append(recent.Canaries, recentCounts)
		} else {
			whole.Baseline, recent.Baseline = append(whole.Baseline, all), append(recent.Baseline, recentCounts)
		}
	}
	return cmp.Or(Compare(whole), Compare(recent))
}
