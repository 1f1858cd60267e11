package load

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// Names in the small mesh of overhead.
const (
	service  = "berths"
	class    = "lookups"
	instance = "a"
)

// smallMesh is one backend server, the node beside it, and an entry node on
// another VM, all over sockets on loopback; and beside it two bare relays in a
// row to the same backend server.
type smallMesh struct {
	backend    *backend.Server
	servers    []*http.Server
	pools      []*proxy.Upstreams
	direct     string // URL of the backend server
	mesh       string // URL of the entry node
	bare       string // URL of the first bare relay
	transports []*http.Transport
}

// program is a program with one class that matches everything.
type program struct {
	target  *config.Target
	inForce *proxy.Program
}

func newProgram(t *config.Target) *program {
	p := &program{target: t}
	p.inForce = &proxy.Program{Matcher: p, Targets: p}
	return p
}

func (p *program) Match(_, _, _ string) (*config.Target, bool) { return p.target, true }

func (p *program) Target(name string) *config.Target {
	if name != p.target.Name {
		return nil
	}
	return p.target
}

// Program returns p as the program in force.
func (p *program) Program() *proxy.Program { return p.inForce }

// single is the one backend server of a VM.
type single proxy.Backend

// Find finds the backend server by its service.
func (s single) Find(service, _ string) (proxy.Backend, bool) {
	return proxy.Backend(s), service == s.Service
}

// newSmallMesh starts a mesh. The backend server answers at once.
func newSmallMesh(slots int) (*smallMesh, error) {
	set := backend.Defaults()
	set.Service, set.Instance, set.Slots, set.Backlog = service, instance, slots, slots
	set.Distribution, set.Mean = backend.Fixed, 0
	set.ColdStart, set.ConnectionCost = 0, 0
	m := &smallMesh{backend: backend.New(set, zerolog.Nop())}
	if err := m.backend.Start(); err != nil {
		return nil, err
	}
	for m.backend.State() != backend.Ready {
		time.Sleep(time.Millisecond)
	}
	m.direct = "http://" + m.backend.Addr()
	if err := m.addNodes(slots); err != nil {
		m.close()
		return nil, err
	}
	if err := m.addBare(); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *smallMesh) addNodes(slots int) error {
	p := newProgram(&config.Target{
		Name: class, Service: service, Idempotent: true, Match: config.Match{PathPrefix: "/"},
	})
	d := proxy.NewDestination(proxy.DestinationParts{
		Programs: p, Upstreams: m.pool(), Gates: new(proxy.FixedLimit),
		Backends: single{Service: service, Instance: instance, Addr: m.backend.Addr(),
			Slots: slots, State: membership.BackendReady},
	})
	addr, err := m.serve(d)
	if err != nil {
		return err
	}
	picks := new(proxy.RoundRobin)
	picks.Set(map[string][]proxy.Endpoint{service: {{
		ID: "vm1/" + instance, VM: "vm1", Instance: instance, Addr: addr,
	}}})
	e := proxy.NewEntry(proxy.EntryParts{
		Self: "vm2", Programs: p, Pickers: picks, Retrier: proxy.RetryUpTo(3), Upstreams: m.pool(),
	})
	addr, err = m.serve(e.Public())
	m.mesh = "http://" + addr
	return err
}

func (m *smallMesh) addBare() error {
	second, err := m.serve(&Bare{
		Addr: strings.TrimPrefix(m.direct, "http://"), Transport: m.transport(),
		Header: http.Header{call.HeaderAttempt: {"0123456789abcdef"}, call.HeaderDeadline: {"30000"}},
		Drop:   call.HeaderHop,
	})
	if err != nil {
		return err
	}
	first, err := m.serve(&Bare{
		Addr: second, Transport: m.transport(),
		Header: http.Header{call.HeaderHop: {"30000 lookups berths a"}, "X-Forwarded-For": {"127.0.0.1"}},
	})
	m.bare = "http://" + first
	return err
}

func (m *smallMesh) pool() *proxy.Upstreams {
	u := proxy.NewUpstreams()
	m.pools = append(m.pools, u)
	return u
}

const idleConns = 256

func (m *smallMesh) transport() *http.Transport {
	t := &http.Transport{DisableCompression: true, MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns}
	m.transports = append(m.transports, t)
	return t
}

// serve serves h on a free port and returns its address.
func (m *smallMesh) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, IdleTimeout: proxy.ServerIdle}
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// close ends the mesh.
func (m *smallMesh) close() {
	for _, s := range m.servers {
		_ = s.Close()
	}
	for _, p := range m.pools {
		p.Close()
	}
	for _, t := range m.transports {
		t.CloseIdleConnections()
	}
	m.backend.Close()
}

// client returns a client with its own connections.
func (m *smallMesh) client() *http.Client { return &http.Client{Transport: m.transport()} }

// ready makes the first connections of every way.
func (m *smallMesh) ready(ctx context.Context, o Options) error {
	return Warm(ctx, o, warmCalls)
}

const warmCalls = 32
