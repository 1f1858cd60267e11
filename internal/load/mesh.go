package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/settings"
)

// Names in the small mesh of overhead.
const (
	service  = "berths"
	class    = "lookups"
	instance = "a"
)

// smallMesh is one backend server with the node beside it and an entry node on
// another VM, both real nodes with all their policies; and beside them two bare
// relays in a row to the same backend server.
type smallMesh struct {
	nodes      *localmesh.Mesh
	stop       context.CancelFunc // ends the announcements
	backend    *backend.Server
	servers    []*http.Server
	direct     string // URL of the backend server
	mesh       string // URL of the entry node
	bare       string // URL of the first bare relay
	transports []*http.Transport
}

// newSmallMesh starts a mesh. The backend server answers at once.
func newSmallMesh(ctx context.Context, slots int) (*smallMesh, error) {
	ctx, stop := context.WithCancel(ctx)
	m := &smallMesh{stop: stop}
	if err := m.start(ctx, slots); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *smallMesh) start(ctx context.Context, slots int) error {
	var err error
	m.nodes, err = localmesh.Start(localmesh.Options{
		Name: "overhead", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "one", Region: "one", VMs: 2}},
	})
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := m.nodes.WaitReady(bounded); err != nil {
		return err
	}
	destination, entry := m.nodes.VMs[0], m.nodes.VMs[1]
	set := backend.Defaults()
	set.Service, set.Instance, set.Slots, set.Backlog = service, instance, slots, slots
	set.Distribution, set.Mean.Duration = backend.Fixed, 0
	set.ColdStart.Duration, set.ConnectionCost.Duration = 0, 0
	if m.backend, err = m.nodes.StartBackend(ctx, destination, set); err != nil {
		return err
	}
	err = putTargets(bounded, m.nodes, map[string]*adminapi.TargetSpec{class: {
		Service: service, Match: adminapi.Match{PathPrefix: "/"}, Idempotent: adminapi.NewOptBool(true),
	}})
	if err != nil {
		return err
	}
	if err := m.nodes.WaitEndpoints(bounded, service, 1); err != nil {
		return err
	}
	m.direct = "http://" + m.backend.Addr()
	m.mesh = "http://" + entry.Node().Addrs().Callers
	return m.addBare()
}

// startBound bounds the start of a mesh.
const startBound = 20 * time.Second

// putTargets puts a service and its classes in force on every node.
func putTargets(ctx context.Context, m *localmesh.Mesh, targets map[string]*adminapi.TargetSpec) error {
	api, err := m.Admin(m.VMs[0])
	if err != nil {
		return err
	}
	res, err := api.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: service})
	if err != nil {
		return err
	}
	if _, unknown := res.(*adminapi.UnknownHeaders); unknown {
		return errors.New("load: the outcome of creating the service is not known")
	}
	for name, t := range targets {
		res, err := api.PutTarget(ctx, t, adminapi.PutTargetParams{Name: adminapi.Name(name)})
		if err != nil {
			return err
		}
		if _, unknown := res.(*adminapi.UnknownHeaders); unknown {
			return fmt.Errorf("load: the outcome of creating the target %s is not known", name)
		}
	}
	return m.WaitVersion(ctx, uint64(1+len(targets)))
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
	s := &http.Server{Handler: h, IdleTimeout: proxy.ServerIdleTimeout}
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// close ends the mesh.
func (m *smallMesh) close() {
	for _, s := range m.servers {
		_ = s.Close()
	}
	for _, t := range m.transports {
		t.CloseIdleConnections()
	}
	m.stop()
	if m.nodes != nil {
		m.nodes.Close()
	}
}

// client returns a client with its own connections.
func (m *smallMesh) client() *http.Client { return &http.Client{Transport: m.transport()} }

// ready makes the first connections of every way.
func (m *smallMesh) ready(ctx context.Context, o Options) error {
	return Warm(ctx, o, warmCalls)
}

const warmCalls = 32
