package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// maxHealth bounds the local health multiplier.
const maxHealth = 8

// relay is a probe made on behalf of another node.
type relay struct{ requester, target string }

// indirectProbe is a probe through relays in progress.
type indirectProbe struct {
	deadline time.Time
	relays   int // relays asked
	answered int // relays that accepted the request
}

// tickProbe probes the next neighbour.
func (s *State) tickProbe() {
	if s.now.Before(s.nextProbe) {
		return
	}
	// 10% jitter keeps nodes that started together from probing in step.
	period := s.cfg.ProbeEvery - s.cfg.ProbeEvery/20 + time.Duration(s.rnd.Int64N(int64(s.cfg.ProbeEvery/10)+1))
	s.nextProbe = s.now.Add(period)
	if e := s.nextProbeTarget(); e != nil {
		s.probe(e)
	}
}

// nextProbeTarget returns the probe targets in rounds, each once per shuffled round. Targets
// that others suspect go first.
func (s *State) nextProbeTarget() *entry {
	s.ring()
	for len(s.priorityProbes) > 0 {
		e := s.priorityProbes[0]
		s.priorityProbes = s.priorityProbes[1:]
		if !e.dead && slices.Contains(s.probeTargets, e) {
			return e
		}
	}
	for range 2 {
		for len(s.probeRound) > 0 {
			e := s.probeRound[0]
			s.probeRound = s.probeRound[1:]
			if slices.Contains(s.probeTargets, e) {
				return e
			}
		}
		s.probeRound = shuffled(s, s.probeTargets, len(s.probeTargets))
	}
	return nil
}

func (s *State) probe(e *entry) {
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_PROBE}
	s.piggyback(m, e.rec.VM.ID, nil)
	m.Digest = s.digest()
	s.stats.Probes++
	s.send(e, m, s.scaleTimeout(s.cfg.ProbeTimeout))
}

// scaleTimeout lengthens a timeout while this node itself appears slow.
func (s *State) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+s.health)
}

func (s *State) adjustHealth(by int) {
	s.health = max(0, min(maxHealth, s.health+by))
}

func (s *State) probeAnswered(id uint64, target string) {
	s.recordSampleResult(id, true)
	s.adjustHealth(-1)
	if r, ok := s.relaying[id]; ok {
		delete(s.relaying, id)
		s.sendVouch(r)
	}
	delete(s.indirect, target)
}

// probeFailed asks relays to probe a node that did not answer. Relays are nodes that probe it
// anyway and so have a connection to it.
func (s *State) probeFailed(target string) {
	e := s.entries[target]
	if e == nil || e.dead || s.indirect[target] != nil || e.centre != s.home {
		return
	}
	s.stats.ProbeFailures++
	s.adjustHealth(1)
	helpers := slices.DeleteFunc(s.neighbours(e.key, true), func(r *entry) bool {
		return r == nil || r == e || r.suspicion != nil
	})
	helpers = shuffled(s, helpers, s.cfg.Relays)
	wait := s.scaleTimeout(s.cfg.IndirectTimeout)
	s.indirect[target] = &indirectProbe{deadline: s.now.Add(wait), relays: len(helpers)}
	for _, r := range helpers {
		m := &peerpb.Membership{Kind: peerpb.Kind_KIND_RELAY, Target: target}
		s.send(r, m, wait)
	}
}

func (s *State) relayAnswered(target string) {
	if in := s.indirect[target]; in != nil {
		in.answered++
	}
}

// startRelay probes target for requester. Only a success is reported back.
func (s *State) startRelay(asker, target string) {
	e := s.entries[target]
	if e == nil || e.dead {
		return
	}
	if len(s.relaying) >= s.cfg.Limits.Relays {
		s.stats.Refused++
		return
	}
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_PROBE}
	id := s.send(e, m, s.cfg.ProbeTimeout)
	s.relaying[id] = relay{requester: asker, target: target}
}

func (s *State) sendVouch(r relay) {
	if e := s.entries[r.requester]; e != nil && !e.dead {
		m := &peerpb.Membership{Kind: peerpb.Kind_KIND_VOUCH, Target: r.target}
		s.send(e, m, s.cfg.ProbeTimeout)
	}
}

func (s *State) handleVouch(target string) { delete(s.indirect, target) }

// tickIndirect suspects the nodes that neither this node nor the relays reached. If no relay
// answered either, the fault is as likely at this node, and it raises no suspicion.
func (s *State) tickIndirect() {
	if len(s.indirect) == 0 {
		return
	}
	for _, target := range slices.Sorted(maps.Keys(s.indirect)) {
		in := s.indirect[target]
		if s.now.Before(in.deadline) {
			continue
		}
		delete(s.indirect, target)
		e := s.entries[target]
		if e == nil || e.dead || s.now.Before(s.graceUntil) {
			continue
		}
		if in.relays > 0 && in.answered == 0 {
			s.adjustHealth(1)
			continue
		}
		s.suspect(e)
	}
}
