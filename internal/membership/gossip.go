package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// spread is the number of messages that a change rides on.
func (s *State) spread() int {
	n := max(s.home.live+1, len(s.centres)*s.cfg.Bridges)
	return s.cfg.RetransmitFactor * bits.Len(uint(n))
}

// knownTo takes the digest of a request: what is hot in a data centre of which
// the sender holds the same records need not be told to it. That counts as told.
//
// After the start of a whole mesh every record is hot on every node. Told by
// 1,200 bytes a message to peers that have long had them, 240 records filled
// every message of the next six minutes.
func (s *State) knownTo(digest []byte) (known map[*centre]bool) {
	known = make(map[*centre]bool)
	for _, d := range parseDigest(digest) {
		if c := s.byCentre[d.key]; c != nil && c.hash == d.hash {
			known[c] = true
		}
	}
	if known[s.home] && s.hotOwn > 0 {
		s.hotOwn--
	}
	for e := range s.hot {
		if e.hot > 0 && !e.dead && known[e.centre] {
			e.hot--
		}
		if e.hot <= 0 && e.claimHot <= 0 {
			delete(s.hot, e)
		}
	}
	return known
}

// fill puts what is hot on a message, the newest first, up to MessageBytes. One
// record goes on even when it alone is larger. Records of the data centres in
// known are left out.
func (s *State) fill(m *peerpb.Membership, to string, known map[*centre]bool) {
	s.fillHeld(m)
	if e := s.entries[to]; e != nil && e.suspicion != nil {
		m.Claims = append(m.Claims, s.encodeClaim(e)) // so that it can refute
	}
	budget := s.room(m.Kind)
	if s.hotOwn > 0 && !known[s.home] {
		p := encodeRecord(&s.self)
		m.Records = append(m.Records, p)
		budget -= proto.Size(p)
		s.hotOwn--
	}
	toKey := keyOf(to)
	for _, e := range s.hottest() {
		if budget <= 0 {
			return
		}
		if e.claimHot > 0 && e.key != toKey && (e.dead || e.suspicion != nil) {
			c := s.encodeClaim(e)
			m.Claims = append(m.Claims, c)
			budget -= proto.Size(c)
			e.claimHot--
		}
		if e.hot > 0 && !e.dead && !known[e.centre] && e.key != toKey && e.source != toKey {
			p := encodeRecord(&e.rec)
			if n := proto.Size(p); n <= budget || len(m.Records) == 0 {
				m.Records = append(m.Records, p)
				budget -= n
				e.hot--
			}
		}
		if e.hot <= 0 && e.claimHot <= 0 {
			delete(s.hot, e)
		}
	}
}

// burst is the number of nodes of one data centre that start at about the same
// time, from which on the other data centres are told at once. A herd that
// comes back would otherwise be known in the other region only after two of
// its slow exchanges, and there to all only after as many probes as its records
// fill.
const burst = 4

// burstWithin spreads the exchanges that a burst brings forward.
const burstWithin = 2 * time.Second

// hasten brings the next exchange with c forward after a burst at home.
func (s *State) hasten(c *centre) {
	soon := s.now.Add(burstWithin)
	if s.home.starts-c.startsTold >= burst && c.nextTalk.After(soon) {
		c.nextTalk = s.now.Add(s.jitter(burstWithin))
	}
}

// bridgeRoom is how many times MessageBytes a message between bridges may have.
const bridgeRoom = 12

// room is the number of bytes that a message has for records and claims.
//
// A rack or a data centre that comes back changes dozens of records at once. By
// MessageBytes alone, ten of them cross to another data centre with each
// exchange of two bridges, and those are seconds apart.
func (s *State) room(k peerpb.Kind) int {
	if k == peerpb.Kind_KIND_BRIDGE {
		return bridgeRoom * s.cfg.MessageBytes
	}
	return s.cfg.MessageBytes
}

func (s *State) hottest() []*entry {
	list := make([]*entry, 0, len(s.hot))
	for e := range s.hot {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(b.order, a.order) })
	return list
}

// digest tells the hash of each data centre's records and the age of the last
// word from it.
func (s *State) digest() []byte {
	var out []byte
	for _, c := range s.sortedCentres() {
		age := s.now.Sub(c.heard)
		if c == s.home {
			age = 0
		}
		out = appendDigest(out, centreDigest{key: c.key, hash: c.hash, age: age})
	}
	return out
}

// differs returns the keys of the data centres of which the two sides hold
// different records. The hash of one that a side does not know is zero.
func (s *State) differs(digest []byte) []uint32 {
	if len(digest) == 0 {
		return nil
	}
	hashes := map[uint32]uint64{}
	for _, d := range parseDigest(digest) {
		hashes[d.key] ^= d.hash
	}
	for _, c := range s.centres {
		hashes[c.key] ^= c.hash
	}
	var out []uint32
	for key, h := range hashes {
		if h != 0 {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// takeAges learns from the sender how lately each data centre was heard.
func (s *State) takeAges(m *peerpb.Membership) {
	for _, d := range parseDigest(m.GetDigest()) {
		c := s.byCentre[d.key]
		if c == nil || c == s.home || d.age >= oldestAge*ageUnit {
			continue
		}
		if at := s.now.Add(-d.age); at.After(c.heard) {
			c.heard = at
		}
	}
}

// maxPush bounds the bytes of records on one urgent message.
const maxPush = 16 << 10

// tickPush tells urgent changes to a few peers. Whoever learns something from
// such a message passes it on the same way, so it reaches nearly every node in
// log(n) steps; the next probes bring it to the rest.
func (s *State) tickPush() {
	if (len(s.urgent) == 0 && !s.own.urgent) || s.now.Before(s.nextPush) {
		return
	}
	s.nextPush = s.now.Add(s.cfg.PushEvery)
	own := s.own.urgent
	records := s.urgentMessage()
	for _, e := range s.pushTargets(own) {
		s.stats.Pushes++
		m := &peerpb.Membership{
			Kind:    peerpb.Kind_KIND_PUSH,
			Records: records,
		}
		s.send(e, m, s.cfg.ProbeTimeout)
	}
}

func (s *State) urgentMessage() []*peerpb.Record {
	var out []*peerpb.Record
	if s.own.urgent {
		out = append(out, encodeRecord(&s.self))
		s.own.urgent = false
	}
	list := make([]*entry, 0, len(s.urgent))
	for e := range s.urgent {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(b.order, a.order) })
	room := maxPush
	for _, e := range list {
		if room <= 0 {
			break
		}
		delete(s.urgent, e)
		if !e.dead {
			p := encodeRecord(&e.rec)
			out = append(out, p)
			room -= proto.Size(p)
		}
	}
	return out
}

// bridgeTells is how many nodes of a data centre pass a change on to a bridge, beside the one that
// it is about.
const bridgeTells = 4

// pushTargets are random neighbours and the bridges of the own data centre;
// bridges tell one bridge of every other data centre.
//
// Every node passes each change on once. Did all of them tell the bridges, these would get
// each change as often as their data centre has nodes, and most of them are small VMs. So the
// node that a change is about tells them, and a few of the others.
func (s *State) pushTargets(own bool) []*entry {
	tells := own || s.rnd.IntN(max(len(s.order(s.home)), 1)) < bridgeTells
	out := shuffled(s, s.peers(), s.cfg.PushFanout)
	for _, b := range s.bridgesOf(s.home) {
		if tells && b != nil && !slices.Contains(out, b) && len(out) < s.cfg.PushFanout+1 {
			out = append(out, b)
		}
	}
	if !s.amBridge() {
		return out
	}
	for _, c := range s.sortedCentres() {
		if c != s.home {
			out = append(out, shuffled(s, s.bridgesOf(c), 1)...)
		}
	}
	return out
}

func (s *State) sortedCentres() []*centre {
	out := make([]*centre, 0, len(s.centres))
	for _, c := range s.centres {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *centre) int { return cmp.Compare(a.key, b.key) })
	return out
}

// tickBridges exchanges with the bridges of other data centres, if this node
// is one.
func (s *State) tickBridges() {
	if s.self.State != VMAlive || !s.amBridge() {
		return
	}
	for _, c := range s.sortedCentres() {
		if c == s.home || c.live == 0 {
			continue
		}
		s.hasten(c)
		if s.now.Before(c.nextTalk) {
			continue
		}
		every := s.cfg.BridgeEvery
		if c.region != s.home.region {
			every = s.cfg.CrossRegionBridgeEvery
		}
		// Between half and one and a half periods: bridges do not fall in step.
		wait := every/2 + time.Duration(s.rnd.Int64N(int64(every)))
		first := c.nextTalk.IsZero()
		c.nextTalk = s.now.Add(wait)
		if !first {
			c.startsTold = s.home.starts
			s.talk(c)
		}
	}
}

func (s *State) talk(c *centre) {
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_BRIDGE}
	timeout := s.patience(2 * s.cfg.ProbeTimeout)
	targets := s.bridgesOf(c)
	if c.failures > 1 || len(targets) == 0 {
		// The bridges that we know may all be gone: try anybody there.
		targets = s.order(c)
		if contact, ok := s.contactIn(c); ok && c.failures%2 == 1 {
			s.fill(m, contact.ID, nil)
			m.Digest = s.digest()
			s.sendAddr("", contact.ControlAddr, c, m, timeout)
			return
		}
	}
	for _, e := range shuffled(s, targets, 1) {
		s.fill(m, e.rec.VM.ID, nil)
		m.Digest = s.digest()
		s.send(e, m, timeout)
	}
}
