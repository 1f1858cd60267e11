package node

import (
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// writeMetrics writes the metrics of the control plane.
func (c *control) writeMetrics(p page) {
	c.writeConfig(p)
	c.writeMembership(p)
	c.writeMaintenance(p)
	p.gauge("marlpass_listener_connections", float64(c.server.Conns()), "listener", "control")
	p.gauge("marlpass_listener_connections", float64(c.n.servers.conns.Open()), "listener", "calls")
	p.counter("marlpass_announce_refused_total", c.n.registry.Refused())
	c.writeAges(p, time.Now())
}

func (c *control) writeConfig(p page) {
	stamp := c.distributor.Stamp()
	p.gauge("marlpass_config_version_held", float64(stamp.Version.Number))
	p.gauge("marlpass_config_version_in_force", float64(c.n.Version().Number))
	if c := stamp.Confirmed; c != nil {
		p.gauge("marlpass_config_confirmed_age_seconds", (time.Duration(c.AgeMs) * time.Millisecond).Seconds())
	}
	p.flag("marlpass_config_refused", c.n.store.Refused() != nil)
	p.gauge("marlpass_config_omitted_objects", float64(len(c.n.snapshot().Omitted())))
	p.flag("marlpass_config_feeder", c.distributor.Feeder())
	for kind, n := range c.findings.values() {
		p.counter("marlpass_config_findings_total", n, "kind", kind)
	}
	if list := c.distributor.Timeline(); len(list) > 0 {
		t := list[len(list)-1]
		p.gauge("marlpass_config_last_spread_seconds", t.InForce.Sub(t.Accepted).Seconds())
	}
}

func (c *control) writeMembership(p page) {
	s := c.members.Stats()
	p.gauge("marlpass_membership_nodes", float64(s.Records))
	p.gauge("marlpass_membership_tombstones", float64(s.Tombstones))
	p.gauge("marlpass_membership_suspected", float64(s.Suspected))
	p.gauge("marlpass_membership_health", float64(s.Health))
	for _, e := range []struct {
		name string
		n    uint64
	}{
		{"probes", s.Probes}, {"probe_failures", s.ProbeFailures},
		{"suspicions", s.Suspicions}, {"false_suspicions", s.FalseSuspicions},
		{"refutations", s.Refutations}, {"deaths", s.Deaths}, {"held_deaths", s.DeferredDeaths},
		{"pauses", s.Pauses}, {"refused", s.Refused}, {"joins_served", s.JoinsServed},
		{"joins_refused", s.JoinsRefused}, {"join_attempts", s.JoinAttempts},
		{"syncs", s.Syncs}, {"pushes", s.Pushes}, {"views", s.Views}, {"duplicates", s.DuplicateIDs},
	} {
		p.counter("marlpass_membership_"+e.name+"_total", e.n)
	}
	for k, t := range s.Traffic {
		if k == 0 {
			continue // KIND_UNSPECIFIED
		}
		kind := strings.ToLower(strings.TrimPrefix(peerpb.Kind(k).String(), "KIND_"))
		p.counter("marlpass_membership_messages_total", t.Sent, "direction", "out", "kind", kind)
		p.counter("marlpass_membership_messages_total", t.Received, "direction", "in", "kind", kind)
		p.counter("marlpass_membership_bytes_total", t.SentBytes, "direction", "out", "kind", kind)
		p.counter("marlpass_membership_bytes_total", t.ReceivedBytes, "direction", "in", "kind", kind)
	}
}

func (c *control) writeMaintenance(p page) {
	f := &c.maintainer.stats
	p.flag("marlpass_maintenance_lease_held", f.holdsLease.Load())
	p.counter("marlpass_maintenance_lease_taken_total", f.taken.Load())
	p.counter("marlpass_maintenance_lease_lost_total", f.lost.Load())
	p.counter("marlpass_maintenance_failures_total", f.failed.Load())
	p.counter("marlpass_maintenance_compacted_total", f.compacted.Load())
	p.counter("marlpass_maintenance_outcomes_removed_total", f.trimmed.Load())
}

// writeAges writes the age of the last contact with peers and platform. An age is omitted before
// the first contact.
func (c *control) writeAges(p page, now time.Time) {
	if at := c.lastHeardMs.Load(); at != 0 {
		p.gauge("marlpass_peers_heard_age_seconds", now.Sub(time.UnixMilli(at)).Seconds())
	}
	if c.client == nil {
		return
	}
	h := c.client.Health()
	p.flag("marlpass_platform_client_answering", h.Answering)
	if !h.LastAnswer.IsZero() {
		p.gauge("marlpass_platform_client_answer_age_seconds", now.Sub(h.LastAnswer).Seconds())
	}
}
