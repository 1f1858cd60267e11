package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	sourceAnswer  = 4 * time.Millisecond // response time of a healthy source
	sourceTimeout = 2 * time.Second      // after which a client gives up a request, beyond its hold
	peerAnswer    = 2 * time.Millisecond
	settleTime    = 5 * time.Second
	// reachGrace is how long a node must have reached the source before the users' bound applies to
	// it.
	reachGrace = 3 * time.Second
)

var (
	errSilent   = errors.New("no answer within the time")
	errRejected = errors.New("request rejected")
)

// testMesh is a mesh whose nodes follow one source, in virtual time.
type testMesh struct {
	t     *testing.T
	nodes map[string]*meshNode
	ids   []string

	mu       sync.Mutex
	newest   *config.Snapshot
	services []config.Object // of the newest version
	accepted []acceptedAt
	changed  chan struct{} // closed when newest changes
	delay    time.Duration // response time of the source
	reads    int           // requests to the source
	refuses  bool          // the source rejects every request at once
	given    int           // versions that the source returned, each whole
	within   time.Duration // in which a version has to be in force
	// undecodable are versions that the source returns as such.
	undecodable map[uint64]bool
}

type acceptedAt struct {
	number uint64
	at     time.Time
}

// meshNode is one node, its source and its client.
type meshNode struct {
	m      *testMesh
	id     string
	runner *Runner
	views  membership.CurrentView

	// Guarded by testMesh.mu.
	silent         bool      // the source does not answer it
	reachableSince time.Time // since when the source answers it again
	partition      int       // nodes of different partitions don't reach each other
	given          config.Version
	reads          int             // requests of this node to the source
	refuses        map[uint64]bool // versions that can't be put in force

	store   *config.Store[int]
	lastErr error // of the newest version that the source returned; used by its caller alone
}

// withMesh runs test in virtual time with nodes in data centres of the given sizes that hold the
// first version.
func withMesh(t *testing.T, sizes []int, test func(m *testMesh)) {
	withMeshWithin(t, inForceWithin, sizes, test)
}

// withAssuredMesh is withMesh with assureWithin as the maximum age of an assurance.
func withAssuredMesh(t *testing.T, sizes []int, test func(m *testMesh)) {
	withMeshOf(t, bounds{inForce: inForceWithin, assured: assureWithin}, sizes, test)
}

// withMeshWithin is withMesh with a bound for versions to be in force.
func withMeshWithin(t *testing.T, within time.Duration, sizes []int, test func(m *testMesh)) {
	withMeshOf(t, bounds{inForce: within}, sizes, test)
}

// bounds are the bounds that users set for a mesh.
type bounds struct {
	inForce time.Duration // in which a version has to be in force
	assured time.Duration // maximum age of an assurance, or 0 if none is needed
}

func withMeshOf(t *testing.T, b bounds, sizes []int, test func(m *testMesh)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		m := newTestMesh(t, ctx, b, sizes)
		test(m)
		stop()
		time.Sleep(settleTime) // until the requests in flight have ended
	})
}

func newTestMesh(t *testing.T, ctx context.Context, b bounds, sizes []int) *testMesh {
	m := &testMesh{
		t: t, nodes: make(map[string]*meshNode), newest: config.Empty(), changed: make(chan struct{}), delay: sourceAnswer, within: b.inForce,
		undecodable: make(map[uint64]bool),
	}
	records := make(map[string]*membership.ObservedRecord)
	for dc, size := range sizes {
		for i := range size {
			id := fmt.Sprintf("dc%d-%03d", dc, i)
			m.ids = append(m.ids, id)
			records[id] = &membership.ObservedRecord{Record: membership.Record{
				VM: membership.VM{ID: id, DataCentre: fmt.Sprint("dc", dc), ControlAddr: id, LinkMbps: 100}, State: membership.VMAlive,
			}}
		}
	}
	m.accept()
	for _, id := range m.ids {
		n := &meshNode{m: m, id: id, reachableSince: time.Now(), refuses: make(map[uint64]bool)}
		m.nodes[id] = n
		n.views.Store(&membership.View{Self: id, Records: records})
		store, err := config.NewStore(func(*config.Snapshot) (int, error) { return 0, nil })
		if err != nil {
			t.Fatal(err)
		}
		n.store = store
		set := Defaults(id, records[id].VM.DataCentre, 100).WithInForceBound(b.inForce)
		set.MaxAssuranceAge = b.assured
		n.runner = NewRunner(set,
			Deps{Source: n, Views: &n.views, Client: n, Store: notInForce{store, n}, Log: zerolog.Nop()})
	}
	for _, n := range m.nodes {
		go n.runner.Run(ctx)
	}
	time.Sleep(settleTime)
	return m
}

func (m *testMesh) accept() {
	m.mu.Lock()
	defer m.mu.Unlock()
	number := m.newest.Version().Number + 1
	m.services = append(m.services, config.EncodeService(config.Service{Name: fmt.Sprint("s", number), Team: "berths"}))
	next, err := config.Succeed(m.newest, number, m.services)
	if err != nil {
		m.t.Fatal(err)
	}
	m.newest = next
	m.accepted = append(m.accepted, acceptedAt{next.Version().Number, time.Now()})
	close(m.changed)
	m.changed = make(chan struct{})
}

// setSilent sets the nodes that the source does not answer; it answers all others.
func (m *testMesh) setSilent(silent func(*meshNode) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		if was := n.silent; was && !silent(n) {
			n.reachableSince = time.Now()
		}
		n.silent = silent(n)
	}
}

// setDelay sets the response time of the source.
func (m *testMesh) setDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

func (m *testMesh) sourceReads() (reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// changeStorm accepts versions, and checks all along that each is in force in time on the nodes
// that reach the source.
func (m *testMesh) changeStorm(length, gap time.Duration) {
	m.t.Helper()
	const checkInterval = 50 * time.Millisecond
	next := gap
	for at := time.Duration(0); at < length; at += checkInterval {
		if at >= next {
			m.accept()
			next += gap
		}
		time.Sleep(checkInterval)
		if !m.checkInForce() {
			return
		}
	}
}

// checkInForce checks every node to which the users' bound applies.
func (m *testMesh) checkInForce() bool {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	due := uint64(0)
	for _, a := range m.accepted {
		if time.Since(a.at) > m.within {
			due = a.number
		}
	}
	for _, id := range m.ids {
		n := m.nodes[id]
		if n.silent || time.Since(n.reachableSince) <= reachGrace {
			continue
		}
		if got := n.runner.held.Load().Version().Number; got < due {
			m.t.Errorf("%s reaches the source, but holds version %d more than %v after version %d was accepted", id, got, m.within, due)
			return false
		}
	}
	return true
}

// Next implements Source.
func (n *meshNode) Next(ctx context.Context, hold time.Duration) (*config.Snapshot, error) {
	n.m.mu.Lock()
	n.m.reads++
	n.reads++
	delay := n.m.delay
	n.m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, hold+sourceTimeout)
	defer cancel()
	// The race detector can crash on a timer channel that fires in a bubble while nothing receives.
	held, release := context.WithTimeout(context.Background(), hold)
	defer release()
	for {
		n.m.mu.Lock()
		silent, newest, changed, refuses := n.silent, n.m.newest, n.m.changed, n.m.refuses
		undecodable := n.m.undecodable[newest.Version().Number]
		n.m.mu.Unlock()
		switch {
		case refuses:
			time.Sleep(sourceAnswer)
			return nil, errRejected
		case silent:
			<-ctx.Done()
			return nil, errSilent
		case newest.Version().Newer(n.given):
			time.Sleep(delay)
			n.given = newest.Version()
			n.m.countGiven()
			n.lastErr = nil
			if undecodable {
				n.lastErr = ErrUndecodable
				return nil, n.lastErr
			}
			return newest, nil
		}
		select {
		case <-changed:
		case <-held.Done():
			if n.sourceAnswers() {
				time.Sleep(delay)
				return nil, n.lastErr
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *testMesh) countGiven() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.given++
}

// setRefusing sets whether the source rejects all requests, and returns how many versions it has
// returned so far.
func (m *testMesh) setRefusing(refuses bool) (given int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuses = refuses
	return m.given
}

func (n *meshNode) sourceAnswers() bool {
	n.m.mu.Lock()
	defer n.m.mu.Unlock()
	return !n.silent
}

// deliver returns the runner of a peer after the transit time of a message, or an error if the peer
// is in another partition.
func (n *meshNode) deliver(ctx context.Context, id string) (*Runner, error) {
	n.m.mu.Lock()
	peer := n.m.nodes[id]
	reached := peer.partition == n.partition
	n.m.mu.Unlock()
	if !reached {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(peerAnswer)
	return peer.runner, nil
}

// Push implements distribute.Client.
func (n *meshNode) Push(ctx context.Context, addr string, changes *peerpb.Packed) error {
	peer, err := n.deliver(ctx, addr)
	if err != nil {
		return err
	}
	s := n.runner.Stamp()
	peer.Heard(&peerpb.Envelope{
		From: n.id, Version: s.Version.Number, Hash: s.Version.Hash[:], Changes: changes, Confirmed: s.Confirmed,
	})
	return nil
}

// Pull implements distribute.Client.
func (n *meshNode) Pull(ctx context.Context, to, _ string, q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	peer, err := n.deliver(ctx, to)
	if err != nil {
		return nil, err
	}
	return peer.ServePull(q)
}

// startCodec makes the shared codec of messages create its channels outside of synctest bubbles.
func startCodec(t *testing.T) {
	t.Helper()
	var objects []config.Object
	for i := range 100 {
		objects = append(objects, config.EncodeService(config.Service{Name: fmt.Sprint("s", i), Team: "berths"}))
	}
	snap, _, err := config.Empty().Next(objects, nil)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := distribute.Pack(nil, snap)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = distribute.Unpack(packed); err != nil {
		t.Fatal(err)
	}
	if _, err = distribute.UnpackPushed(packed); err != nil {
		t.Fatal(err)
	}
}
