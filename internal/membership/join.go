package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// Contact is where a node can be asked to be let in.
type Contact struct {
	ID          string
	DataCentre  string
	ControlAddr string
}

// joinState is what a State keeps to join and to let others in.
type joinState struct {
	joined   bool
	started  time.Time
	contacts []Contact
	nextJoin time.Time
	attempts int
	asked    map[string]int // how often each address was asked before it joined

	tokens   float64
	tokensAt time.Time
	full     []byte
	fullAt   time.Time
}

// fullFresh is how long a compressed full state is served again: joins come in
// herds. One as old as a second lacks most of a herd that starts together; 13 nodes
// knew each other after 2.4 s with that, and after 0.95 s with 100 ms.
const fullFresh = 100 * time.Millisecond

const maxReferrals = 5

// compress and decompress make their coder anew: joins are rare, and a coder
// kept for ever holds megabytes.
func compress(raw []byte) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(raw, nil), e.Close()
}

func decompress(packed []byte, limit int) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(packed, nil)
}

func (s *State) startJoining() {
	s.started = s.now
	s.asked = map[string]int{}
	s.tokens, s.tokensAt = s.cfg.JoinBurst, s.now
	for _, addr := range s.cfg.Seeds {
		s.addContact(Contact{ControlAddr: addr})
	}
	// Many nodes may start at once: the first join is spread too.
	s.nextJoin = s.now.Add(s.jitter(s.cfg.JoinBackoff))
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(d) + 1))
}

// AddContacts adds nodes to ask, such as those in the platform's table.
func (s *State) AddContacts(now time.Time, list []Contact) {
	s.advance(now)
	for _, c := range list {
		s.addContact(c)
	}
}

func (s *State) addContact(c Contact) {
	bad := c.ControlAddr == "" || c.ControlAddr == s.self.VM.ControlAddr
	if bad || !s.cfg.Limits.short(c.ID, c.DataCentre, c.ControlAddr) {
		return
	}
	same := func(o Contact) bool { return o.ControlAddr == c.ControlAddr }
	if i := slices.IndexFunc(s.contacts, same); i >= 0 {
		s.contacts[i] = c
		return
	}
	if len(s.contacts) >= s.cfg.Limits.Contacts {
		oldest := min(len(s.cfg.Seeds), len(s.contacts)-1) // seeds stay
		s.contacts = slices.Delete(s.contacts, oldest, oldest+1)
	}
	s.contacts = append(s.contacts, c)
}

func (s *State) contactIn(c *centre) (Contact, bool) {
	var list []Contact
	for _, o := range s.contacts {
		if o.DataCentre == c.name {
			list = append(list, o)
		}
	}
	if len(list) == 0 {
		return Contact{}, false
	}
	return list[s.rnd.IntN(len(list))], true
}

// Joined tells whether this node has a full state, or found nobody to ask.
func (s *State) Joined() bool { return s.joined }

// ShouldReadContacts tells whether reading the platform's contacts could help. When
// another data centre is cut off, only the bridges read: else every node of a
// parted region would.
func (s *State) ShouldReadContacts() bool {
	_, home := s.cutOff[s.home.name]
	return !s.joined || s.live == 0 || home || (len(s.cutOff) > 0 && s.amBridge())
}

// tickJoin asks for a full state until there is one, again whenever no neighbour
// is left to talk to, and when a contact turns up that this node does not know.
func (s *State) tickJoin() {
	if !s.joined && s.now.Sub(s.started) > s.cfg.AloneAfter {
		s.becomeJoined()
	}
	if s.now.Before(s.nextJoin) {
		return
	}
	s.nextJoin = s.now.Add(s.backoff())
	c, ok := s.pickContact()
	if !ok {
		return
	}
	s.attempts++
	if !s.joined {
		s.asked[c.ControlAddr]++
	}
	s.stats.JoinAttempts++
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_JOIN}
	m.Records = []*peerpb.Record{encodeRecord(&s.self)}
	s.sendAddr("", c.ControlAddr, s.home, m, 2*s.cfg.ProbeTimeout)
}

// pickContact returns whom to ask. Once joined, only the bridges ask, and only
// those whom they do not know: nodes that started together, or while parted,
// may have formed several meshes, each of which believes that it is whole.
func (s *State) pickContact() (Contact, bool) {
	list := s.contacts
	_, cut := s.cutOff[s.home.name]
	switch {
	case s.joined && s.live > 0 && !cut:
		list = s.strangers()
	case s.attempts%2 == 1:
		if c, ok := s.contactIn(s.home); ok {
			return c, true
		}
	}
	if !s.joined {
		list = s.leastAsked(list)
	}
	if len(list) == 0 {
		return Contact{}, false
	}
	return list[s.rnd.IntN(len(list))], true
}

// leastAsked returns the contacts that were asked least often. Drawn from all, a
// contact that is down may be drawn until the node takes itself to be the first of
// the mesh; with an empty platform it would then serve by version 0.
func (s *State) leastAsked(list []Contact) []Contact {
	var out []Contact
	least := 0
	for _, c := range list {
		n := s.asked[c.ControlAddr]
		if len(out) == 0 || n < least {
			out, least = out[:0], n
		}
		if n == least {
			out = append(out, c)
		}
	}
	return out
}

// strangers returns the contacts at addresses that belong to no known node, and
// where nodes were that left or died.
//
// A node that starts again while the platform is down has nobody to ask. It comes
// back at its address, where those that remember it find it; left to itself it
// would know no endpoint, and refuse every call until the platform is back.
func (s *State) strangers() []Contact {
	if !s.amBridge() {
		return nil
	}
	list := slices.Clone(s.contacts)
	known := make(map[string]struct{}, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		vm := &s.entries[id].rec.VM
		if s.entries[id].dead || s.entries[id].rec.State == VMLeaving {
			list = append(list, Contact{ID: id, DataCentre: vm.DataCentre, ControlAddr: vm.ControlAddr})
			continue
		}
		known[vm.ControlAddr] = struct{}{}
	}
	return slices.DeleteFunc(list, func(c Contact) bool {
		_, ok := known[c.ControlAddr]
		return ok || c.ControlAddr == ""
	})
}

// backoff is the wait before the next join: full jitter under a bound that
// doubles, and never less than a tenth of it so that a herd stays bounded.
func (s *State) backoff() time.Duration {
	bound := s.cfg.JoinBackoffMax
	if !s.joined && s.attempts < 10 {
		bound = min(bound, s.cfg.JoinBackoff<<s.attempts)
	}
	return bound/10 + s.jitter(bound)
}

// answerJoin serves the full state to a few joins a second and refers the rest
// to others.
func (s *State) answerJoin(m, ans *peerpb.Membership) {
	ans.Recalled = s.heldBy(m.GetFrom())
	s.tokens = min(s.cfg.JoinBurst, s.tokens+s.now.Sub(s.tokensAt).Seconds()*s.cfg.JoinsPerSecond)
	s.tokensAt = s.now
	if s.tokens < 1 {
		s.stats.JoinsRefused++
		wait := time.Duration((1 + s.cfg.JoinBurst) / s.cfg.JoinsPerSecond * float64(time.Second))
		ans.RetryAfterMs = uint32(wait.Milliseconds())
		for _, e := range shuffled(s, s.peers(), maxReferrals) {
			ans.Referrals = append(ans.Referrals, &peerpb.Contact{
				Id: e.rec.VM.ID, DataCentre: e.rec.VM.DataCentre, ControlAddr: e.rec.VM.ControlAddr,
			})
		}
		return
	}
	s.tokens--
	s.stats.JoinsServed++
	ans.Full = s.fullState()
	if s.self.AppliedVersion > 0 {
		for _, c := range s.sortedCentres() {
			ans.Held = append(ans.Held, s.encodeHeld(c))
		}
	}
	ans.Digest = s.digest()
}

func (s *State) fullState() []byte {
	if s.full != nil && s.now.Sub(s.fullAt) < fullFresh {
		return s.full
	}
	list := &peerpb.RecordList{Records: []*peerpb.Record{encodeRecord(&s.self)}}
	for _, c := range s.sortedCentres() {
		for _, e := range s.order(c) {
			list.Records = append(list.Records, encodeRecord(&e.rec))
		}
	}
	raw, err := proto.Marshal(list)
	if err != nil {
		s.stats.Refused++ // a string that is not UTF-8
		return nil
	}
	packed, err := compress(raw)
	if err != nil {
		return nil
	}
	s.full, s.fullAt = packed, s.now
	return s.full
}

func (s *State) joinAnswered(m *peerpb.Membership) {
	for _, r := range m.GetReferrals() {
		s.addContact(Contact{ID: r.GetId(), DataCentre: r.GetDataCentre(), ControlAddr: r.GetControlAddr()})
	}
	if ms := m.GetRetryAfterMs(); ms > 0 {
		if len(m.GetReferrals()) == 0 {
			wait := min(time.Duration(ms)*time.Millisecond, s.cfg.JoinBackoffMax)
			s.nextJoin = s.now.Add(wait/10 + s.jitter(wait))
		}
		return
	}
	if !s.takeFull(m.GetFull(), keyOf(m.GetFrom())) {
		s.stats.Refused++
		return
	}
	s.takeHeld(m.GetHeld())
	s.recall.Version = max(s.recall.Version, m.GetRecalled())
	// Two nodes that both just started know nothing that makes either joined.
	if !m.GetJoining() && !s.joined {
		s.becomeJoined()
	}
}

// takeFull takes a full state. To a node that joins, its records are old news to
// everybody else and do not ride on its messages. To one that has joined
// before, they come from a mesh that was apart.
func (s *State) takeFull(full []byte, source uint64) bool {
	raw, err := decompress(full, s.cfg.Limits.FullStateBytes)
	if err != nil {
		return false
	}
	var list peerpb.RecordList
	if proto.Unmarshal(raw, &list) != nil {
		return false
	}
	for _, p := range list.GetRecords() {
		if s.accept(p, source) && !s.joined {
			e := s.entries[p.GetId()]
			e.hot = 0
			delete(s.hot, e)
		}
	}
	return true
}

func (s *State) becomeJoined() {
	s.joined = true
	s.own.joinedAt = s.now
	s.attempts = 0
	s.heatOwn(true)
	s.settled = s.now.Add(s.cfg.SuspicionGrace)
	s.startRecall()
}
