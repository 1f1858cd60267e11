// Package localmesh runs a whole mesh in one process on loopback: a stand-in
// platform, real nodes with real sockets, and stand-in backend servers. The
// newcomer's program and the load tool are built on it.
//
// It simulates nothing. Nodes talk to each other and to the platform over TCP;
// only their addresses are those of one machine.
package localmesh

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Team, Operator and Token belong to the one operator of a local mesh.
const (
	Team     = "yard"
	Operator = "try"
	Token    = "local-mesh-token"
)

// anyPort lets the system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

// DataCentre is one data centre of a local mesh.
type DataCentre struct {
	Name   string
	Region string
	VMs    int
}

// Options describe a local mesh.
type Options struct {
	Name        string
	Profile     string
	DataCentres []DataCentre
	Log         zerolog.Logger
	// DrainLimit bounds a planned stop of a node; DefaultDrainLimit if zero.
	DrainLimit time.Duration
	// Membership changes the membership's settings of every node. Without it,
	// a node that starts for the first time takes itself to be alone after
	// aloneAfter.
	Membership func(*membership.Config)
	// Policies replace every node's own policies for calls.
	Policies node.Policies
	// Node, if set, changes what the node of a VM is made of.
	Node func(vm *VM, o *node.Options)
	// Store is the platform's store; an empty one if nil.
	Store *fake.Store
	// Seeds is how many nodes are named for first contact; 3 if zero.
	Seeds int
	// CallAddr, if set, gives the address at which other nodes reach the
	// calls listener of a node.
	CallAddr func(listen string) string
}

// aloneAfter is short, since all nodes of a local mesh start together with
// nobody to ask.
const aloneAfter = 500 * time.Millisecond

// DefaultDrainLimit bounds a planned stop of a node of a local mesh.
const DefaultDrainLimit = 10 * time.Second

// VM is one virtual machine: its node, and the backend servers beside it.
type VM struct {
	ID         string
	DataCentre string
	Region     string

	mu       sync.Mutex
	node     *node.Node
	addrs    *node.Addrs // of the last start, or nil
	backends []*backend.Server
}

// Mesh is a running local mesh.
type Mesh struct {
	o        Options
	Store    *fake.Store
	platform *http.Server
	url      string
	VMs      []*VM
	// Cuts part places of the mesh from each other.
	Cuts *Cuts
}

// Start starts the platform and all nodes. Use WaitReady after it.
func Start(o Options) (*Mesh, error) {
	if o.Seeds == 0 {
		o.Seeds = 3
	}
	if o.DrainLimit == 0 {
		o.DrainLimit = DefaultDrainLimit
	}
	if o.Store == nil {
		o.Store = fake.New()
	}
	m := &Mesh{o: o, Store: o.Store, Cuts: newCuts()}
	if err := m.startPlatform(); err != nil {
		return nil, err
	}
	for _, dc := range o.DataCentres {
		for i := range dc.VMs {
			vm := &VM{ID: fmt.Sprintf("%s-%02d", dc.Name, i+1), DataCentre: dc.Name, Region: dc.Region}
			m.VMs = append(m.VMs, vm)
		}
	}
	for _, vm := range m.VMs {
		if err := m.StartNode(vm); err != nil {
			m.Close()
			return nil, err
		}
	}
	return m, nil
}

func (m *Mesh) startPlatform() error {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	m.url = "http://" + ln.Addr().String()
	m.Cuts.add(ln.Addr().String(), place{Platform})
	m.platform = &http.Server{Handler: server.New(m.Store), ReadHeaderTimeout: time.Second}
	go func() { _ = m.platform.Serve(ln) }()
	return nil
}

// PlatformURL returns the URL of the stand-in platform.
func (m *Mesh) PlatformURL() string { return m.url }

// StartNode starts the node of a VM, anew if one was stopped or killed. Like a
// replaced VM it keeps its name and its addresses, and nothing else.
func (m *Mesh) StartNode(vm *VM) error {
	n, err := m.newNode(vm, vm.listen())
	if errors.Is(err, syscall.EADDRINUSE) {
		// Some connection got one of the ports meanwhile.
		n, err = m.newNode(vm, anywhere())
	}
	if err != nil {
		return err
	}
	m.Cuts.add(n.Addrs().Control, vm.place())
	m.Cuts.add(n.Addrs().Calls, vm.place())
	n.Start()
	addrs := n.Addrs()
	vm.mu.Lock()
	vm.node, vm.addrs = n, &addrs
	for _, b := range vm.backends {
		b.SetNode("http://" + addrs.Announce)
	}
	vm.mu.Unlock()
	return nil
}

func (m *Mesh) newNode(vm *VM, l settings.Listen) (*node.Node, error) {
	s := m.settings(vm)
	s.Listen = l
	members := m.o.Membership
	if members == nil && vm.Addrs() == nil {
		members = func(c *membership.Config) { c.AloneAfter = aloneAfter }
	}
	o := node.Options{
		Settings: s, Log: m.o.Log, Membership: members, Policies: m.o.Policies,
		Dial: m.Cuts.dialer(vm.place()), CallAddr: m.o.CallAddr,
	}
	if m.o.Node != nil {
		m.o.Node(vm, &o)
	}
	return node.New(o)
}

func anywhere() settings.Listen {
	return settings.Listen{
		Callers: anyPort, Internal: anyPort, Calls: anyPort, Control: anyPort,
		Admin: anyPort, Announce: anyPort, Metrics: anyPort,
	}
}

// listen returns the addresses of the last start, or any at the first.
func (vm *VM) listen() settings.Listen {
	a := vm.Addrs()
	if a == nil {
		return anywhere()
	}
	return settings.Listen{
		Callers: a.Callers, Internal: a.Internal, Calls: a.Calls, Control: a.Control,
		Admin: a.Admin, Announce: a.Announce, Metrics: a.Metrics,
	}
}

// seeds returns the control addresses of the first few nodes that ever ran.
func (m *Mesh) seeds() []string {
	var out []string
	for _, vm := range m.VMs {
		if a := vm.Addrs(); a != nil && len(out) < m.o.Seeds {
			out = append(out, a.Control)
		}
	}
	return out
}

func (m *Mesh) settings(vm *VM) settings.Node {
	s := settings.DefaultNode()
	s.Mesh = m.o.Name
	s.Profile = m.o.Profile
	s.VM = settings.VM{ID: vm.ID, Region: vm.Region, DataCentre: vm.DataCentre}
	s.Platform.URL = m.url
	s.Peers.Seeds = m.seeds()
	s.Drain.Limit = strict.Duration{Duration: m.o.DrainLimit}
	sum := sha256.Sum256([]byte(Token))
	s.Operators = []settings.Operator{{Name: Operator, Team: Team, TokenSHA256: hex.EncodeToString(sum[:])}}
	return s
}

func (vm *VM) place() place { return place{vm.ID, vm.DataCentre, vm.Region} }

// Node returns the VM's running node, or nil.
func (vm *VM) Node() *node.Node {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.node
}

// Addrs returns the addresses of the VM's node, also after its death, or nil
// before its first start.
func (vm *VM) Addrs() *node.Addrs {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.addrs
}

// Kill ends the VM's node at once, as a crash would.
func (vm *VM) Kill() {
	vm.mu.Lock()
	n := vm.node
	vm.node = nil
	vm.mu.Unlock()
	if n != nil {
		n.Kill()
	}
}

// Stop stops the VM's node gracefully.
func (vm *VM) Stop(ctx context.Context) error {
	vm.mu.Lock()
	n := vm.node
	vm.node = nil
	vm.mu.Unlock()
	if n == nil {
		return nil
	}
	return n.Shutdown(ctx)
}

// StartBackend starts a backend server beside the VM's node, which it
// announces itself to.
func (m *Mesh) StartBackend(ctx context.Context, vm *VM, set backend.Settings) (*backend.Server, error) {
	set.Listen = anyPort
	set.Node = "http://" + vm.Node().Addrs().Announce
	b := backend.New(set, m.o.Log)
	if err := b.Start(); err != nil {
		return nil, err
	}
	go b.Announce(ctx)
	vm.mu.Lock()
	vm.backends = append(vm.backends, b)
	vm.mu.Unlock()
	return b, nil
}

// Backends returns the backend servers that were started beside the VM.
func (vm *VM) Backends() []*backend.Server {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return append([]*backend.Server(nil), vm.backends...)
}

// Nodes returns the running nodes.
func (m *Mesh) Nodes() []*node.Node {
	var out []*node.Node
	for _, vm := range m.VMs {
		if n := vm.Node(); n != nil {
			out = append(out, n)
		}
	}
	return out
}

// ErrNotYet means that a wait ended before all nodes were where they should be.
var ErrNotYet = errors.New("localmesh: not all nodes are there yet")

// pollEvery is how often a wait looks.
const pollEvery = 5 * time.Millisecond

// WaitFor waits until ok holds for every running node.
func (m *Mesh) WaitFor(ctx context.Context, ok func(*node.Node) bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		if m.all(ok) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotYet, ctx.Err())
		case <-ticker.C:
		}
	}
}

func (m *Mesh) all(ok func(*node.Node) bool) bool {
	for _, n := range m.Nodes() {
		if !ok(n) {
			return false
		}
	}
	return true
}

// WaitReady waits until every node carries traffic.
func (m *Mesh) WaitReady(ctx context.Context) error {
	return m.WaitFor(ctx, func(n *node.Node) bool { ok, _ := n.Ready(); return ok })
}

// WaitVersion waits until every node has at least the version in force.
func (m *Mesh) WaitVersion(ctx context.Context, number uint64) error {
	return m.WaitFor(ctx, func(n *node.Node) bool { return n.Version().Number >= number })
}

// WaitEndpoints waits until every node knows of that many backend servers of
// the service.
func (m *Mesh) WaitEndpoints(ctx context.Context, service string, count int) error {
	return m.WaitFor(ctx, func(n *node.Node) bool { return n.Endpoints(service) >= count })
}

// Close ends everything at once.
func (m *Mesh) Close() {
	var wg sync.WaitGroup
	for _, vm := range m.VMs {
		wg.Go(func() {
			for _, b := range vm.Backends() {
				b.Close()
			}
			vm.Kill()
		})
	}
	wg.Wait()
	if m.platform != nil {
		m.platform.Close()
	}
}
