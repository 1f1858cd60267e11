package node

import (
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/rollout"
)

var grantKinds = map[peerpb.GrantKind]rollout.GrantKind{
	peerpb.GrantKind_GRANT_KIND_NONE:    rollout.GrantNone,
	peerpb.GrantKind_GRANT_KIND_LIMITED: rollout.GrantLimited,
	peerpb.GrantKind_GRANT_KIND_OPEN:    rollout.GrantOpen,
}

func encodeInstruction(i rollout.Instruction) *peerpb.RolloutRequest {
	grant := &peerpb.Grant{Calls: uint32(i.Grant.Calls), ValidMs: uint32(i.Grant.TTL.Milliseconds())}
	for wire, kind := range grantKinds {
		if kind == i.Grant.Kind {
			grant.Kind = wire
		}
	}
	return &peerpb.RolloutRequest{
		Service: i.Service, Order: i.Order, Target: i.Target, Token: i.Token,
		Phase: string(i.Phase), Replaced: i.Replaced, Grant: grant,
	}
}

func decodeInstruction(q *peerpb.RolloutRequest) rollout.Instruction {
	return rollout.Instruction{
		Service: q.GetService(), Order: q.GetOrder(), Target: q.GetTarget(), Token: q.GetToken(),
		Phase: rollout.Phase(q.GetPhase()), Replaced: q.GetReplaced(),
		Grant: rollout.Grant{
			Kind:  grantKinds[q.GetGrant().GetKind()],
			Calls: int(q.GetGrant().GetCalls()),
			TTL:   time.Duration(q.GetGrant().GetValidMs()) * time.Millisecond,
		},
	}
}

func decodeServerReports(vm string, list []*peerpb.RolloutServer) []rollout.ServerReport {
	out := make([]rollout.ServerReport, len(list))
	for i, s := range list {
		out[i] = rollout.ServerReport{
			VM: vm, Instance: s.GetInstance(), Version: s.GetVersion(),
			InFlight: int(s.GetInFlight()), Held: s.GetHeld(), Counts: decodeCounts(s.GetCounts()),
		}
	}
	return out
}

func decodeCounts(list []*peerpb.RolloutCounts) map[string]rollout.Counts {
	out := make(map[string]rollout.Counts, len(list))
	for _, c := range list {
		counts := rollout.Counts{Calls: c.GetCalls(), Failed: c.GetFailed()}
		copy(counts.Took[:], c.GetTook())
		out[c.GetClass()] = counts
	}
	return out
}

func encodeCounts(counts map[string]rollout.Counts) []*peerpb.RolloutCounts {
	out := make([]*peerpb.RolloutCounts, 0, len(counts))
	for class, c := range counts {
		out = append(out, &peerpb.RolloutCounts{Class: class, Calls: c.Calls, Failed: c.Failed, Took: c.Took[:]})
	}
	return out
}

// Instruct implements peer.Rollouts.
func (r *rollouts) Instruct(q *peerpb.RolloutRequest) []*peerpb.RolloutServer {
	now := time.Now()
	i := decodeInstruction(q)
	if len(r.localServers(i.Service)) == 0 {
		return nil
	}
	r.mu.Lock()
	accepted := r.controllerFor(i.Service).Apply(now, i)
	if accepted {
		r.startTallies(i)
	}
	r.mu.Unlock()
	if accepted {
		r.n.control.backends()
	} else {
		r.log.Warn().Str("service", i.Service).Str("from", q.GetFrom()).Uint64("order", i.Order).Uint64("token", i.Token).
			Msg("rollout: ignored an outdated instruction")
	}
	return r.serverReports(now, i.Service)
}

// startTallies resets the tallies of a service's servers for a new order. Counts for the same
// order under an earlier coordinator are kept. The caller holds r.mu.
func (r *rollouts) startTallies(i rollout.Instruction) {
	for _, s := range r.localServers(i.Service) {
		if s.order != i.Order {
			s.order = i.Order
			s.tally.Store(new(rollout.Tally))
		}
	}
}

// localServers returns the servers of a service at this node, by instance.
func (r *rollouts) localServers(service string) map[string]*versionedServer {
	out := make(map[string]*versionedServer)
	for instance, s := range *r.servers.Load() {
		if s.service == service {
			out[instance] = s
		}
	}
	return out
}

func (s *versionedServer) counts() map[string]rollout.Counts {
	if tally := s.tally.Load(); tally != nil {
		return tally.Load()
	}
	return nil
}

// serverReports returns the calls in flight, admission state and counts of a service's servers
// at this node.
func (r *rollouts) serverReports(now time.Time, service string) []*peerpb.RolloutServer {
	var out []*peerpb.RolloutServer
	for instance, s := range r.localServers(service) {
		a := s.admission.Load()
		use := r.n.calls.gates.slotUse(proxy.Backend{Instance: instance})
		out = append(out, &peerpb.RolloutServer{
			Instance: instance, Version: s.version,
			InFlight: uint32(max(use.Busy+use.Waiting, 0)),
			Held:     !a.accepts(now.Add(-admissionLag)),
			Counts:   encodeCounts(s.counts()),
		})
	}
	return out
}
