package load

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/message"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// Sizes of the mesh of the overload measurement.
const (
	overloadCentres  = 2
	overloadVMs      = 4 // in each data centre
	overloadBackends = 2 // in each data centre, on the first VMs
	overloadSlots    = 6 // of each backend server
	overloadTotal    = overloadCentres * overloadBackends * overloadSlots
)

// overloadMesh is a mesh of real nodes with several backend servers of one
// service in two data centres. Every node is an entry node.
type overloadMesh struct {
	mesh      *localmesh.Mesh
	stop      context.CancelFunc // ends the announcements
	backends  []*backend.Server
	entries   []string // URLs of the entry nodes
	transport *message.Transport
}

// maxCallerConns is how many idle connections the callers keep to an entry node.
const maxCallerConns = 128

func newOverloadMesh(ctx context.Context, classes []workClass, policies node.Policies) (*overloadMesh, error) {
	ctx, stop := context.WithCancel(ctx)
	m := &overloadMesh{stop: stop, transport: message.NewTransport(&http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: maxCallerConns,
	})}
	if err := m.start(ctx, classes, policies); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *overloadMesh) start(ctx context.Context, classes []workClass, policies node.Policies) error {
	o := localmesh.Options{Name: "overload", Profile: settings.ProfileTime, Log: zerolog.Nop(), Policies: policies}
	for i := range overloadCentres {
		o.DataCentres = append(o.DataCentres, localmesh.DataCentre{
			Name: "dc" + strconv.Itoa(i+1), Region: "one", VMs: overloadVMs,
		})
	}
	var err error
	if m.mesh, err = localmesh.Start(o); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := m.mesh.WaitReady(bounded); err != nil {
		return err
	}
	if err := m.startBackends(ctx); err != nil {
		return err
	}
	targets := make(map[string]*adminapi.TargetSpec)
	for i := range classes {
		targets[classes[i].name] = classes[i].target()
	}
	if err := putTargets(bounded, m.mesh, targets); err != nil {
		return err
	}
	for _, vm := range m.mesh.VMs {
		m.entries = append(m.entries, "http://"+vm.Node().Addrs().Callers)
	}
	return m.mesh.WaitEndpoints(bounded, service, overloadCentres*overloadBackends)
}

func (m *overloadMesh) startBackends(ctx context.Context) error {
	for i, vm := range m.mesh.VMs {
		if i%overloadVMs >= overloadBackends {
			continue
		}
		set := backend.Defaults()
		set.Service, set.Instance, set.Slots, set.ColdStart.Duration = service, instance, overloadSlots, 0
		b, err := m.mesh.StartBackend(ctx, vm, set)
		if err != nil {
			return err
		}
		m.backends = append(m.backends, b)
	}
	return nil
}

// doubled counts the calls of a run that may run once and ran more often.
func (m *overloadMesh) doubled(classes []workClass, run int) int {
	once := make(map[string]bool)
	for i := range classes {
		once[classes[i].name] = !classes[i].idempotent
	}
	runs := make(map[string]int)
	doubled := 0
	for _, b := range m.backends {
		for id, n := range b.RunsByID() {
			if !strings.HasPrefix(id, runPrefix(run)) || !once[classOf(id)] {
				continue
			}
			was := runs[id]
			runs[id] += n
			if was <= 1 && runs[id] > 1 {
				doubled++
			}
		}
	}
	return doubled
}

// runPrefix begins the identity of every call of a run.
func runPrefix(run int) string { return strconv.Itoa(run) + "/" }

func (m *overloadMesh) close() {
	m.stop()
	m.transport.CloseIdleConnections()
	if m.mesh != nil {
		m.mesh.Close()
	}
}
