package quota

// averageRates returns the sum of a workspace's average rates over the nodes that report here, and
// over the other collectors.
func (c *Collector) averageRates(name string) (own, others float64) {
	for _, r := range c.nodes {
		if s := r.usage[name]; s != nil {
			own += s.AverageRate
		}
	}
	for _, r := range c.collectors {
		if s := r.usage[name]; s != nil {
			others += s.AverageRate
		}
	}
	return own, others
}

// othersShare returns the share of a workspace's quota that the other collectors may use, without
// those that have timed out.
func (c *Collector) othersShare(name string) float64 {
	share := 0.0
	for _, r := range c.collectors {
		if r.reserved == nil {
			share += r.shares[name]
		}
	}
	return min(share, 1)
}

// updateShares sets the shares of another collector after its report. Its own rates count as this
// collector last sent them: the other knows these, and computes its share by them.
func (c *Collector) updateShares(r *reporter) {
	r.shares = make(map[string]float64, len(r.usage))
	for name, s := range r.usage {
		own, others := c.averageRates(name)
		if sent, ok := c.sent[name]; ok {
			own = sent
		}
		r.shares[name] = s.AverageRate / max(own+others, s.AverageRate, minAverageRate)
		if b := c.bucket(name); b.escrow.held {
			c.reserveLevel(name, b, s, r.shares[name])
		}
	}
}
