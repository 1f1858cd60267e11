package rollout

import (
	"cmp"
	"time"
)

const (
	// disturbedFrom is the part of the sampled nodes whose loss disturbs a comparison, and
	// calmAfter how long it does.
	disturbedFrom = 0.15
	calmAfter     = 1500 * time.Millisecond
)

// history is what a server has counted, by tick.
type history struct {
	version string
	first   map[string]Counts // since when the whole time counts
	prev    map[string]Counts // answered before last
	last    map[string]Counts
	recent  []map[string]Counts // oldest first, at most window
	rate    float64             // calls a second
	round   int                 // of messages that it last answered
	reset   bool                // its node has started again since the answer before
	at      time.Time
}

// RecordReports takes in what the node of a VM said of its servers, to a message of the phase
// that stands.
func (c *Coordinator) RecordReports(now time.Time, vm string, answers []ServerReport) {
	c.told[vm] = true
	for _, a := range answers {
		key := Server{VM: vm, Instance: a.Instance}.key()
		c.held[key] = c.record.Phase == Draining && a.Held && a.InFlight == 0
		h := c.counts[key]
		if h == nil {
			h = &history{version: a.Version, at: now}
			c.counts[key] = h
		} else if passed := now.Sub(h.at); passed > 0 {
			h.reset = calls(a.Counts) < calls(h.last)
			h.rate = float64(calls(sinceAll(a.Counts, h.last))) / passed.Seconds()
		}
		h.prev, h.last, h.at, h.round = h.last, a.Counts, now, c.round
		h.recent = append(h.recent, a.Counts)
		h.recent = h.recent[max(0, len(h.recent)-window):]
	}
}

// disturbed notes whether many nodes were lost or started again between two rounds, and
// reports whether that was lately.
//
// It guards a good version. The loss of many nodes at once fails calls for a moment, in
// numbers that differ from server to server, and takes with it what was counted of them. What
// was counted until then tells nothing of a version any more, and the moment itself neither.
func (c *Coordinator) disturbed(now time.Time) bool {
	lost, known := 0, 0
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || !c.asked[s.VM] {
			continue
		}
		known++
		if h.reset || h.round != c.round {
			lost++
		}
	}
	if float64(lost) > disturbedFrom*float64(known) {
		c.calmAt = now.Add(calmAfter)
	}
	if !now.Before(c.calmAt) {
		return false
	}
	for _, h := range c.counts {
		h.first, h.recent = h.last, h.recent[len(h.recent)-1:]
	}
	c.rounds, c.failures = nil, make(map[string]Failures)
	return true
}

// collect takes in the failures of the last round.
func (c *Coordinator) collect() {
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
	c.rounds = c.rounds[max(0, len(c.rounds)-window):]
	mergeAll(c.failures, round)
}

func mergeAll(to, from map[string]Failures) {
	for class, f := range from {
		sum := to[class]
		sum.merge(f)
		to[class] = sum
	}
}

// condemned returns why the target version is worse than the baseline, or "": over the
// whole time, or lately. Servers whose nodes didn't answer the last messages tell nothing:
// as many nodes are lost, those that are left would be held against the time before.
func (c *Coordinator) condemned() string {
	whole, late := Evidence{Failures: c.failures}, Evidence{Failures: make(map[string]Failures)}
	for _, round := range c.rounds {
		mergeAll(late.Failures, round)
	}
	for _, s := range c.sampled() {
		h := c.counts[s.key()]
		if h == nil || h.round != c.round {
			continue
		}
		all, lately := sinceAll(h.last, h.first), sinceAll(h.last, h.recent[0])
		if s.Version == c.order.Target {
			whole.Canaries, late.Canaries = append(whole.Canaries, all), append(late.Canaries, lately)
		} else {
			whole.Baseline, late.Baseline = append(whole.Baseline, all), append(late.Baseline, lately)
		}
	}
	return cmp.Or(Compare(whole), Compare(late))
}
