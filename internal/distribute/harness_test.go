package distribute

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

var errLost = errors.New("lost")

// mesh joins several States with an event queue in virtual time. Messages can
// be lost, doubled and delayed; nodes can die and come back empty.
type mesh struct {
	set     func(id, dc string) Settings
	now     time.Time
	rng     *rand.Rand
	queue   agenda.EventQueue
	nodes   map[string]*node
	ids     []string
	view    *membership.View
	views   map[string]*membership.View // of nodes that see less than view
	log     []*config.Delta             // the platform's
	head    *config.Snapshot
	down    bool
	silent  func(*node) bool // whom the platform leaves without an answer
	headLag int              // versions by which the platform's answers are old
	drop    func() bool
	double  func() bool
	extra   func() time.Duration
	cut     func(a, b string) bool
	fault   string // a broken promise
	reads   int
	bytes   int // of spreading alone
	msgs    int
	pulls   int
	probe   time.Duration
	random  bool // baseline: tell random nodes rather than the tree's
	noStand bool // baseline: nobody stands in for a lost node
}

type node struct {
	id, dc  string
	up      bool
	life    int
	state   *State
	offered config.Version
	force   map[uint64]time.Time
	reports []Finding
	// standIns are the reads in place of the feeders that were reported.
	standIns []*ConfirmationOverdue
	fail     func(*config.Snapshot) error
}

// httpOverhead stands for what HTTP and TLS add to one exchange, both ways: of
// the 383 bytes that BenchmarkExchange of internal/peer gives for one over
// mutual TLS, its two envelopes take 136.
const httpOverhead = 383 - 136

func newMesh(n, dcs int, seed uint64, set func(id, dc string) Settings) *mesh {
	m := &mesh{
		set: set, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		views: make(map[string]*membership.View),
		nodes: make(map[string]*node), head: config.Empty(), probe: time.Second,
		drop: func() bool { return false }, double: func() bool { return false },
		extra: func() time.Duration { return 0 }, cut: func(a, b string) bool { return false },
	}
	for i := range n {
		id := fmt.Sprintf("vm%04d", i)
		m.ids = append(m.ids, id)
		m.nodes[id] = &node{id: id, dc: fmt.Sprintf("dc%d", i%dcs)}
	}
	for _, id := range m.ids {
		m.startNode(id)
	}
	return m
}

func (m *mesh) after(d time.Duration, f func()) {
	m.queue.Schedule(m.now.Add(d), func(time.Time) { f() })
}

func (m *mesh) run(d time.Duration) {
	end := m.now.Add(d)
	for at, do, ok := m.queue.Next(end); ok; at, do, ok = m.queue.Next(end) {
		m.now = at
		do(at)
	}
	m.now = end
}

// refreshView makes a new view of the live nodes, the same for all.
func (m *mesh) refreshView() {
	v := &membership.View{Records: make(map[string]*membership.ObservedRecord)}
	for _, n := range m.nodes {
		if n.up {
			v.Records[n.id] = &membership.ObservedRecord{Record: membership.Record{
				VM: membership.VM{ID: n.id, DataCentre: n.dc}, State: membership.VMAlive,
			}}
		}
	}
	m.view = v
}

func (m *mesh) startNode(id string) {
	n := m.nodes[id]
	n.up, n.life = true, n.life+1
	n.state = New(m.set(id, n.dc), m.now)
	n.offered, n.force, n.reports = config.Version{}, make(map[uint64]time.Time), nil
	m.refreshView()
	life := n.life
	var tick, probe func()
	tick = func() {
		if n.life == life && n.up {
			m.step(n, Tick{})
			m.after(tickEvery, tick)
		}
	}
	probe = func() {
		if n.life == life && n.up {
			m.probeFrom(n)
			m.after(m.probe, probe)
		}
	}
	m.after(time.Duration(m.rng.Int64N(int64(tickEvery))), tick)
	m.after(time.Duration(m.rng.Int64N(int64(m.probe))), probe)
}

func (m *mesh) kill(id string) { m.nodes[id].up = false }

// probeFrom stands for the membership's probing: a random node of the own data
// centre, and once in ten of any.
func (m *mesh) probeFrom(n *node) {
	for range 8 {
		p := m.nodes[m.ids[m.rng.IntN(len(m.ids))]]
		if p != n && (p.dc == n.dc || m.rng.IntN(10) == 0) {
			m.exchange(n, p, nil, false, func(error) {})
			return
		}
	}
}

func (m *mesh) latency(a, b *node) time.Duration {
	switch {
	case a.dc == b.dc:
		return 2 * time.Millisecond
	case a.dc[len(a.dc)-1]%2 == b.dc[len(b.dc)-1]%2: // same region
		return 10 * time.Millisecond
	}
	return 60 * time.Millisecond
}

// send delivers f at b unless it is lost; it may be doubled.
func (m *mesh) send(a, b *node, f func()) bool {
	if m.drop() || m.cut(a.id, b.id) {
		return false
	}
	life := b.life
	n := 1
	if m.double() {
		n = 2
	}
	for range n {
		m.after(m.latency(a, b)+m.extra(), func() {
			if b.up && b.life == life {
				f()
			}
		})
	}
	return b.up
}

func (m *mesh) exchange(a, b *node, ds []*config.Delta, tell bool, done func(error)) {
	aHeld, aForce, aConfirmed := a.state.Version(), a.state.InForce(), m.confirmed(a)
	life := a.life
	ok := m.send(a, b, func() {
		m.step(b, VersionReceived{Peer: a.id, Version: aHeld, InForce: aForce, Pushed: tell, Deltas: ds, Confirmed: aConfirmed})
		v, f, c := b.state.Version(), b.state.InForce(), m.confirmed(b)
		m.send(b, a, func() {
			if a.life != life {
				return
			}
			m.step(a, VersionReceived{Peer: b.id, Version: v, InForce: f, Confirmed: c})
			done(nil)
		})
	})
	if !ok {
		m.after(time.Second, func() {
			if a.up && a.life == life {
				done(errLost)
			}
		})
	}
}

// confirmed is what a message of n says of its version.
func (m *mesh) confirmed(n *node) Confirmation {
	return ConfirmationFromProto(m.now, n.state.confirmed.Proto(m.now))
}

func (m *mesh) ask(a, b *node, v, held config.Version, headOnly bool, done func(Answer, error)) {
	life := a.life
	finished := false
	finish := func(ans Answer, err error) {
		if !finished && a.up && a.life == life {
			finished = true
			done(ans, err)
		}
	}
	request := pullToProto(Pull{Version: v, Held: held}, headOnly)
	request.From = a.id
	m.count(request, 0)
	m.send(a, b, func() {
		ans := b.state.Serve(m.view, a.id, v, headOnly)
		ans.KnowsHeld = b.state.InHistory(held)
		packed, err := Pack(ans.Deltas, ans.Snapshot)
		if err != nil {
			panic(err)
		}
		m.count(&peerpb.PullResponse{Version: 1, Hash: v.Hash[:], Changes: packed}, httpOverhead)
		m.send(b, a, func() { finish(ans, nil) })
	})
	m.after(2*time.Second, func() { finish(Answer{}, errLost) })
}

func (m *mesh) count(msg proto.Message, overhead int) {
	m.bytes += proto.Size(msg) + overhead
	if overhead > 0 {
		m.msgs++
	}
}

// step feeds one event to a node and carries out its actions.
func (m *mesh) step(n *node, ev Event) {
	view := m.view
	if v := m.views[n.id]; v != nil {
		view = v
	}
	for _, a := range n.state.Step(m.now, m.rng, view, ev) {
		m.perform(n, a)
	}
}

func (m *mesh) perform(n *node, a Action) {
	switch a := a.(type) {
	case Offer:
		m.offer(n, a.Snapshot)
	case Report:
		n.reports = append(n.reports, a.Finding)
	case FallbackRead:
		n.standIns = append(n.standIns, a.Finding)
	case Push:
		m.tell(n, a)
	case Pull:
		m.pulls++
		m.ask(n, m.nodes[a.Peer], a.Version, a.Held, false, func(ans Answer, err error) {
			m.step(n, Pulled{Peer: a.Peer, Answer: ans, Err: err})
		})
	case Query:
		m.ask(n, m.nodes[a.Peer], a.Version, a.Version, true, func(ans Answer, err error) {
			m.step(n, Queried{Peer: a.Peer, Answer: ans, Err: err})
		})
	default:
		m.platform(n, a)
	}
}

func (m *mesh) tell(n *node, a Push) {
	if m.random { // keep the bridges alone
		a.Peers = slices.DeleteFunc(a.Peers, func(p string) bool { return m.nodes[p].dc == n.dc })
	}
	m.sendTells(n, a)
}

func (m *mesh) sendTells(n *node, a Push) {
	packed, err := Pack(a.Deltas, nil)
	if err != nil {
		panic(err)
	}
	for _, p := range a.Peers {
		m.count(envelope(n, a.Version, packed), httpOverhead)
		m.count(envelope(m.nodes[p], a.Version, nil), 0)
		m.exchange(n, m.nodes[p], a.Deltas, true, func(err error) {
			if err == nil || !m.noStand {
				m.step(n, PushDone{Peer: p, Version: a.Version, Err: err})
			}
		})
	}
}

func envelope(n *node, v config.Version, changes *peerpb.Packed) *peerpb.Envelope {
	return &peerpb.Envelope{
		Mesh: "trust", From: "neg-shed-" + n.id[2:], Incarnation: 1764700000000,
		Version: v.Number, Hash: v.Hash[:], Changes: changes,
	}
}

// tellRandom is the baseline of the tree: every node that learned of a version
// tells FanOut random nodes of its data centre.
func (m *mesh) tellRandom(n *node, v config.Version) {
	var own []string
	for _, p := range m.ids {
		if m.nodes[p].dc == n.dc && p != n.id {
			own = append(own, p)
		}
	}
	m.rng.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	own = own[:min(n.state.set.Profile.FanOut, len(own))]
	m.sendTells(n, Push{Peers: own, Version: v, Deltas: m.log[v.Number-1 : v.Number]})
}

// converged reports whether every live node holds the platform's newest.
func (m *mesh) converged() bool {
	for _, n := range m.nodes {
		if n.up && n.state.Version() != m.head.Version() {
			return false
		}
	}
	return true
}

func (m *mesh) readyCount() int {
	c := 0
	for _, n := range m.nodes {
		if ok, _ := n.state.Ready(); ok && n.up {
			c++
		}
	}
	return c
}
