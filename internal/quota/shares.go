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

// updateShares sets the shares of another collector after its report. Its own rates count as this
// collector last sent them: the other knows these, and computes its share by them.
func (c *Collector) updateShares(r *reporter) {
	r.shares = make(map[string]float64, len(r.usage))
	for name, s := range r.usage {
		own, sent := c.sent[name]
		if !sent {
			own, _ = c.averageRates(name)
		}
		_, others := c.averageRates(name)
		r.shares[name] = s.AverageRate / max(own+others, s.AverageRate, minAverageRate)
	}
}
