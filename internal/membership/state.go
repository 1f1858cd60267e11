package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// OutgoingRequest is a request that the caller of State has to send. Its outcome goes to
// HandleAnswer or HandleFailure under its ID.
type OutgoingRequest struct {
	ID      uint64
	To      string // ID of the node; empty if only its address is known
	Addr    string
	Kind    peerpb.Kind
	Msg     *peerpb.Membership
	Timeout time.Duration
}

// pending is a request without an answer yet.
type pending struct {
	kind       peerpb.Kind
	to         string
	target     string // node to probe, of a relay request
	centre     *centre
	syncCentre uint32 // key of the data centre, of a sync request
	deadline   time.Time
}

// State is the membership protocol of one node as a state machine without sockets, goroutines or
// a clock. It is not safe for concurrent use; Runner serialises access to it.
type State struct {
	cfg Config
	now time.Time
	rnd *rand.Rand

	self     Record
	key      uint64
	home     *centre
	ownSends int
	own      ownRecord

	entries     map[string]*entry // by ID, without this node
	byKey       map[uint64]*entry
	centres     map[string]*centre
	centreByKey map[uint32]*centre
	live        int
	changeCount uint64 // source of entry.changeNumber

	queued      map[*entry]struct{}
	urgent      map[*entry]struct{}
	deadReplies []*entry // dead nodes to report to the peer of this exchange
	suspects    map[*entry]struct{}

	ringCache    []*entry
	probeTargets []*entry
	observers    []*entry

	nextID         uint64
	pending        map[uint64]pending
	outgoing       []OutgoingRequest
	relaying       map[uint64]relay
	indirect       map[string]*indirectProbe
	sample         healthSample
	probeRound     []*entry
	priorityProbes []*entry // probed before the round continues
	health         int
	nextProbe      time.Time
	nextPush       time.Time
	nextSync       time.Time
	nextCheck      time.Time
	nextSweep      time.Time
	graceUntil     time.Time // no suspicion is raised before it
	lastTick       time.Time
	lastExchange   time.Time // last direct exchange within the data centre

	joinState
	recall    Recall
	recalling map[uint64]struct{}

	view         *View
	viewDirty    bool
	heldDirty    bool
	cutOff       map[string]time.Time
	heldMessages uint64
	stats        Stats
}

// New returns the state of a node that knows only itself. A zero incarnation in cfg.Self is
// replaced by now in Unix milliseconds.
func New(cfg Config, now time.Time, rnd *rand.Rand) *State {
	s := &State{
		cfg:          cfg,
		now:          now,
		rnd:          rnd,
		key:          keyOf(cfg.Self.ID),
		entries:      map[string]*entry{},
		byKey:        map[uint64]*entry{},
		centres:      map[string]*centre{},
		centreByKey:  map[uint32]*centre{},
		queued:       map[*entry]struct{}{},
		urgent:       map[*entry]struct{}{},
		suspects:     map[*entry]struct{}{},
		pending:      map[uint64]pending{},
		relaying:     map[uint64]relay{},
		indirect:     map[string]*indirectProbe{},
		recalling:    map[uint64]struct{}{},
		cutOff:       map[string]time.Time{},
		own:          ownRecord{knownCentres: map[string]struct{}{}},
		lastTick:     now,
		lastExchange: now,
		graceUntil:   now.Add(cfg.SuspicionGrace),
		nextProbe:    now.Add(time.Duration(rnd.Int64N(int64(cfg.ProbeEvery)))),
		nextSync:     now.Add(time.Duration(rnd.Int64N(int64(cfg.SyncEvery)))),
		viewDirty:    true,
	}
	s.self = Record{VM: cfg.Self, Sequence: 1, State: VMAlive}
	if s.self.VM.Incarnation == 0 {
		s.self.VM.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	s.home = s.centreOf(cfg.Self.DataCentre, cfg.Self.Region)
	s.toggleOwnHash()
	s.startJoining()
	s.queueOwn(false)
	return s
}

// advance sets the time of an input. A long gap since the last tick means that this process was
// paused or that the machine's clock was stepped: answers that arrived meanwhile are lost, and
// every timer expires at once, which would make all peers suspect. So timers move on by
// the gap, pending requests are dropped, and no suspicion is raised for SuspicionGrace.
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
	s.lastExchange = s.lastExchange.Add(gap)
	s.graceUntil = now.Add(s.cfg.SuspicionGrace)
	clear(s.pending)
	clear(s.relaying)
	clear(s.indirect)
	clear(s.recalling)
	s.sample = healthSample{}
	s.outgoing = nil
	for e := range s.suspects {
		e.suspicion.since = e.suspicion.since.Add(gap)
	}
	for _, c := range s.centres {
		c.lastHeard = c.lastHeard.Add(gap)
	}
	s.nextProbe = now
	s.nextSync = now
	s.syncAfterPause()
}

// Tick runs what is due and returns the requests to send. It is cheap if nothing is due; call it
// every 100 ms and after every other input.
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
		s.expireSuspicions()
		s.checkCutOff()
	}
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(5 * time.Second)
		s.expire()
	}
	out := s.outgoing
	s.outgoing = nil
	return out
}

// send queues a request to a known node.
func (s *State) send(e *entry, m *peerpb.Membership, timeout time.Duration) uint64 {
	return s.sendAddr(e.rec.VM.ID, e.rec.VM.ControlAddr, e.centre, m, timeout)
}

func (s *State) sendAddr(to, addr string, c *centre, m *peerpb.Membership, timeout time.Duration) uint64 {
	s.nextID++
	s.setSender(m)
	s.pending[s.nextID] = pending{
		kind:   m.Kind,
		to:     to,
		target: m.Target,
		centre: c,
		// The caller applies Timeout itself. This deadline bounds pending if
		// the outcome is never reported.
		deadline: s.now.Add(2 * timeout),
	}
	s.outgoing = append(s.outgoing, OutgoingRequest{ID: s.nextID, To: to, Addr: addr, Kind: m.Kind, Msg: m, Timeout: timeout})
	t := &s.stats.Traffic[m.Kind]
	t.Sent++
	t.SentBytes += uint64(proto.Size(m))
	return s.nextID
}

// setSender fills in the sender's fields of a message.
func (s *State) setSender(m *peerpb.Membership) {
	m.From = s.self.VM.ID
	m.Incarnation = s.self.VM.Incarnation
	m.Sequence = s.self.Sequence
	m.Version = s.self.AppliedVersion
	m.Joining = !s.joined
}

// tickPending fails requests whose outcome was never reported.
func (s *State) tickPending() {
	var late []uint64
	for id, p := range s.pending {
		if s.now.After(p.deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late) // deterministic order, for tests
	for _, id := range late {
		s.requestFailed(id, s.pending[id])
	}
}

// HandleFailure handles the failure of a request.
func (s *State) HandleFailure(now time.Time, id uint64, _ error) {
	s.advance(now)
	if p, ok := s.pending[id]; ok {
		s.requestFailed(id, p)
	}
}

// Cancel drops a request that the caller did not send, for lack of capacity.
func (s *State) Cancel(id uint64) {
	delete(s.pending, id)
	delete(s.recalling, id)
	delete(s.relaying, id)
	delete(s.sample.pending, id)
}

func (s *State) requestFailed(id uint64, p pending) {
	_, relayed := s.relaying[id]
	delete(s.pending, id)
	delete(s.relaying, id)
	s.recordSampleResult(id, false)
	if e := s.entries[p.to]; e != nil {
		e.lastFailure = s.now
	}
	switch p.kind {
	case peerpb.Kind_KIND_PROBE:
		if !relayed { // else the requester decides
			s.probeFailed(p.to)
		}
	case peerpb.Kind_KIND_BRIDGE:
		p.centre.failures++
	case peerpb.Kind_KIND_RECALL:
		s.recallDone(id, false)
	}
}
