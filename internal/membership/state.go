package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// OutgoingRequest is a request that the caller of State has to make. What comes of it goes
// to HandleAnswer or HandleFailure under its ID.
type OutgoingRequest struct {
	ID      uint64
	To      string // ID of the node, empty when only its address is known
	Addr    string
	Kind    peerpb.Kind
	Msg     *peerpb.Membership
	Timeout time.Duration
}

// pending is a request without an answer yet.
type pending struct {
	kind     peerpb.Kind
	to       string
	target   string // of a relay
	centre   *centre
	syncing  uint32 // key of the data centre of a sync
	deadline time.Time
}

// State is the membership protocol of one node as a state machine: it has no
// sockets, goroutines or clock. It is not safe for concurrent use; Runner
// guards it.
type State struct {
	cfg Config
	now time.Time
	rnd *rand.Rand

	self   Record
	key    uint64
	home   *centre
	hotOwn int
	own    own

	entries  map[string]*entry // by ID, without this node
	byKey    map[uint64]*entry
	centres  map[string]*centre
	byCentre map[uint32]*centre
	live     int
	changes  uint64 // numbers changes, for entry.order

	hot      map[*entry]struct{}
	urgent   map[*entry]struct{}
	tell     []*entry // nodes declared dead, to tell the other side of
	suspects map[*entry]struct{}

	ringCache []*entry
	fingers   []*entry
	observers []*entry

	nextID    uint64
	pending   map[uint64]pending
	out       []OutgoingRequest
	relaying  map[uint64]relay
	indirect  map[string]*indirect
	roll      rollCall
	cycle     []*entry
	first     []*entry // to be probed before the cycle goes on
	health    int
	nextProbe time.Time
	nextPush  time.Time
	nextSync  time.Time
	nextCheck time.Time
	nextSweep time.Time
	settled   time.Time // no suspicion is raised before
	lastTick  time.Time
	lastOK    time.Time // last direct exchange within the data centre

	joinState
	recall    Recall
	recalling map[uint64]struct{}

	view      *View
	viewDirty bool
	heldDirty bool
	cutOff    map[string]time.Time
	exchanges uint64
	stats     Stats
}

// New returns the state of a node that knows only itself. A zero incarnation
// in cfg.Self stands for now in Unix milliseconds.
func New(cfg Config, now time.Time, rnd *rand.Rand) *State {
	s := &State{
		cfg:       cfg,
		now:       now,
		rnd:       rnd,
		key:       keyOf(cfg.Self.ID),
		entries:   map[string]*entry{},
		byKey:     map[uint64]*entry{},
		centres:   map[string]*centre{},
		byCentre:  map[uint32]*centre{},
		hot:       map[*entry]struct{}{},
		urgent:    map[*entry]struct{}{},
		suspects:  map[*entry]struct{}{},
		pending:   map[uint64]pending{},
		relaying:  map[uint64]relay{},
		indirect:  map[string]*indirect{},
		recalling: map[uint64]struct{}{},
		cutOff:    map[string]time.Time{},
		own:       own{met: map[string]struct{}{}},
		lastTick:  now,
		lastOK:    now,
		settled:   now.Add(cfg.SuspicionGrace),
		nextProbe: now.Add(time.Duration(rnd.Int64N(int64(cfg.ProbeEvery)))),
		nextSync:  now.Add(time.Duration(rnd.Int64N(int64(cfg.SyncEvery)))),
		viewDirty: true,
	}
	s.self = Record{VM: cfg.Self, Sequence: 1, State: VMAlive}
	if s.self.VM.Incarnation == 0 {
		s.self.VM.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	s.home = s.centreOf(cfg.Self.DataCentre, cfg.Self.Region)
	s.linkOwn()
	s.startJoining()
	s.heatOwn(false)
	return s
}

// advance takes the time of an input. A long gap since the last tick means that
// this process was paused, or the machine's clock stepped: answers that came
// meanwhile were lost and every timer ran out at once. Judging peers by that
// would suspect all of them, so the timers move on by the gap, requests under
// way are forgotten, and no suspicion is raised until peers were heard again.
func (s *State) advance(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.now = now
	if gap < 0 {
		s.lastTick = now
	}
	if gap <= s.cfg.PauseGap {
		return
	}
	s.stats.Pauses++
	s.lastTick = now
	s.lastOK = s.lastOK.Add(gap)
	s.settled = now.Add(s.cfg.SuspicionGrace)
	clear(s.pending)
	clear(s.relaying)
	clear(s.indirect)
	clear(s.recalling)
	s.roll = rollCall{}
	s.out = nil
	for e := range s.suspects {
		e.suspicion.since = e.suspicion.since.Add(gap)
	}
	for _, c := range s.centres {
		c.heard = c.heard.Add(gap)
	}
	s.nextProbe = now
	s.nextSync = now
	s.refresh()
}

// Tick does what is due and returns the requests to make. It is cheap when
// nothing is due; call it every 100 ms and after every other input.
func (s *State) Tick(now time.Time) []OutgoingRequest {
	s.advance(now)
	s.lastTick = now
	s.tickOwn()
	s.tickPending()
	s.tickJoin()
	s.tickProbe()
	s.tickIndirect()
	s.tickBridges()
	s.tickPush()
	if !now.Before(s.nextCheck) {
		s.nextCheck = now.Add(time.Second)
		s.checkSuspects()
		s.checkCutOff()
	}
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(5 * time.Second)
		s.expire()
	}
	out := s.out
	s.out = nil
	return out
}

// send queues a request to a known node.
func (s *State) send(e *entry, m *peerpb.Membership, timeout time.Duration) uint64 {
	return s.sendAddr(e.rec.VM.ID, e.rec.VM.ControlAddr, e.centre, m, timeout)
}

func (s *State) sendAddr(to, addr string, c *centre, m *peerpb.Membership, timeout time.Duration) uint64 {
	s.nextID++
	s.sign(m)
	s.pending[s.nextID] = pending{
		kind:   m.Kind,
		to:     to,
		target: m.Target,
		centre: c,
		// The caller applies Timeout itself; this is for the case that it
		// never reports, so that pending stays bounded.
		deadline: s.now.Add(2 * timeout),
	}
	s.out = append(s.out, OutgoingRequest{ID: s.nextID, To: to, Addr: addr, Kind: m.Kind, Msg: m, Timeout: timeout})
	t := &s.stats.Traffic[m.Kind]
	t.Sent++
	t.SentBytes += uint64(proto.Size(m))
	return s.nextID
}

// sign says who speaks.
func (s *State) sign(m *peerpb.Membership) {
	m.From = s.self.VM.ID
	m.Incarnation = s.self.VM.Incarnation
	m.Sequence = s.self.Sequence
	m.Version = s.self.AppliedVersion
	m.Joining = !s.joined
}

// tickPending forgets requests whose outcome was never reported.
func (s *State) tickPending() {
	var late []uint64
	for id, p := range s.pending {
		if s.now.After(p.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late) // the same order every run, for tests
	for _, id := range late {
		s.failed(id, s.pending[id])
	}
}

// HandleFailure takes the failure of a request.
func (s *State) HandleFailure(now time.Time, id uint64, _ error) {
	s.advance(now)
	if p, ok := s.pending[id]; ok {
		s.failed(id, p)
	}
}

// Cancel takes back a request that was never made, as the runner had no room.
func (s *State) Cancel(id uint64) {
	delete(s.pending, id)
	delete(s.recalling, id)
	delete(s.relaying, id)
	delete(s.roll.waiting, id)
}

func (s *State) failed(id uint64, p pending) {
	_, relayed := s.relaying[id]
	delete(s.pending, id)
	delete(s.relaying, id)
	s.rollAnswer(id, false)
	if e := s.entries[p.to]; e != nil {
		e.fail = s.now
	}
	switch p.kind {
	case peerpb.Kind_KIND_PROBE:
		if !relayed { // else the node that asked for it judges
			s.probeFailed(p.to)
		}
	case peerpb.Kind_KIND_BRIDGE:
		p.centre.failures++
	case peerpb.Kind_KIND_RECALL:
		s.recallDone(id, false)
	}
}
