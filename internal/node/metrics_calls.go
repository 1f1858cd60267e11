package node

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/proxy"
)

// writeMetrics writes the metrics of calls at this node.
func (c *callPath) writeMetrics(p page) {
	now := time.Now()
	for _, t := range c.meters.Totals() {
		writeClass(p, &t)
	}
	c.meters.LatencyParts(func(service string, part proxy.LatencyPart, h proxy.Histogram) {
		writeHistogram(p, "marlpass_call_part_seconds", h, "service", service, "part", string(part))
	})
	c.entry.FreeSlotShares(func(service string, share float64) {
		p.gauge("marlpass_call_free_slot_ratio", share, "service", service)
	})
	c.retries.eachBudget(func(service string, left float64) {
		p.gauge("marlpass_call_retry_budget", left, "service", service)
	})
	for reason, n := range c.retries.reasons.values() {
		p.counter("marlpass_call_retry_decisions_total", n, "why", reason)
	}
	c.retries.counts.write(p)
	c.writeGates(p, now)
	c.writeRunTimes(p, now)
	c.writeLineage(p)
	c.writeOnce(p)
	kinds := make(map[string]int)
	for _, e := range c.suspects.list.Entries(now) {
		kinds[string(e.Kind)]++
	}
	for kind, n := range kinds {
		p.gauge("marlpass_quarantine_entries", float64(n), "kind", kind)
	}
	c.writeRegistry(p)
}

// writeClass writes the outcomes and durations of a class's calls.
func writeClass(p page, t *proxy.ClassTotals) {
	for reason, n := range t.Refused {
		p.counter("marlpass_call_refused_total", n, "class", t.Class, "reason", string(reason))
	}
	if t.Class == "" {
		return
	}
	p.counter("marlpass_call_failed_total", t.Failed, "class", t.Class)
	p.counter("marlpass_call_in_target_total", t.InTarget, "class", t.Class)
	writeHistogram(p, "marlpass_call_duration_seconds", t.Answered, "class", t.Class)
}

func writeHistogram(p page, name string, h proxy.Histogram, l ...string) {
	for _, b := range h.Buckets {
		le := "+Inf"
		if !math.IsInf(b.UpperBound, 1) {
			le = strconv.FormatFloat(b.UpperBound, 'g', -1, 64)
		}
		p.counter(name+"_bucket", b.Calls, append(slices.Clip(l), "le", le)...)
	}
	p.gauge(name+"_sum", h.Seconds, l...)
	p.counter(name+"_count", h.Count, l...)
}

// writeGates writes the slot usage of each class at this node's backend servers.
func (c *callPath) writeGates(p page, now time.Time) {
	for instance, gate := range *c.gates.byInstance.Load() {
		if r := gate.AdvertisedRate(); r.Present {
			p.gauge("marlpass_backend_advertised_rate", r.PerSecond, "instance", instance)
		}
		for _, s := range gate.Stats(now) {
			l := []string{"instance", instance, "class", s.Class}
			p.gauge("marlpass_gate_running", float64(s.Running), l...)
			p.gauge("marlpass_gate_waiting", float64(s.Waiting), l...)
			p.gauge("marlpass_gate_slots_allowed", float64(s.AllowedSlots), l...)
			p.gauge("marlpass_gate_standing_ratio", s.LatencyRatio, l...)
			p.counter("marlpass_gate_started_total", s.Started, l...)
			p.counter("marlpass_gate_done_total", s.Done, l...)
			p.counter("marlpass_gate_refused_total", s.Refused, l...)
			p.counter("marlpass_gate_busy_total", s.Busy, l...)
			p.counter("marlpass_gate_over_rate_total", s.OverRate, l...)
			p.counter("marlpass_gate_over_backend_rate_total", s.OverBackendRate, l...)
			p.counter("marlpass_gate_expired_total", s.Expired, l...)
			p.counter("marlpass_gate_on_target_total", s.OnTarget, l...)
		}
	}
}

// writeOnce writes the metrics of calls with an idempotency key.
func (c *callPath) writeOnce(p page) {
	s := c.dedup.Stats()
	p.counter("marlpass_once_claims_total", s.Claims)
	p.counter("marlpass_once_replays_total", s.Replays)
	p.counter("marlpass_once_unknowns_total", s.Unknowns)
	p.counter("marlpass_once_joins_total", s.Joins)
	p.counter("marlpass_once_refused_total", s.Refused)
	p.counter("marlpass_once_guards_total", s.LocalGuards)
	p.counter("marlpass_once_unstored_total", s.Unstored)
	p.counter("marlpass_once_platform_writes_total", s.Writes)
	p.gauge("marlpass_once_guards_held", float64(s.LocalKeys))
}

// writeRegistry writes the backend servers of this VM, and the endpoints of each service in the
// mesh.
func (c *callPath) writeRegistry(p page) {
	for _, b := range c.n.registry.Load() {
		l := []string{"service", b.Service, "instance", b.Instance}
		p.gauge("marlpass_backend_slots", float64(b.Slots), l...)
		p.flag("marlpass_backend_state", true, append(l, "state", b.State.String())...)
	}
	for service, n := range *c.pickers.readyCounts.Load() {
		p.gauge("marlpass_service_endpoints_ready", float64(n), "service", service)
	}
	for service, picker := range *c.pickers.byService.Load() {
		p.gauge("marlpass_service_endpoints_ejected", float64(picker.Ejected()), "service", service)
	}
}
