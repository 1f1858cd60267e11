package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// retransmitLimit returns the number of messages that a change is sent on.
func (s *State) retransmitLimit() int {
	n := max(s.home.live+1, len(s.centres)*s.cfg.Bridges)
	return s.cfg.RetransmitFactor * bits.Len(uint(n))
}

// centresInSync returns the data centres for which the digest of a request shows that the sender
// holds the same records. Queued records of these need not be sent to it, and each of them
// counts as sent once.
//
// After the start of a whole mesh every record is queued on every node. Sent at 1,200 bytes per
// message to peers that already hold them, 240 records filled every message for the next six
// minutes.
func (s *State) centresInSync(digest []byte) (known map[*centre]bool) {
	known = make(map[*centre]bool)
	for _, d := range parseDigest(digest) {
		if c := s.centreByKey[d.key]; c != nil && c.hash == d.hash {
			known[c] = true
		}
	}
	if known[s.home] && s.ownSends > 0 {
		s.ownSends--
	}
	for e := range s.queued {
		if e.recordSends > 0 && !e.dead && known[e.centre] {
			e.recordSends--
		}
		if e.recordSends <= 0 && e.claimSends <= 0 {
			delete(s.queued, e)
		}
	}
	return known
}

// piggyback adds queued records and claims to a message, newest first, up to messageBudget. It
// adds one record even if that one alone exceeds the budget, and none of the data centres in
// known.
func (s *State) piggyback(m *peerpb.Membership, to string, known map[*centre]bool) {
	s.piggybackHeld(m)
	if e := s.entries[to]; e != nil && e.suspicion != nil {
		m.Claims = append(m.Claims, s.encodeClaim(e)) // lets it refute the suspicion
	}
	budget := s.messageBudget(m.Kind)
	if s.ownSends > 0 && !known[s.home] {
		p := encodeRecord(&s.self)
		m.Records = append(m.Records, p)
		budget -= proto.Size(p)
		s.ownSends--
	}
	toKey := keyOf(to)
	for _, e := range s.queuedNewestFirst() {
		if budget <= 0 {
			return
		}
		if e.claimSends > 0 && e.key != toKey && (e.dead || e.suspicion != nil) {
			c := s.encodeClaim(e)
			m.Claims = append(m.Claims, c)
			budget -= proto.Size(c)
			e.claimSends--
		}
		if e.recordSends > 0 && !e.dead && !known[e.centre] && e.key != toKey && e.source != toKey {
			p := encodeRecord(&e.rec)
			if n := proto.Size(p); n <= budget || len(m.Records) == 0 {
				m.Records = append(m.Records, p)
				budget -= n
				e.recordSends--
			}
		}
		if e.recordSends <= 0 && e.claimSends <= 0 {
			delete(s.queued, e)
		}
	}
}

// startBurst is the number of nodes started in the home data centre since the last exchange with
// another one, from which on that exchange is brought forward. Without it, a mass restart
// reaches the other region only after two of its slow exchanges, and all nodes there only after
// as many probes as its records fill.
const startBurst = 4

// burstExchangeWindow is the time over which the exchanges that a burst brings forward are
// spread.
const burstExchangeWindow = 2 * time.Second

// expediteExchange brings the next exchange with c forward after a burst of starts at home.
func (s *State) expediteExchange(c *centre) {
	latest := s.now.Add(burstExchangeWindow)
	if s.home.startsSeen-c.startsReported >= startBurst && c.nextExchange.After(latest) {
		c.nextExchange = s.now.Add(s.jitter(burstExchangeWindow))
	}
}

// bridgeMessageFactor multiplies MessageBytes for messages between bridges.
const bridgeMessageFactor = 12

// messageBudget returns the number of bytes for records and claims on a message.
//
// A rack or a data centre that comes back changes dozens of records at once. With MessageBytes
// alone, only ten of them reach another data centre per bridge exchange, and these are seconds
// apart.
func (s *State) messageBudget(k peerpb.Kind) int {
	if k == peerpb.Kind_KIND_BRIDGE {
		return bridgeMessageFactor * s.cfg.MessageBytes
	}
	return s.cfg.MessageBytes
}

func (s *State) queuedNewestFirst() []*entry {
	list := make([]*entry, 0, len(s.queued))
	for e := range s.queued {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(b.changeNumber, a.changeNumber) })
	return list
}

// digest encodes, for each data centre, the hash of its records and the age of the last message
// from it.
func (s *State) digest() []byte {
	var out []byte
	for _, c := range s.sortedCentres() {
		age := s.now.Sub(c.lastHeard)
		if c == s.home {
			age = 0
		}
		out = appendDigest(out, centreDigest{key: c.key, hash: c.hash, age: age})
	}
	return out
}

// differingCentres returns the keys of the data centres of which both sides hold different
// records. A data centre unknown to a side has hash zero.
func (s *State) differingCentres(digest []byte) []uint32 {
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

// mergeAges takes over from a digest the time of the last message from each data centre where
// the sender's is more recent.
func (s *State) mergeAges(m *peerpb.Membership) {
	for _, d := range parseDigest(m.GetDigest()) {
		c := s.centreByKey[d.key]
		if c == nil || c == s.home || d.age >= maxAgeUnits*ageUnit {
			continue
		}
		if at := s.now.Add(-d.age); at.After(c.lastHeard) {
			c.lastHeard = at
		}
	}
}

// maxPushBytes bounds the records on one push message, in bytes.
const maxPushBytes = 16 << 10

// tickPush pushes urgent changes to a few peers. A node that learns something from a push pushes
// it on, so it reaches nearly every node in log(n) steps; the next probes bring it to the rest.
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
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(b.changeNumber, a.changeNumber) })
	budget := maxPushBytes
	for _, e := range list {
		if budget <= 0 {
			break
		}
		delete(s.urgent, e)
		if !e.dead {
			p := encodeRecord(&e.rec)
			out = append(out, p)
			budget -= proto.Size(p)
		}
	}
	return out
}

// bridgePushers is the expected number of nodes of a data centre that push a change to its
// bridges, besides the node that the change is about.
const bridgePushers = 4

// pushTargets returns random neighbours and bridges of the home data centre; a bridge adds one
// bridge of every other data centre.
//
// Every node pushes each change once. If all of them pushed to the bridges, these would receive
// each change as often as their data centre has nodes, and most of them are small VMs. So only
// the node that a change is about and a few others include the bridges.
func (s *State) pushTargets(own bool) []*entry {
	pushToBridges := own || s.rnd.IntN(max(len(s.sortedMembers(s.home)), 1)) < bridgePushers
	out := shuffled(s, s.peers(), s.cfg.PushFanout)
	for _, b := range s.bridgesOf(s.home) {
		if pushToBridges && b != nil && !slices.Contains(out, b) && len(out) < s.cfg.PushFanout+1 {
			out = append(out, b)
		}
	}
	if !s.isBridge() {
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

// tickBridges exchanges gossip with the bridges of other data centres, if this node is a bridge.
func (s *State) tickBridges() {
	if s.self.State != VMAlive || !s.isBridge() {
		return
	}
	for _, c := range s.sortedCentres() {
		if c == s.home || c.live == 0 {
			continue
		}
		s.expediteExchange(c)
		if s.now.Before(c.nextExchange) {
			continue
		}
		every := s.cfg.BridgeEvery
		if c.region != s.home.region {
			every = s.cfg.CrossRegionBridgeEvery
		}
		// Between 0.5 and 1.5 periods, so that bridges do not synchronise.
		wait := every/2 + time.Duration(s.rnd.Int64N(int64(every)))
		first := c.nextExchange.IsZero()
		c.nextExchange = s.now.Add(wait)
		if !first {
			c.startsReported = s.home.startsSeen
			s.exchangeWith(c)
		}
	}
}

func (s *State) exchangeWith(c *centre) {
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_BRIDGE}
	timeout := s.scaleTimeout(2 * s.cfg.ProbeTimeout)
	targets := s.bridgesOf(c)
	if c.failures > 1 || len(targets) == 0 {
		// The known bridges may all be gone: try any node of the data centre.
		targets = s.sortedMembers(c)
		if contact, ok := s.contactIn(c); ok && c.failures%2 == 1 {
			s.piggyback(m, contact.ID, nil)
			m.Digest = s.digest()
			s.sendAddr("", contact.ControlAddr, c, m, timeout)
			return
		}
	}
	for _, e := range shuffled(s, targets, 1) {
		s.piggyback(m, e.rec.VM.ID, nil)
		m.Digest = s.digest()
		s.send(e, m, timeout)
	}
}
