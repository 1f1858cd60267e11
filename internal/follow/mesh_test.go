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
	sourceAnswer  = 4 * time.Millisecond // of a healthy source
	sourceTimeout = 2 * time.Second      // after which a client gives a question up
	peerAnswer    = 2 * time.Millisecond
	meshSettles   = 5 * time.Second
	// inTouchAfter is for how long a node has to reach the source for the users' bound to
	// hold on it.
	inTouchAfter = 3 * time.Second
)

var (
	errSilent  = errors.New("no answer within the time")
	errRefused = errors.New("turned away")
)

// meshOfNodes is a mesh whose nodes follow one source, in virtual time.
type meshOfNodes struct {
	t     *testing.T
	nodes map[string]*meshNode
	ids   []string

	mu       sync.Mutex
	newest   *config.Snapshot
	services []config.Object // of the newest version
	accepted []acceptedAt
	changed  chan struct{} // closed when newest changes
	delay    time.Duration // of each answer of the source
	reads    int           // questions to the source
	refuses  bool          // the source turns every question away at once
	given    int           // versions that the source gave, each whole
	within   time.Duration // in which a version has to be in force
}

type acceptedAt struct {
	number uint64
	at     time.Time
}

// meshNode is one node, its source and its client.
type meshNode struct {
	m      *meshOfNodes
	id     string
	runner *Runner
	views  membership.CurrentView

	// Guarded by the mesh.
	silent  bool      // the source leaves it without an answer
	reaches time.Time // since when the source answers it
	isle    int       // nodes of different isles don't reach each other
	given   config.Version
	asked   int // questions of this node to the source
}

// withMesh runs test in virtual time with nodes in data centres of the given sizes that hold the
// first version.
func withMesh(t *testing.T, sizes []int, test func(m *meshOfNodes)) {
	withMeshWithin(t, inForceWithin, sizes, test)
}

// withAssuredMesh is withMesh for nodes whose assurances may grow assureWithin old.
func withAssuredMesh(t *testing.T, sizes []int, test func(m *meshOfNodes)) {
	withMeshOf(t, bounds{inForce: inForceWithin, assured: assureWithin}, sizes, test)
}

// withMeshWithin is withMesh for versions that have to be in force within some time.
func withMeshWithin(t *testing.T, within time.Duration, sizes []int, test func(m *meshOfNodes)) {
	withMeshOf(t, bounds{inForce: within}, sizes, test)
}

// bounds is what users state of a mesh's nodes.
type bounds struct {
	inForce time.Duration // in which a version has to be in force
	assured time.Duration // how old an assurance may grow; 0 asks for none
}

func withMeshOf(t *testing.T, b bounds, sizes []int, test func(m *meshOfNodes)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		m := newMeshOfNodes(t, ctx, b, sizes)
		test(m)
		stop()
		time.Sleep(meshSettles) // until the messages under way have ended
	})
}

func newMeshOfNodes(t *testing.T, ctx context.Context, b bounds, sizes []int) *meshOfNodes {
	m := &meshOfNodes{
		t: t, nodes: make(map[string]*meshNode), newest: config.Empty(), changed: make(chan struct{}), delay: sourceAnswer, within: b.inForce,
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
		n := &meshNode{m: m, id: id, reaches: time.Now()}
		m.nodes[id] = n
		n.views.Store(&membership.View{Self: id, Records: records})
		store, err := config.NewStore(func(*config.Snapshot) (int, error) { return 0, nil })
		if err != nil {
			t.Fatal(err)
		}
		set := Defaults(id, records[id].VM.DataCentre, 100).WithInForceBound(b.inForce)
		set.MaxAssuranceAge = b.assured
		n.runner = NewRunner(set,
			Deps{Source: n, Views: &n.views, Client: n, Store: store, Log: zerolog.Nop()})
	}
	for _, n := range m.nodes {
		go n.runner.Run(ctx)
	}
	time.Sleep(meshSettles)
	return m
}

func (m *meshOfNodes) accept() {
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

// silence has the source leave these nodes without an answer from now on, and answer all others.
func (m *meshOfNodes) silence(silent func(*meshNode) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		if was := n.silent; was && !silent(n) {
			n.reaches = time.Now()
		}
		n.silent = silent(n)
	}
}

// slow has the source answer after some time from now on.
func (m *meshOfNodes) slow(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delay
}

func (m *meshOfNodes) read() (reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// storm accepts versions for some time, and checks all along that each is in force in time on
// the nodes that reach the source.
func (m *meshOfNodes) storm(length, gap time.Duration) {
	m.t.Helper()
	const look = 50 * time.Millisecond
	next := gap
	for at := time.Duration(0); at < length; at += look {
		if at >= next {
			m.accept()
			next += gap
		}
		time.Sleep(look)
		if !m.inTime() {
			return
		}
	}
}

// inTime checks every node for which the users' bound holds.
func (m *meshOfNodes) inTime() bool {
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
		if n.silent || time.Since(n.reaches) <= inTouchAfter {
			continue
		}
		if got := n.runner.held.Load().Version().Number; got < due {
			m.t.Errorf("%s reaches the source, and holds version %d more than %v after %d was accepted", id, got, m.within, due)
			return false
		}
	}
	return true
}

// Next implements Source.
func (n *meshNode) Next(ctx context.Context, hold time.Duration) (*config.Snapshot, error) {
	n.m.mu.Lock()
	n.m.reads++
	n.asked++
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
		n.m.mu.Unlock()
		switch {
		case refuses:
			time.Sleep(sourceAnswer)
			return nil, errRefused
		case silent:
			<-ctx.Done()
			return nil, errSilent
		case newest.Version().Newer(n.given):
			time.Sleep(delay)
			n.given = newest.Version()
			n.m.gave()
			return newest, nil
		}
		select {
		case <-changed:
		case <-held.Done():
			if n.answers() {
				time.Sleep(delay)
				return nil, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *meshOfNodes) gave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.given++
}

// refuse has the source turn all questions away, or not, and returns how many versions it has given.
func (m *meshOfNodes) refuse(refuses bool) (given int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuses = refuses
	return m.given
}

func (n *meshNode) answers() bool {
	n.m.mu.Lock()
	defer n.m.mu.Unlock()
	return !n.silent
}

// to returns the runner of a peer once a message to it has arrived, or an error where it can't.
func (n *meshNode) to(ctx context.Context, id string) (*Runner, error) {
	n.m.mu.Lock()
	peer := n.m.nodes[id]
	reached := peer.isle == n.isle
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
	peer, err := n.to(ctx, addr)
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
	peer, err := n.to(ctx, to)
	if err != nil {
		return nil, err
	}
	return peer.ServePull(q)
}

// startCodec has the shared codec of messages make its channels outside of the tests' bubbles.
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
