package node

import (
	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/pipeline"
)

// writeCapacity writes what clients use of the node's memory and connections, and what was refused for
// want of room.
func (s *servers) writeCapacity(p page) {
	m := s.n.memory
	p.gauge("marlpass_client_memory_limit_bytes", float64(m.Limit()))
	for _, u := range budget.Uses {
		p.gauge("marlpass_client_memory_bytes", float64(m.Used(u)), "use", u.String())
		p.counter("marlpass_client_memory_refused_total", m.Refused(u), "use", u.String())
	}
	for name, server := range s.byListener() {
		c := server.Conns()
		if name != "calls" { // whose connections are counted with those of the control plane
			p.gauge("marlpass_listener_connections", float64(c.Open), "listener", name)
		}
		p.gauge("marlpass_listener_connections_limit", float64(server.MaxConns), "listener", name)
		p.counter("marlpass_listener_connections_refused_total", c.Refused, "listener", name)
		p.counter("marlpass_listener_connections_evicted_total", c.Evicted, "listener", name)
	}
	for _, u := range s.n.calls.pools() {
		open, refused := u.pool.OpenConns()
		p.gauge("marlpass_upstream_connections", float64(open), "to", u.to)
		p.counter("marlpass_upstream_connections_refused_total", refused, "to", u.to)
	}
}

func (s *servers) byListener() map[string]*pipeline.Server {
	return map[string]*pipeline.Server{"callers": s.callers[0], "internal": s.callers[1], "calls": s.nodes}
}

// logRefusals writes a line if anything was refused for want of room since the last one.
func (s *servers) logRefusals() {
	var memory, conns, upstream uint64
	for _, u := range []budget.Use{budget.Requests, budget.LargeHeaders} {
		memory += s.n.memory.Refused(u)
	}
	for _, server := range s.byListener() {
		conns += server.Conns().Refused
	}
	for _, u := range s.n.calls.pools() {
		_, refused := u.pool.OpenConns()
		upstream += refused
	}
	total := memory + conns + upstream
	if total == s.toldRefusals {
		return
	}
	s.toldRefusals = total
	s.n.log.Warn().Uint64("memory", memory).Uint64("connections", conns).Uint64("upstream", upstream).
		Int64("memory_limit", s.n.memory.Limit()).Int("callers_limit", s.n.capacity.callers).
		Msg("node: requests or connections are refused for want of room; totals since the start")
}
