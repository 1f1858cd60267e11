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

// mesh connects several States through an event queue in virtual time. Messages can be lost,
// duplicated and delayed; nodes can die and restart without state.
type mesh struct {
	set            func(id, dc string) Settings
	now            time.Time
	rng            *rand.Rand
	queue          agenda.EventQueue
	nodes          map[string]*node
	ids            []string
	view           *membership.View
	views          map[string]*membership.View // of nodes with a smaller view
	log            []*config.Delta             // of the platform
	head           *config.Snapshot
	platformDown   bool
	platformSilent func(*node) bool // nodes that get no answer from the platform
	headLag        int              // versions by which the platform's answers lag
	drop           func() bool
	duplicate      func() bool
	extraDelay     func() time.Duration
	partitioned    func(a, b string) bool
	violation      string // a broken invariant
	reads          int
	bytes          int // of distribution alone
	msgs           int
	pulls          int
	probeInterval  time.Duration
	randomPush     bool // baseline: push to random nodes, not along the tree
	noBypass       bool // baseline: unreachable nodes are not bypassed
}

type node struct {
	id, dc     string
	up         bool
	generation int
	state      *State
	offered    config.Version
	inForceAt  map[uint64]time.Time
	reports    []Finding
	// fallbackReads are the fallback reads that were reported.
	fallbackReads []*ConfirmationOverdue
	offerErr      func(*config.Snapshot) error
}

// httpOverhead is the size that HTTP and TLS add to one exchange, both ways: of the 383 bytes that
// BenchmarkExchange of internal/peer reports over mutual TLS, the two envelopes take 136.
const httpOverhead = 383 - 136

func newMesh(n, dcs int, seed uint64, set func(id, dc string) Settings) *mesh {
	m := &mesh{
		set: set, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		views: make(map[string]*membership.View),
		nodes: make(map[string]*node), head: config.Empty(), probeInterval: time.Second,
		drop: func() bool { return false }, duplicate: func() bool { return false },
		extraDelay: func() time.Duration { return 0 }, partitioned: func(a, b string) bool { return false },
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
	n.up, n.generation = true, n.generation+1
	n.state = New(m.set(id, n.dc), m.now)
	n.offered, n.inForceAt, n.reports = config.Version{}, make(map[uint64]time.Time), nil
	m.refreshView()
	generation := n.generation
	var tick, probe func()
	tick = func() {
		if n.generation == generation && n.up {
			m.step(n, Tick{})
			m.after(tickInterval, tick)
		}
	}
	probe = func() {
		if n.generation == generation && n.up {
			m.probeFrom(n)
			m.after(m.probeInterval, probe)
		}
	}
	m.after(time.Duration(m.rng.Int64N(int64(tickInterval))), tick)
	m.after(time.Duration(m.rng.Int64N(int64(m.probeInterval))), probe)
}

func (m *mesh) kill(id string) { m.nodes[id].up = false }

// probeFrom simulates the membership's probing: a random node of the same data centre, and one time
// in ten of any.
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

// send runs f at b after the latency, unless the message is lost; it may be duplicated.
func (m *mesh) send(a, b *node, f func()) bool {
	if m.drop() || m.partitioned(a.id, b.id) {
		return false
	}
	generation := b.generation
	n := 1
	if m.duplicate() {
		n = 2
	}
	for range n {
		m.after(m.latency(a, b)+m.extraDelay(), func() {
			if b.up && b.generation == generation {
				f()
			}
		})
	}
	return b.up
}

func (m *mesh) exchange(a, b *node, ds []*config.Delta, pushed bool, done func(error)) {
	aHeld, aInForce, aConfirmed := a.state.Version(), a.state.InForce(), m.confirmed(a)
	generation := a.generation
	ok := m.send(a, b, func() {
		m.step(b, VersionReceived{Peer: a.id, Version: aHeld, InForce: aInForce, Pushed: pushed, Deltas: ds, Confirmed: aConfirmed})
		v, f, c := b.state.Version(), b.state.InForce(), m.confirmed(b)
		m.send(b, a, func() {
			if a.generation != generation {
				return
			}
			m.step(a, VersionReceived{Peer: b.id, Version: v, InForce: f, Confirmed: c})
			done(nil)
		})
	})
	if !ok {
		m.after(time.Second, func() {
			if a.up && a.generation == generation {
				done(errLost)
			}
		})
	}
}

// confirmed returns the confirmation in a message of n.
func (m *mesh) confirmed(n *node) Confirmation {
	return ConfirmationFromProto(m.now, n.state.confirmed.Proto(m.now))
}

func (m *mesh) pull(a, b *node, v, held config.Version, headOnly bool, done func(Answer, error)) {
	generation := a.generation
	finished := false
	finish := func(ans Answer, err error) {
		if !finished && a.up && a.generation == generation {
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

// step passes one event to a node and performs its actions.
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
		n.fallbackReads = append(n.fallbackReads, a.Finding)
	case Push:
		m.push(n, a)
	case Pull:
		m.pulls++
		m.pull(n, m.nodes[a.Peer], a.Version, a.Held, false, func(ans Answer, err error) {
			m.step(n, Pulled{Peer: a.Peer, Answer: ans, Err: err})
		})
	case Query:
		m.pull(n, m.nodes[a.Peer], a.Version, a.Version, true, func(ans Answer, err error) {
			m.step(n, Queried{Peer: a.Peer, Answer: ans, Err: err})
		})
	default:
		m.readPlatform(n, a)
	}
}

func (m *mesh) push(n *node, a Push) {
	if m.randomPush { // keep only the pushes between data centres
		a.Peers = slices.DeleteFunc(a.Peers, func(p string) bool { return m.nodes[p].dc == n.dc })
	}
	m.sendPushes(n, a)
}

func (m *mesh) sendPushes(n *node, a Push) {
	packed, err := Pack(a.Deltas, nil)
	if err != nil {
		panic(err)
	}
	for _, p := range a.Peers {
		m.count(envelope(n, a.Version, packed), httpOverhead)
		m.count(envelope(m.nodes[p], a.Version, nil), 0)
		m.exchange(n, m.nodes[p], a.Deltas, true, func(err error) {
			if err == nil || !m.noBypass {
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

// pushRandom is the baseline for the tree: every node that gets a version pushes to FanOut random
// nodes of its data centre.
func (m *mesh) pushRandom(n *node, v config.Version) {
	var own []string
	for _, p := range m.ids {
		if m.nodes[p].dc == n.dc && p != n.id {
			own = append(own, p)
		}
	}
	m.rng.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	own = own[:min(n.state.set.Profile.FanOut, len(own))]
	m.sendPushes(n, Push{Peers: own, Version: v, Deltas: m.log[v.Number-1 : v.Number]})
}

// converged reports whether every live node holds the platform's newest version.
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
