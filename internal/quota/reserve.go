package quota

import "time"

// withoutShare returns the limit less a reserved share of it.
func (l Limit) withoutShare(share float64) Limit {
	left := max(1-share, 0)
	return Limit{Rate: l.Rate * left, Burst: l.Burst * left, OwnBurst: l.OwnBurst * left}
}

// reserveTimedOut reserves a share of each quota for every reporter that has timed out: the ratio
// of its average rate to that of the whole mesh.
func (c *Collector) reserveTimedOut(now time.Time) {
	c.reserve(now, c.nodes, nodeTimeout)
	c.reserve(now, c.collectors, collectorTimeout)
}

func (c *Collector) reserve(now time.Time, reporters map[string]*reporter, timeout time.Duration) {
	for _, r := range reporters {
		if r.reserved != nil || now.Sub(r.lastReport) <= timeout {
			continue
		}
		if r.reserved = r.shares; r.reserved != nil {
			continue
		}
		r.reserved = make(map[string]float64, len(r.usage))
		for name, s := range r.usage {
			r.reserved[name] = s.AverageRate / max(c.averageRate(name), s.AverageRate, minAverageRate)
		}
	}
}

// averageRate returns the average rate of a workspace's requested calls in the whole mesh.
func (c *Collector) averageRate(name string) float64 {
	sum := 0.0
	for _, r := range c.reporters() {
		if s := r.usage[name]; s != nil {
			sum += s.AverageRate
		}
	}
	return sum
}

// reservedShares returns the reserved share of each workspace's quota, over all reporters that
// have timed out.
func (c *Collector) reservedShares() map[string]float64 {
	reservedShares := make(map[string]float64)
	for _, r := range c.reporters() {
		for name, share := range r.reserved {
			reservedShares[name] += share
		}
	}
	return reservedShares
}
