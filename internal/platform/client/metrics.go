package client

import "github.com/VictoriaMetrics/metrics"

// counters count operations, not tries, but for retries.
type counters struct {
	set         *metrics.Set
	reads       *metrics.Counter
	writes      *metrics.Counter
	retries     *metrics.Counter
	unknown     *metrics.Counter
	unavailable *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:         set,
		reads:       set.NewCounter("marlpass_platform_client_reads_total"),
		writes:      set.NewCounter("marlpass_platform_client_writes_total"),
		retries:     set.NewCounter("marlpass_platform_client_retries_total"),
		unknown:     set.NewCounter("marlpass_platform_client_unknown_total"),
		unavailable: set.NewCounter("marlpass_platform_client_unavailable_total"),
	}
}

func (c *counters) started(op operation) {
	if op.write {
		c.writes.Inc()
		return
	}
	c.reads.Inc()
}
