package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// maxItems bounds each repeated field of a message; a message with more is refused entirely.
const maxItems = 8192

func (s *State) withinBounds(m *peerpb.Membership) bool {
	n := max(len(m.GetRecords()), len(m.GetClaims()), len(m.GetStamps()), len(m.GetWant()), len(m.GetBuckets()))
	fewSmallItems := max(len(m.GetHeld()), len(m.GetReferrals())) <= maxDigestCentres
	return n <= maxItems && fewSmallItems && s.cfg.Limits.shortEnough(m.GetFrom(), m.GetTarget())
}

// HandleRequest answers a request of another node.
func (s *State) HandleRequest(now time.Time, from string, m *peerpb.Membership) *peerpb.Membership {
	s.advance(now)
	ans := &peerpb.Membership{Kind: m.GetKind()}
	s.countReceived(m)
	if from == "" || from != m.GetFrom() || !s.withinBounds(m) || int(m.GetKind()) >= messageKinds || m.GetKind() < 0 {
		s.stats.Refused++
		s.setSender(ans)
		return ans
	}
	s.mergeMessage(m)
	peer := s.entries[from]
	switch m.GetKind() {
	case peerpb.Kind_KIND_JOIN:
		s.answerJoin(m, ans)
	case peerpb.Kind_KIND_RELAY:
		s.startRelay(from, m.GetTarget())
	case peerpb.Kind_KIND_VOUCH:
		s.handleVouch(m.GetTarget())
	case peerpb.Kind_KIND_SYNC:
		s.answerSync(m, ans)
	case peerpb.Kind_KIND_RECALL:
		ans.Recalled = s.lastHeldVersion(from)
	case peerpb.Kind_KIND_PROBE, peerpb.Kind_KIND_BRIDGE:
		s.piggyback(ans, from, s.centresInSync(m.GetDigest()))
		if len(s.differingCentres(m.GetDigest())) > 0 {
			ans.Digest = s.digest()
		}
	}
	s.requestSenderRecord(ans, m, peer)
	s.appendDeadReplies(ans)
	s.setSender(ans)
	t := &s.stats.Traffic[ans.Kind]
	t.Sent++
	t.SentBytes += uint64(proto.Size(ans))
	return ans
}

// HandleAnswer handles the answer to the request with this ID.
func (s *State) HandleAnswer(now time.Time, id uint64, m *peerpb.Membership) {
	s.advance(now)
	p, ok := s.pending[id]
	if !ok {
		return // sent before a pause, or answered already
	}
	if m == nil || !s.withinBounds(m) {
		s.stats.Refused++
		s.requestFailed(id, p)
		return
	}
	s.countReceived(m)
	if p.to != "" && m.GetFrom() != p.to {
		// The node was replaced by another one at this address, so the request
		// counts as failed.
		s.mergeMessage(m)
		s.requestFailed(id, p)
		return
	}
	delete(s.pending, id)
	s.mergeMessage(m)
	peer := s.entries[m.GetFrom()]
	switch p.kind {
	case peerpb.Kind_KIND_PROBE:
		s.probeAnswered(id, p.to)
		s.compareDigests(peer, m)
	case peerpb.Kind_KIND_BRIDGE:
		p.centre.failures = 0
		s.compareDigests(peer, m)
	case peerpb.Kind_KIND_RELAY:
		s.relayAnswered(p.target)
	case peerpb.Kind_KIND_SYNC:
		s.continueSync(peer, p.syncCentre, m)
	case peerpb.Kind_KIND_JOIN:
		s.joinAnswered(m)
	case peerpb.Kind_KIND_RECALL:
		s.recall.Version = max(s.recall.Version, m.GetRecalled())
		s.recallDone(id, true)
	}
	s.sendWanted(peer, m)
}

func (s *State) countReceived(m *peerpb.Membership) {
	k := int(m.GetKind())
	if k < 0 || k >= messageKinds {
		k = 0
	}
	t := &s.stats.Traffic[k]
	t.Received++
	t.ReceivedBytes += uint64(proto.Size(m))
}

// queuePushes pushes the records of a push message on, each once. A record that this node
// already received with a probe is pushed too: a bridge that got it so and did not push it would
// leave the change to the exchanges between data centres, which are seconds apart.
func (s *State) queuePushes(records []*peerpb.Record) {
	for _, p := range records {
		e := s.entries[p.GetId()]
		st := stamp{p.GetIncarnation(), p.GetSequence()}
		if e == nil || e.dead || e.rec.stamp() != st || e.pushedStamp == st {
			continue
		}
		e.pushedStamp = st
		s.urgent[e] = struct{}{}
	}
}

// mergeMessage merges what any kind of message may carry.
func (s *State) mergeMessage(m *peerpb.Membership) {
	source := keyOf(m.GetFrom())
	var updated []*entry
	for _, p := range m.GetRecords() {
		if s.accept(p, source) {
			updated = append(updated, s.entries[p.GetId()])
		}
	}
	switch {
	case m.GetKind() == peerpb.Kind_KIND_PUSH:
		s.queuePushes(m.GetRecords())
	case m.GetKind() == peerpb.Kind_KIND_BRIDGE && len(updated) >= startBurst:
		for _, e := range updated {
			s.urgent[e] = struct{}{}
		}
	}
	for _, c := range m.GetClaims() {
		s.acceptClaim(c, source)
	}
	s.noteExchange(m)
	s.mergeHeld(m.GetHeld())
	s.mergeAges(m)
}

// noteExchange records a direct exchange with the sender.
func (s *State) noteExchange(m *peerpb.Membership) {
	e := s.entries[m.GetFrom()]
	if e == nil || e.dead {
		if e != nil && !(stamp{m.GetIncarnation(), m.GetSequence()}).newer(e.tombstone) {
			s.queueDeadReply(e)
		}
		return
	}
	if m.GetIncarnation() < e.rec.VM.Incarnation {
		// An older process under the same ID is still running. The newer record
		// lets it detect that.
		s.queueRecord(e, 0)
		return
	}
	e.lastExchange = s.now
	e.centre.lastHeard = s.now
	if e.centre == s.home {
		s.lastExchange = s.now
	}
	if m.GetIncarnation() == e.rec.VM.Incarnation {
		s.noteHeld(e, m.GetVersion())
	}
	delete(s.indirect, e.rec.VM.ID)
}

// requestSenderRecord asks the sender for its own record if this node lacks it, and sends an
// outdated process the newer record under its ID.
func (s *State) requestSenderRecord(ans, m *peerpb.Membership, peer *entry) {
	st := stamp{m.GetIncarnation(), m.GetSequence()}
	if peer == nil || (peer.dead && st.newer(peer.tombstone)) || (!peer.dead && st.newer(peer.rec.stamp())) {
		ans.Want = append(ans.Want, keyOf(m.GetFrom()))
	}
	if peer != nil && !peer.dead && m.GetIncarnation() < peer.rec.VM.Incarnation {
		ans.Records = append(ans.Records, encodeRecord(&peer.rec))
	}
}

// appendDeadReplies adds the claims for dead nodes whose records came with the request.
func (s *State) appendDeadReplies(m *peerpb.Membership) {
	for _, e := range s.deadReplies {
		m.Claims = append(m.Claims, s.encodeClaim(e))
	}
	s.deadReplies = s.deadReplies[:0]
}

// sendWanted sends the records that an answer asked for.
func (s *State) sendWanted(peer *entry, m *peerpb.Membership) {
	if len(m.GetWant()) == 0 && len(s.deadReplies) == 0 {
		return
	}
	if peer == nil || peer.dead {
		s.deadReplies = s.deadReplies[:0]
		return
	}
	out := &peerpb.Membership{Kind: peerpb.Kind_KIND_SYNC}
	budget := s.cfg.SyncBytes
	for _, key := range m.GetWant() {
		budget = s.appendRecord(out, key, budget)
	}
	s.appendDeadReplies(out)
	if len(out.Records)+len(out.Claims) > 0 {
		s.send(peer, out, s.cfg.ProbeTimeout)
	}
}

// appendRecord adds the record with this key if it fits into the budget, and returns the
// remaining budget.
func (s *State) appendRecord(m *peerpb.Membership, key uint64, budget int) int {
	var p *peerpb.Record
	if key == s.key {
		p = encodeRecord(&s.self)
	} else if e := s.byKey[key]; e != nil && !e.dead {
		p = encodeRecord(&e.rec)
	}
	if p == nil {
		return budget
	}
	if n := proto.Size(p); n <= budget || len(m.Records) == 0 {
		m.Records = append(m.Records, p)
		return budget - n
	}
	return 0
}
