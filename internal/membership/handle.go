package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// maxItems bounds each repeated field of a message; more is refused whole.
const maxItems = 8192

func (s *State) bounded(m *peerpb.Membership) bool {
	n := max(len(m.GetRecords()), len(m.GetClaims()), len(m.GetStamps()), len(m.GetWant()), len(m.GetBuckets()))
	small := max(len(m.GetHeld()), len(m.GetReferrals())) <= maxDigest
	return n <= maxItems && small && s.cfg.Limits.short(m.GetFrom(), m.GetTarget())
}

// HandleRequest answers a request of another node.
func (s *State) HandleRequest(now time.Time, from string, m *peerpb.Membership) *peerpb.Membership {
	s.advance(now)
	ans := &peerpb.Membership{Kind: m.GetKind()}
	s.received(m)
	if from == "" || from != m.GetFrom() || !s.bounded(m) || int(m.GetKind()) >= kinds || m.GetKind() < 0 {
		s.stats.Refused++
		s.sign(ans)
		return ans
	}
	s.takeIn(m)
	peer := s.entries[from]
	switch m.GetKind() {
	case peerpb.Kind_KIND_JOIN:
		s.answerJoin(m, ans)
	case peerpb.Kind_KIND_RELAY:
		s.startRelay(from, m.GetTarget())
	case peerpb.Kind_KIND_VOUCH:
		s.vouched(m.GetTarget())
	case peerpb.Kind_KIND_SYNC:
		s.answerSync(m, ans)
	case peerpb.Kind_KIND_RECALL:
		ans.Recalled = s.heldBy(from)
	case peerpb.Kind_KIND_PROBE, peerpb.Kind_KIND_BRIDGE:
		s.fill(ans, from, s.knownTo(m.GetDigest()))
		if len(s.differs(m.GetDigest())) > 0 {
			ans.Digest = s.digest()
		}
	}
	s.askAbout(ans, m, peer)
	s.tellDead(ans)
	s.sign(ans)
	t := &s.stats.Traffic[ans.Kind]
	t.Sent++
	t.SentBytes += uint64(proto.Size(ans))
	return ans
}

// HandleAnswer takes the answer to a request.
func (s *State) HandleAnswer(now time.Time, id uint64, m *peerpb.Membership) {
	s.advance(now)
	p, ok := s.pending[id]
	if !ok {
		return // an answer from before a pause, or a second one
	}
	if m == nil || !s.bounded(m) {
		s.stats.Refused++
		s.failed(id, p)
		return
	}
	s.received(m)
	if p.to != "" && m.GetFrom() != p.to {
		// Another node answers at this address: the one asked for was
		// replaced there, so it is as silent as if nobody had answered.
		s.takeIn(m)
		s.failed(id, p)
		return
	}
	delete(s.pending, id)
	s.takeIn(m)
	peer := s.entries[m.GetFrom()]
	switch p.kind {
	case peerpb.Kind_KIND_PROBE:
		s.probeAnswered(id, p.to)
		s.compare(peer, m)
	case peerpb.Kind_KIND_BRIDGE:
		p.centre.failures = 0
		s.compare(peer, m)
	case peerpb.Kind_KIND_RELAY:
		s.relayAnswered(p.target)
	case peerpb.Kind_KIND_SYNC:
		s.continueSync(peer, p.syncing, m)
	case peerpb.Kind_KIND_JOIN:
		s.joinAnswered(m)
	case peerpb.Kind_KIND_RECALL:
		s.recall.Version = max(s.recall.Version, m.GetRecalled())
		s.recallDone(id, true)
	}
	s.grant(peer, m)
}

func (s *State) received(m *peerpb.Membership) {
	k := int(m.GetKind())
	if k < 0 || k >= kinds {
		k = 0
	}
	t := &s.stats.Traffic[k]
	t.Received++
	t.ReceivedBytes += uint64(proto.Size(m))
}

// passOn has the records of an urgent message pushed from here as well, once each. A record that
// this node knows already from a probe is pushed too: a bridge that had it so, and kept it to
// itself, would leave its change to the exchanges between data centres, some seconds apart.
func (s *State) passOn(records []*peerpb.Record) {
	for _, p := range records {
		e := s.entries[p.GetId()]
		st := stamp{p.GetIncarnation(), p.GetSequence()}
		if e == nil || e.dead || e.rec.stamp() != st || e.pushed == st {
			continue
		}
		e.pushed = st
		s.urgent[e] = struct{}{}
	}
}

// takeIn takes what any message carries.
func (s *State) takeIn(m *peerpb.Membership) {
	source := keyOf(m.GetFrom())
	var news []*entry
	for _, p := range m.GetRecords() {
		if s.accept(p, source) {
			news = append(news, s.entries[p.GetId()])
		}
	}
	switch {
	case m.GetKind() == peerpb.Kind_KIND_PUSH:
		s.passOn(m.GetRecords())
	case m.GetKind() == peerpb.Kind_KIND_BRIDGE && len(news) >= burst:
		for _, e := range news {
			s.urgent[e] = struct{}{}
		}
	}
	for _, c := range m.GetClaims() {
		s.claimed(c, source)
	}
	s.heardFrom(m)
	s.takeHeld(m.GetHeld())
	s.takeAges(m)
}

// heardFrom notes a direct exchange with the sender.
func (s *State) heardFrom(m *peerpb.Membership) {
	e := s.entries[m.GetFrom()]
	if e == nil || e.dead {
		if e != nil && !(stamp{m.GetIncarnation(), m.GetSequence()}).newer(e.tombstone) {
			s.answerDead(e)
		}
		return
	}
	if m.GetIncarnation() < e.rec.VM.Incarnation {
		// An older process under the same ID still runs. It learns so from
		// our record of the newer one.
		s.heat(e, 0)
		return
	}
	e.ok = s.now
	e.centre.heard = s.now
	if e.centre == s.home {
		s.lastOK = s.now
	}
	if m.GetIncarnation() == e.rec.VM.Incarnation {
		s.noteHeld(e, m.GetVersion())
	}
	delete(s.indirect, e.rec.VM.ID)
}

// askAbout asks for the sender's own record when we do not have it.
func (s *State) askAbout(ans, m *peerpb.Membership, peer *entry) {
	st := stamp{m.GetIncarnation(), m.GetSequence()}
	if peer == nil || (peer.dead && st.newer(peer.tombstone)) || (!peer.dead && st.newer(peer.rec.stamp())) {
		ans.Want = append(ans.Want, keyOf(m.GetFrom()))
	}
	if peer != nil && !peer.dead && m.GetIncarnation() < peer.rec.VM.Incarnation {
		ans.Records = append(ans.Records, encodeRecord(&peer.rec))
	}
}

// tellDead tells of the dead nodes whose records came with the request, and
// of the suspicion that the other side itself is under.
func (s *State) tellDead(m *peerpb.Membership) {
	for _, e := range s.tell {
		m.Claims = append(m.Claims, s.encodeClaim(e))
	}
	s.tell = s.tell[:0]
}

// grant sends the records that an answer asked for.
func (s *State) grant(peer *entry, m *peerpb.Membership) {
	if len(m.GetWant()) == 0 && len(s.tell) == 0 {
		return
	}
	if peer == nil || peer.dead {
		s.tell = s.tell[:0]
		return
	}
	out := &peerpb.Membership{Kind: peerpb.Kind_KIND_SYNC}
	budget := s.cfg.SyncBytes
	for _, key := range m.GetWant() {
		budget = s.addByKey(out, key, budget)
	}
	s.tellDead(out)
	if len(out.Records)+len(out.Claims) > 0 {
		s.send(peer, out, s.cfg.ProbeTimeout)
	}
}

// addByKey adds the record with this key, if there is room for it.
func (s *State) addByKey(m *peerpb.Membership, key uint64, budget int) int {
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
