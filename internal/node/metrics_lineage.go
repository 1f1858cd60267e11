package node

// writeLineage writes how well the roots of nested calls are known, once there were such calls.
func (c *callPath) writeLineage(p page) {
	s := c.lineage.Stats()
	if s.Exact+s.Bounded+s.Unknown == 0 {
		return
	}
	p.counter("marlpass_lineage_roots_total", s.Exact, "known", "exact")
	p.counter("marlpass_lineage_roots_total", s.Bounded, "known", "bounded")
	p.counter("marlpass_lineage_roots_total", s.Unknown, "known", "unknown")
}
