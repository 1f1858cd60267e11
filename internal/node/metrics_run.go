package node

import (
	"time"

	"github.com/marlpass/marlpass/internal/completion"
)

// writeRunTimes writes the slowdowns that backend servers of this VM state, and the relative run times
// of the fastest and the slowest endpoint of each service whose nodes report them.
func (c *callPath) writeRunTimes(p page, now time.Time) {
	c.dest.EachSlowdown(now, func(s completion.Status) {
		p.gauge("marlpass_backend_slowdown", s.Slowdown, "instance", s.Instance)
		p.counter("marlpass_backend_declined_total", s.Declined, "instance", s.Instance)
		for _, r := range s.Runs {
			p.gauge("marlpass_backend_run_seconds", r.Usual.Seconds(), "instance", s.Instance, "class", r.Class)
		}
	})
	for service, picker := range *c.pickers.byService.Load() {
		if !picker.KnowsRunTimes() {
			continue
		}
		// One line for each endpoint would be 100 kB a scrape in a mesh of 1,200 nodes.
		lowest, highest := 0.0, 0.0
		for _, e := range picker.Endpoints(now) {
			if e.RelativeRun > 0 && (lowest == 0 || e.RelativeRun < lowest) {
				lowest = e.RelativeRun
			}
			highest = max(highest, e.RelativeRun)
		}
		if highest > 0 {
			p.gauge("marlpass_service_relative_run", lowest, "service", service, "endpoint", "fastest")
			p.gauge("marlpass_service_relative_run", highest, "service", service, "endpoint", "slowest")
		}
	}
}
