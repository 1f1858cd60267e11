package quota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limit is the token bucket of one workspace for the whole mesh.
type Limit struct {
	Rate  float64 // calls per second
	Burst float64 // bucket size in calls
	// OwnBurst is the part of Burst that the quota itself allows. The rest is tolerance.
	OwnBurst float64
}

// Policy says how users measure the calls of a workspace against its quota.
type Policy struct {
	// Window is the span over which calls are counted; zero where the quota is a token bucket.
	Window time.Duration
	// Overage and Slack are the tolerance in a window: a fraction of the quota, and a number of
	// calls.
	Overage, Slack float64
}

// toleranceUsed is the fraction of the tolerance that a limit hands out. The rest covers calls that
// nodes have admitted but not reported yet.
const toleranceUsed = 0.25

// Limit returns the limit for a quota of rate calls per second and burst calls on top. A workspace
// that uses its whole quota in each window uses the burst in each of them as well.
func (p Policy) Limit(rate, burst float64) Limit {
	if p.Window <= 0 {
		return Limit{Rate: rate, Burst: burst + toleranceUsed*p.Slack, OwnBurst: burst}
	}
	whole := rate*p.Window.Seconds() + burst
	return Limit{Rate: whole / p.Window.Seconds(), Burst: toleranceUsed * (p.Overage*whole + p.Slack)}
}

const (
	// levelHorizon is the time over which the tokens of a bucket are spent, or its deficit is
	// recovered.
	levelHorizon = time.Second
	// nodeTimeout and collectorTimeout are how late the report of a node or of another collector
	// may be. A later one may be gone, or partitioned and still admitting calls, so its share of
	// each quota is reserved.
	nodeTimeout      = 1500 * time.Millisecond
	collectorTimeout = 500 * time.Millisecond
	// nodeExpiry and collectorExpiry are how long after the last report that share stays reserved.
	// A short time suits a node, which may be gone; a data centre is more likely partitioned
	// than gone.
	nodeExpiry      = 10 * time.Second
	collectorExpiry = 5 * time.Minute
	// minDecisionInterval is the least time between two decisions. Reports in between get the
	// previous one.
	minDecisionInterval = 50 * time.Millisecond
	// demandCalls is how many calls the demand is averaged over, and maxDemandWindow the longest
	// time.
	demandCalls     = 8
	maxDemandWindow = 2 * time.Second
	// initialLevel is the number of tokens in a bucket before the first report.
	initialLevel = 5
	// minAverageRate, in calls per second, keeps a reporter with next to no calls from reserving
	// the whole quota.
	minAverageRate = 1e-3
)

// Collector aggregates the calls of each workspace in the whole mesh and decides on the admission
// ratios. It is not safe for concurrent use.
type Collector struct {
	dataCentre    string
	nodes         map[string]*reporter // nodes that report to this collector
	collectors    map[string]*reporter // other collectors
	buckets       map[string]*bucket
	admittedTotal map[string]int64 // calls admitted by nodes, by workspace
	// sent holds the average rates of the last totals sent to other collectors.
	sent map[string]float64
	// unreached is the share of each quota that is reserved for data centres that this collector has
	// not reached since it started.
	unreached float64
	decision  []Admission
	decidedAt time.Time
}

// reporter is the state of a node, or of another collector.
type reporter struct {
	// dataCentre is that of a collector; empty for a node.
	dataCentre  string
	incarnation uint64
	lastReport  time.Time
	usage       map[string]*usageState
	// shares are the shares of each workspace's quota that another collector may use, as of its last
	// report; nil for nodes.
	shares map[string]float64
	// reserved is the share of each workspace's quota that is reserved for a reporter that timed
	// out; nil while reports arrive.
	reserved map[string]float64
}

// usageState is the last report on one workspace.
type usageState struct {
	Usage
	shortRate float64 // of a node: requested calls per second, averaged over shortRateOver
	// estimated counts the calls taken out of the bucket since that report.
	estimated float64
	// granted is how many of the waiting calls were granted since that report.
	granted int
}

// bucket is the token bucket of one workspace. A negative level means that too many calls were
// admitted.
type bucket struct {
	level  float64
	ratio  float64 // admission ratio of the last decision
	demand float64 // moving average of the requested calls per second
	// overdue is the part of demand that is of overdue calls, and recentOverdue their last rate.
	overdue, recentOverdue float64
	// average is the sum of the average rates of all reporters, and ownDemand that of the short-term
	// rates of the nodes.
	average, ownDemand float64
	// backlog is how many refused callers are expected to return.
	backlog float64
	escrow  escrow
}

// updateDemand adds the requested rates of the last span to the moving averages. The fewer calls
// there are, the longer the averaging time: a sample of few calls is noisy.
func (b *bucket) updateDemand(recent, overdue, span float64) {
	over := min(demandCalls/max(recent, b.demand, 1), maxDemandWindow.Seconds())
	weight := 1 - math.Exp(-span/over)
	b.demand += weight * (recent - b.demand)
	b.overdue += weight * (overdue - b.overdue)
}

// refill adds the tokens of a span in seconds and updates the admission ratio.
func (b *bucket) refill(limit Limit, recent, span float64) {
	b.level = min(b.level+limit.Rate*span, max(limit.Burst, 1))
	b.updateDemand(recent, b.recentOverdue, span)
	b.ratio = admissionRatio(b.demand, b.available(limit))
	b.addBacklog(span)
}

// available returns the rate at which calls may be admitted now.
func (b *bucket) available(limit Limit) float64 { return limit.Rate + b.level/levelHorizon.Seconds() }

// admissionRatio returns the ratio of the demand to admit, given the available rate, both in calls
// per second.
func admissionRatio(demand, available float64) float64 {
	switch {
	case available <= 0:
		return 0
	case demand <= available:
		return 1
	}
	return available / demand
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{
		nodes: make(map[string]*reporter), collectors: make(map[string]*reporter),
		buckets: make(map[string]*bucket), admittedTotal: make(map[string]int64), sent: make(map[string]float64),
	}
}

// AddNodeReport records the report of a node.
func (c *Collector) AddNodeReport(now time.Time, id string, incarnation uint64, usage []Usage) {
	c.record(now, c.nodes, id, incarnation, usage, true)
	c.dropFormer(now, c.dataCentre)
}

// AddCollectorReport records the report of another collector: the totals of its nodes. Former
// collectors of its data centre that have timed out are dropped: their nodes report to this one, so
// that a share reserved for them would be missing from the quota.
func (c *Collector) AddCollectorReport(now time.Time, dataCentre, id string, incarnation uint64, usage []Usage) {
	c.record(now, c.collectors, id, incarnation, usage, false)
	c.collectors[id].dataCentre = dataCentre
	c.dropFormer(now, dataCentre)
}

// SetDataCentre sets the data centre of this collector. While nodes report to it, no share is
// reserved for a former collector of that data centre.
func (c *Collector) SetDataCentre(dataCentre string) { c.dataCentre = dataCentre }

// dropFormer drops the collectors of a data centre that have timed out.
func (c *Collector) dropFormer(now time.Time, dataCentre string) {
	maps.DeleteFunc(c.collectors, func(_ string, r *reporter) bool {
		return r.dataCentre == dataCentre && now.Sub(r.lastReport) > collectorTimeout
	})
}

func (c *Collector) record(now time.Time, reporters map[string]*reporter, id string, incarnation uint64, usage []Usage, isNode bool) {
	r := reporters[id]
	known := r != nil && r.incarnation == incarnation
	if !known {
		r = &reporter{incarnation: incarnation, usage: make(map[string]*usageState)}
		reporters[id] = r
	}
	span := now.Sub(r.lastReport)
	r.lastReport = now
	// Calls admitted without reports are covered by the reservation.
	known, r.reserved = known && r.reserved == nil, nil
	c.clearUsage(r, known)
	for _, u := range usage {
		s := r.usage[u.Workspace]
		if s == nil {
			s = new(usageState)
			r.usage[u.Workspace] = s
		}
		if !known {
			// Most of the calls admitted before the first report are long ago.
			s.Admitted, s.estimated = u.Admitted-min(u.Admitted, int64(u.RecentRate*ReportInterval.Seconds())), 0
		}
		admitted := u.Admitted - s.Admitted
		if isNode {
			c.admittedTotal[u.Workspace] += admitted
		}
		c.bucket(u.Workspace).level -= float64(admitted) - s.estimated
		s.updateShortRate(u, span)
		s.Usage, s.estimated, s.granted = u, 0, 0
	}
	if !isNode {
		c.updateShares(r)
	}
}

// clearUsage resets the usage that a new report is to replace. A report of totals doesn't list the
// workspaces of nodes that now report elsewhere. The calls estimated since the last report go back into
// the buckets, unless the reporter had timed out: its calls of that time are not counted afterwards.
func (c *Collector) clearUsage(r *reporter, known bool) {
	for name, s := range r.usage {
		if known {
			c.bucket(name).level += s.estimated
		}
		s.RecentRate, s.AverageRate, s.OverdueRate, s.Waiting, s.estimated = 0, 0, 0, 0, 0
	}
}

func (c *Collector) bucket(workspace string) *bucket {
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{ratio: 1, level: initialLevel}
		c.buckets[workspace] = b
	}
	return b
}

// SetUnreached sets the share of each quota that is reserved for data centres that this collector
// has not reached since it started: they may be admitting calls that it does not know of.
func (c *Collector) SetUnreached(share float64) { c.unreached = share }

// Decide returns the workspaces whose calls are not all admitted, sorted by name.
func (c *Collector) Decide(now time.Time, limits map[string]Limit) []Admission {
	if c.decidedAt.IsZero() {
		c.decidedAt = now
	}
	if now.Sub(c.decidedAt) < minDecisionInterval && c.decision != nil {
		return c.decision
	}
	span := now.Sub(c.decidedAt).Seconds()
	c.decidedAt = now
	c.expire(now)
	c.reserveTimedOut(now)
	recent, reservedShares := c.collectDemand(span), c.reservedShares()
	out := make([]Admission, 0)
	for name, limit := range limits {
		b := c.bucket(name)
		left := limit.withoutShare(reservedShares[name] + c.unreached)
		b.refill(left, recent[name], span)
		c.hold(now, name, b, limit, left)
		if b.ratio < 1 || b.escrow.held {
			a := Admission{Workspace: name, Ratio: b.ratio, Hold: b.escrow.bound()}
			if b.ratio < 1 {
				a.Split = b.split(left, b.available(left))
			}
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Admission) int { return strings.Compare(a.Workspace, b.Workspace) })
	c.decision = out
	return out
}

// reporters returns all known nodes and other collectors.
func (c *Collector) reporters() []*reporter {
	out := make([]*reporter, 0, len(c.nodes)+len(c.collectors))
	for _, group := range []map[string]*reporter{c.nodes, c.collectors} {
		for _, r := range group {
			out = append(out, r)
		}
	}
	return out
}

// collectDemand returns the requested rate of each workspace in the whole mesh, and takes the calls
// estimated to have been admitted during the span out of the buckets.
func (c *Collector) collectDemand(span float64) map[string]float64 {
	recent := make(map[string]float64)
	for _, b := range c.buckets {
		b.recentOverdue, b.average, b.ownDemand = 0, 0, 0
	}
	for _, r := range c.reporters() {
		if r.reserved != nil {
			continue
		}
		for name, s := range r.usage {
			recent[name] += s.RecentRate
			b := c.bucket(name)
			b.recentOverdue += s.OverdueRate
			b.average += s.AverageRate
			if r.shares == nil {
				b.ownDemand += s.shortRate
			}
			admitted := c.foreseenRate(r, s, b) * span
			s.estimated += admitted
			b.level -= admitted
		}
	}
	return recent
}

// expire drops the reporters whose reservation has ended.
func (c *Collector) expire(now time.Time) {
	drop := func(reporters map[string]*reporter, after time.Duration) {
		maps.DeleteFunc(reporters, func(_ string, r *reporter) bool { return now.Sub(r.lastReport) > after })
	}
	drop(c.nodes, nodeExpiry)
	drop(c.collectors, collectorExpiry)
}

// DemandRate returns the requested calls per second of a workspace in the whole mesh.
func (c *Collector) DemandRate(workspace string) float64 { return c.bucket(workspace).demand }

// NodeCount returns how many nodes report to this collector.
func (c *Collector) NodeCount() int { return len(c.nodes) }

// NodeTotals returns the usage of each workspace over all nodes that report to this collector,
// sorted by name, for other collectors.
func (c *Collector) NodeTotals() []Usage {
	sums := make(map[string]*Usage)
	for _, r := range c.nodes {
		if r.reserved != nil {
			continue
		}
		for name, s := range r.usage {
			sum := sums[name]
			if sum == nil {
				sum = &Usage{Workspace: name, Admitted: c.admittedTotal[name]}
				sums[name] = sum
			}
			sum.RecentRate += s.RecentRate
			sum.AverageRate += s.AverageRate
			sum.OverdueRate += s.OverdueRate
		}
	}
	out := make([]Usage, 0, len(sums))
	for _, u := range sums {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(a.Workspace, b.Workspace) })
	clear(c.sent)
	for _, u := range out {
		c.sent[u.Workspace] = u.AverageRate
	}
	return out
}
