package quota

import (
	"math"
	"time"
)

const (
	// maxSurge bounds how many times its average rate a workspace is expected to send.
	maxSurge = 9
	// surgeUnseen is the time until all nodes apply the answer to a surge: a report interval, and
	// the early report that triggers it.
	surgeUnseen = ReportInterval + 2*MinReportInterval
	// holdFor is how long a workspace stays held after it was last near its quota.
	holdFor = time.Second
	// partUsed is the fraction of the tolerance that nodes may admit beyond what is foreseen. The
	// rest of what the limit leaves covers the delay of reports between collectors.
	partUsed = 0.5
)

// escrow is a collector's bound on the calls of one workspace that its nodes admit before it knows
// of them.
type escrow struct {
	held      bool
	heldUntil time.Time
	tolerance float64 // this collector's part of the tolerance, in calls
	part      float64 // calls of each node beyond the foreseen ones
	foreseen  float64 // fraction of a node's short-term rate that it may admit between answers
	rate      float64 // of the limit
}

// bound returns the bound for nodes, or nil if the workspace is not held.
func (e *escrow) bound() *Hold {
	if !e.held {
		return nil
	}
	return &Hold{Calls: e.part, Foreseen: e.foreseen}
}

// tolerance returns how many calls more than its rate and its own burst a workspace may make in a window.
func (l Limit) tolerance() float64 { return (l.Burst - l.OwnBurst) / toleranceUsed }

// nearQuota reports whether a surge could exceed the quota before all nodes know of it: the calls
// known of the last seconds, plus what a surge adds unseen. The demand counts where it is more than a
// surge of the average rate, which is too low in the first seconds of a workspace.
func (l Limit) nearQuota(average, demand float64) bool {
	over := averageOver.Seconds()
	return average*over+max(maxSurge*average, demand)*surgeUnseen.Seconds() > l.Rate*over+l.OwnBurst+l.tolerance()
}

// hold decides whether a workspace is held, and what its nodes may admit until their next answer.
// left is the limit without the shares that are reserved. A ratio below 1 alone is no reason to hold
// calls: small workspaces far below their quota reach it by chance.
func (c *Collector) hold(now time.Time, name string, b *bucket, limit, left Limit) {
	e := &b.escrow
	if left.nearQuota(b.average, b.demand) {
		e.heldUntil = now.Add(holdFor)
	}
	e.held = now.Before(e.heldUntil)
	if !e.held {
		return
	}
	e.rate = limit.Rate
	e.foreseen = 1
	if available := left.Rate * (1 - c.othersShare(name)); b.ownDemand > available {
		e.foreseen = available / b.ownDemand
	}
	e.tolerance = partUsed * limit.tolerance() / float64(c.dataCentres())
	if c.unreached > 0 {
		e.tolerance = 0 // an earlier run may have spent it
	}
	// A part below one call would never admit one: then it is all left to waiting calls.
	e.part = math.Floor((e.tolerance + min(b.level, 0)) / float64(max(len(c.nodes), 1)))
	e.part = max(e.part, 0)
}

// dataCentres returns the number of data centres with a collector. One whose collector changes counts
// once.
func (c *Collector) dataCentres() int {
	all := map[string]bool{c.dataCentre: true}
	for _, r := range c.collectors {
		all[r.dataCentre] = true
	}
	return len(all)
}

// reserveLevel takes another collector's share of the tokens out of the bucket after its report.
func (c *Collector) reserveLevel(name string, b *bucket, s *usageState, share float64) {
	all := b.level
	for _, r := range c.collectors {
		if o := r.usage[name]; o != nil && r.reserved == nil {
			all += o.estimated
		}
	}
	s.estimated = share * max(all, 0)
	b.level -= s.estimated
}

// foreseenRate returns the rate at which a reporter may admit calls before its next report.
func (c *Collector) foreseenRate(r *reporter, s *usageState, b *bucket) float64 {
	switch {
	case !b.escrow.held:
		return s.RecentRate * b.ratio
	case r.shares != nil:
		return r.shares[s.Workspace] * b.escrow.rate
	}
	return s.shortRate * b.escrow.foreseen
}

// shortRateOver is the time constant of a node's short-term rate. By the average rate, which takes five
// seconds to follow a surge, nodes would admit far less than the quota in its first seconds.
const shortRateOver = time.Second

// updateShortRate adds a report to the short-term rate, which begins as the average rate.
func (s *usageState) updateShortRate(u Usage, span time.Duration) {
	if s.shortRate == 0 {
		s.shortRate = u.AverageRate
	}
	s.shortRate += (1 - math.Exp(-span.Seconds()/shortRateOver.Seconds())) * (u.RecentRate - s.shortRate)
}

// MaxForeseen bounds the fraction of its average rate that a node may be told to admit. A workspace
// sends up to maxSurge times its average rate.
const MaxForeseen = maxSurge

// foreseenFraction returns the fraction of a node's average rate that it may admit.
func (e *escrow) foreseenFraction(s *usageState) float64 {
	if s.AverageRate < minAverageRate {
		return e.foreseen
	}
	return min(e.foreseen*s.shortRate/s.AverageRate, MaxForeseen)
}

// Answer returns the decision for one node after its report, with the calls granted to those that
// wait there.
func (c *Collector) Answer(now time.Time, id string, limits map[string]Limit) []Admission {
	out := append([]Admission(nil), c.Decide(now, limits)...)
	r := c.nodes[id]
	for i, a := range out {
		if a.Hold == nil || r == nil || r.usage[a.Workspace] == nil {
			continue
		}
		bound := *a.Hold
		bound.Foreseen = c.bucket(a.Workspace).escrow.foreseenFraction(r.usage[a.Workspace])
		bound.Granted = c.grant(c.bucket(a.Workspace), r.usage[a.Workspace])
		out[i].Hold = &bound
	}
	return out
}

// grant takes tokens for the waiting calls of a node out of the bucket. The part of the tolerance
// that is not given to nodes beforehand counts as well.
func (c *Collector) grant(b *bucket, s *usageState) int {
	available := b.level
	if b.escrow.part < 1 {
		available += b.escrow.tolerance
	}
	granted := min(s.Waiting-s.granted, int(max(available, 0)))
	s.granted += granted
	s.estimated += float64(granted)
	b.level -= float64(granted)
	return s.granted
}
