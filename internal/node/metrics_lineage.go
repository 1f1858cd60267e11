package node

// admitRunsBySuccess refuses new runs of a class while most of its runs end because a nested call was
// refused. It is off: in the model, fewer runs are lost, but fewer are done as well.
const admitRunsBySuccess = false

// writeLineage writes how well the roots of nested calls are known, once there were such calls.
func (c *callPath) writeLineage(p page) {
	s := c.lineage.Stats()
	if s.Exact+s.Bounded+s.Unknown == 0 {
		return
	}
	p.counter("marlpass_lineage_roots_total", s.Exact, "known", "exact")
	p.counter("marlpass_lineage_roots_total", s.Bounded, "known", "bounded")
	p.counter("marlpass_lineage_roots_total", s.Unknown, "known", "unknown")
	if c.runs != nil {
		p.counter("marlpass_lineage_runs_refused_total", c.runs.Refused())
	}
}
