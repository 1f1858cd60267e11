package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/peer"
	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

var (
	_ peer.Distributor  = (*distribute.Runner)(nil)
	_ distribute.Client = (*peer.Client)(nil)
)

// table is a platform in memory.
type table struct {
	mu   sync.Mutex
	log  []*config.Delta
	head *config.Snapshot
	down bool
}

func (p *table) Head(context.Context) (config.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return config.Version{}, context.DeadlineExceeded
	}
	return p.head.Version(), nil
}

func (p *table) Since(_ context.Context, v config.Version) ([]*config.Delta, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log[v.Number:], nil
}

func (p *table) Snapshot(context.Context, config.Version) (*config.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.head, nil
}

func (p *table) commit(t *testing.T) *config.Delta {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := config.EncodeService(config.Service{Name: fmt.Sprintf("s%d", len(p.log)), Team: "berths"})
	next, d, err := p.head.Next([]config.Object{o}, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.head, p.log = next, append(p.log, d)
	return d
}

// realNode is a Runner behind a real peer edge.
type realNode struct {
	runner *distribute.Runner
	store  *config.Store[int]
	stop   func()
}

func startReal(t *testing.T, ca *trusttest.CA, vm string, l net.Listener, views *membership.CurrentView, p *table) *realNode {
	store, err := config.NewStore(func(*config.Snapshot) (int, error) { return 0, nil })
	if err != nil {
		t.Fatal(err)
	}
	m := peer.NewMetrics(metrics.NewSet())
	k := keep(t, ca, trust.Identity{Mesh: mesh, VM: vm}, m)
	var r *distribute.Runner
	stamp := func() peer.SenderInfo {
		s := r.Stamp()
		return peer.SenderInfo{Version: s.Version, Behind: s.Behind}
	}
	c, err := peer.NewClient(peer.ClientConfig{
		Mesh: mesh, VM: vm, TLS: k.Client(), Limits: limits(), Metrics: m, Sender: stamp,
		OnEnvelope: func(e *peerpb.Envelope) { r.Heard(e) },
	})
	if err != nil {
		t.Fatal(err)
	}
	r = distribute.NewRunner(distribute.Defaults(vm, "neg-shed", distribute.TimeProfile()), distribute.Deps{
		Views: views, Platform: p, Client: c, Store: store, Log: zerolog.Nop(),
	})
	s := peer.NewServer(peer.ServerConfig{
		Mesh: mesh, VM: vm, TLS: k.Server(), Limits: limits(), Metrics: m, Log: zerolog.Nop(),
		Sender: stamp, Distributor: r, Membership: &handlers{}, Submitter: &handlers{}, Alerts: &handlers{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { _ = s.Serve(l) })
	return &realNode{runner: r, store: store, stop: func() {
		cancel()
		_ = s.Shutdown(context.Background())
		c.Close()
		wg.Wait()
	}}
}

// until waits for a condition. The test's own timeout is the only bound.
func until(ok func() bool) {
	for !ok() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *realNode) runs(v uint64) bool { return n.store.Load().Snapshot.Version().Number == v }

func (n *realNode) ready() bool {
	ok, _ := n.runner.Ready()
	return ok
}

// What a caller would see if this broke: a restarted VM that answers with the
// targets of last week while the platform is down. Three real nodes take a
// change; the platform goes down; one node restarts empty and comes back at
// the same version, from its peers alone.
func TestChangeAndRestartOverRealSockets(t *testing.T) {
	ca, p := trusttest.NewCA(t), &table{head: config.Empty()}
	views := new(membership.CurrentView)
	view := &membership.View{Records: make(map[string]*membership.ObservedRecord)}
	listeners := make(map[string]net.Listener)
	ids := []string{"vm-a", "vm-b", "vm-c"}
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = l
		view.Records[id] = &membership.ObservedRecord{Record: membership.Record{State: membership.VMAlive, VM: membership.VM{
			ID: id, DataCentre: "neg-shed", ControlAddr: l.Addr().String(),
		}}}
	}
	views.Store(view)
	nodes := make(map[string]*realNode)
	for _, id := range ids {
		nodes[id] = startReal(t, ca, id, listeners[id], views, p)
	}
	defer func() {
		for _, n := range nodes {
			n.stop()
		}
	}()
	for _, n := range nodes {
		until(n.ready)
	}
	for v := uint64(1); v <= 3; v++ {
		nodes["vm-b"].runner.Accepted(p.commit(t))
		for _, n := range nodes {
			until(func() bool { return n.runs(v) })
		}
	}
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()

	nodes["vm-b"].stop()
	addr := listeners["vm-b"].Addr().String()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	back := startReal(t, ca, "vm-b", l, views, p)
	nodes["vm-b"] = back
	until(func() bool {
		if back.ready() && !back.runs(3) {
			t.Fatal("ready below the version that its peers saw")
		}
		return back.ready()
	})
	if !back.runs(3) {
		t.Fatal("not at version 3")
	}
}
