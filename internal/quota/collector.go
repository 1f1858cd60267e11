package quota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limit is what calls of one workspace may pass in the whole mesh.
type Limit struct {
	Rate  float64 // calls a second
	Burst float64 // calls at once beyond the rate
}

// Policy says how users count the calls of a workspace against its quota.
type Policy struct {
	// Window is the span over which they count; zero where the quota is a token bucket.
	Window time.Duration
	// Overage and Slack are what may be beyond the quota in a window: a share of it, and calls.
	Overage, Slack float64
}

// toleranceUsed is the part of the tolerance that workspaces may use. The rest is for what nodes
// don't know of each other yet.
const toleranceUsed = 0.25

// Limit returns the limit of a quota of rate calls a second and burst calls more. A workspace
// that takes its whole quota in each window takes the burst in each of them as well.
func (t Policy) Limit(rate, burst float64) Limit {
	if t.Window <= 0 {
		return Limit{Rate: rate, Burst: burst + toleranceUsed*t.Slack}
	}
	whole := rate*t.Window.Seconds() + burst
	return Limit{Rate: whole / t.Window.Seconds(), Burst: toleranceUsed * (t.Overage*whole + t.Slack)}
}

const (
	// spreadOver is the time over which the calls that a bucket holds may pass, or what was
	// passed too much is made up for.
	spreadOver = time.Second
	// nodeSilentAfter and sumSilentAfter are how long a node and another collector may be late.
	// One that is later may be gone, or behind a cut and go on by itself, with its share of each
	// quota.
	nodeSilentAfter = 1500 * time.Millisecond
	sumSilentAfter  = 500 * time.Millisecond
	// keepNodeFor and keepSumFor are for how long that share is kept from all others. A node that
	// is gone keeps nothing from them for longer; a data centre is more likely cut off than gone.
	keepNodeFor = 10 * time.Second
	keepSumFor  = 5 * time.Minute
	// keptMore is what is kept over such a share, since the two sides of a cut don't agree on it
	// exactly.
	keptMore = 1.1
	// decideEvery is the least time between two decisions. Reports in between get the last one.
	decideEvery = 50 * time.Millisecond
	// steadyCalls is how many calls a mean is taken over, and longestMean the longest time.
	steadyCalls = 8
	longestMean = 2 * time.Second
	// firstCalls is what the bucket of a collector holds that has heard nothing yet.
	firstCalls = 5
	// minUsual keeps a share of next to no calls from being taken for all.
	minUsual = 1e-3
)

// Collector sums up what the mesh takes of each workspace's quota. It is not safe for
// concurrent use.
type Collector struct {
	nodes     map[string]*reporter // that tell this collector
	others    map[string]*reporter // the collectors that others tell
	buckets   map[string]*bucket
	gathered  map[string]int64 // calls of the nodes that passed, by workspace
	decided   []Admission
	decidedAt time.Time
}

// reporter is a node, or a collector that sums up others.
type reporter struct {
	incarnation uint64
	heard       time.Time
	usage       map[string]*seen
	// shares are those of each workspace's quota that a silent reporter keeps; nil for one that
	// is heard.
	shares map[string]float64
}

// seen is what was heard of one workspace's calls.
type seen struct {
	Usage
	// assumed are the calls taken out of the bucket since, that were not heard of yet.
	assumed float64
}

// bucket holds the calls of one workspace that may pass at once. Below zero, too many have.
type bucket struct {
	level float64
	part  float64 // that passes, as last decided
	asked float64 // rate of the calls asked for, a moving mean
}

// follow takes in the rate of the calls asked for now. The fewer they are, the longer they are
// averaged over: one of a few calls tells little.
func (b *bucket) follow(recent, span float64) {
	over := min(steadyCalls/max(recent, b.asked, 1), longestMean.Seconds())
	b.asked += (1 - math.Exp(-span/over)) * (recent - b.asked)
}

// fill adds the calls of a span of seconds, and sets the part that may pass from now on.
func (b *bucket) fill(limit Limit, recent, span float64) {
	b.level = min(b.level+limit.Rate*span, max(limit.Burst, 1))
	b.follow(recent, span)
	b.part = partOf(b.asked, limit.Rate+b.level/spreadOver.Seconds())
}

// partOf returns which part of the calls asked for may pass, both a second.
func partOf(asked, may float64) float64 {
	switch {
	case may <= 0:
		return 0
	case asked <= may:
		return 1
	}
	return may / asked
}

// NewCollector returns a collector that nobody has told anything.
func NewCollector() *Collector {
	return &Collector{
		nodes: make(map[string]*reporter), others: make(map[string]*reporter),
		buckets: make(map[string]*bucket), gathered: make(map[string]int64),
	}
}

// AddNodeReport takes the report of a node.
func (c *Collector) AddNodeReport(now time.Time, id string, incarnation uint64, usage []Usage) {
	c.take(now, c.nodes, id, incarnation, usage, true)
}

// AddCollectorReport takes the report of another collector on the nodes that tell it.
func (c *Collector) AddCollectorReport(now time.Time, id string, incarnation uint64, usage []Usage) {
	c.take(now, c.others, id, incarnation, usage, false)
}

func (c *Collector) take(now time.Time, from map[string]*reporter, id string, incarnation uint64, usage []Usage, own bool) {
	r := from[id]
	known := r != nil && r.incarnation == incarnation
	if !known {
		r = &reporter{incarnation: incarnation, usage: make(map[string]*seen)}
		from[id] = r
	}
	r.heard = now
	// What passed in a silence was kept from the others.
	known, r.shares = known && r.shares == nil, nil
	for _, u := range usage {
		s := r.usage[u.Workspace]
		if s == nil {
			s = new(seen)
			r.usage[u.Workspace] = s
		}
		if !known {
			// Most of what passed before this collector heard of it is long ago.
			s.Admitted, s.assumed = u.Admitted-min(u.Admitted, int64(u.RecentRate*ReportInterval.Seconds())), 0
		}
		passed := u.Admitted - s.Admitted
		if own {
			c.gathered[u.Workspace] += passed
		}
		c.bucket(u.Workspace).level -= float64(passed) - s.assumed
		s.Usage, s.assumed = u, 0
	}
}

func (c *Collector) bucket(workspace string) *bucket {
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{part: 1, level: firstCalls}
		c.buckets[workspace] = b
	}
	return b
}

// Decide returns the workspaces of which not all calls may pass.
func (c *Collector) Decide(now time.Time, limits map[string]Limit) []Admission {
	if c.decidedAt.IsZero() {
		c.decidedAt = now
	}
	if now.Sub(c.decidedAt) < decideEvery && c.decided != nil {
		return c.decided
	}
	span := now.Sub(c.decidedAt).Seconds()
	c.decidedAt = now
	c.forget(now)
	c.noteSilent(now)
	recent, kept := c.demand(span), c.kept()
	out := make([]Admission, 0)
	for name, limit := range limits {
		b := c.bucket(name)
		b.fill(limit.less(kept[name]), recent[name], span)
		if b.part < 1 {
			out = append(out, Admission{name, b.part})
		}
	}
	slices.SortFunc(out, func(a, b Admission) int { return strings.Compare(a.Workspace, b.Workspace) })
	c.decided = out
	return out
}

// less returns what is left of a quota of which others keep a share.
func (l Limit) less(share float64) Limit {
	left := max(1-keptMore*share, 0)
	return Limit{Rate: l.Rate * left, Burst: l.Burst * left}
}

// noteSilent gives each reporter that has become silent its share of the quotas: that of its
// usual calls among those of all.
func (c *Collector) noteSilent(now time.Time) {
	c.silence(now, c.nodes, nodeSilentAfter)
	c.silence(now, c.others, sumSilentAfter)
}

func (c *Collector) silence(now time.Time, among map[string]*reporter, after time.Duration) {
	for _, r := range among {
		if r.shares != nil || now.Sub(r.heard) <= after {
			continue
		}
		r.shares = make(map[string]float64, len(r.usage))
		for name, s := range r.usage {
			r.shares[name] = s.AverageRate / max(c.usual(name), s.AverageRate, minUsual)
		}
	}
}

// usual returns the usual rate of a workspace's calls in the whole mesh.
func (c *Collector) usual(name string) float64 {
	sum := 0.0
	for _, r := range c.reporters() {
		if s := r.usage[name]; s != nil {
			sum += s.AverageRate
		}
	}
	return sum
}

// kept returns the shares of the quotas that silent reporters keep.
func (c *Collector) kept() map[string]float64 {
	kept := make(map[string]float64)
	for _, r := range c.reporters() {
		for name, share := range r.shares {
			kept[name] += share
		}
	}
	return kept
}

// reporters returns all nodes and collectors that this one knows of.
func (c *Collector) reporters() []*reporter {
	out := make([]*reporter, 0, len(c.nodes)+len(c.others))
	for _, from := range []map[string]*reporter{c.nodes, c.others} {
		for _, r := range from {
			out = append(out, r)
		}
	}
	return out
}

// demand returns the rate of calls asked for in the whole mesh by workspace, and takes what is assumed to
// have passed meanwhile out of the buckets.
func (c *Collector) demand(span float64) map[string]float64 {
	recent := make(map[string]float64)
	for _, r := range c.reporters() {
		if r.shares != nil {
			continue
		}
		for name, s := range r.usage {
			recent[name] += s.RecentRate
			b := c.bucket(name)
			passed := s.RecentRate * b.part * span
			s.assumed += passed
			b.level -= passed
		}
	}
	return recent
}

// forget drops the reporters that nothing was heard of for long.
func (c *Collector) forget(now time.Time) {
	drop := func(from map[string]*reporter, after time.Duration) {
		maps.DeleteFunc(from, func(_ string, r *reporter) bool { return now.Sub(r.heard) > after })
	}
	drop(c.nodes, keepNodeFor)
	drop(c.others, keepSumFor)
}

// DemandRate returns the rate of a workspace's calls asked for in the whole mesh, a second.
func (c *Collector) DemandRate(workspace string) float64 { return c.bucket(workspace).asked }

// NodeCount returns how many nodes tell this collector.
func (c *Collector) NodeCount() int { return len(c.nodes) }

// NodeTotals returns what the nodes that tell this collector take, for other collectors.
func (c *Collector) NodeTotals() []Usage {
	sums := make(map[string]*Usage)
	for _, r := range c.nodes {
		if r.shares != nil {
			continue
		}
		for name, s := range r.usage {
			sum := sums[name]
			if sum == nil {
				sum = &Usage{Workspace: name, Admitted: c.gathered[name]}
				sums[name] = sum
			}
			sum.RecentRate += s.RecentRate
			sum.AverageRate += s.AverageRate
		}
	}
	out := make([]Usage, 0, len(sums))
	for _, u := range sums {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}
