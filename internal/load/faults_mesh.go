package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// Shape of the mesh in which faults are played.
const (
	faultVMs       = 2 // in each data centre
	faultSlots     = 3
	faultMean      = 10 * time.Millisecond
	faultDrainWait = 4 * time.Second // a backend server still runs what comes so long
	faultCrashDown = time.Second
	faultAlone     = 500 * time.Millisecond
)

var faultDataCentres = []string{"neg-shed", "neg-yard", "gal-shed"}

// faultClass is a class of work in the mesh of faults.
type faultClass struct {
	name       string
	path       string
	method     string
	idempotent bool
	keyed      bool
	deadline   time.Duration
	rule       adminapi.OnStoreDown
	query      string
	share      int // of a hundred calls
}

var faultClasses = []faultClass{
	{name: "lookups", path: "/lookups", method: "GET", idempotent: true, deadline: 2 * time.Second, share: 50},
	{name: "bookings", path: "/bookings", method: "POST", deadline: 2 * time.Second, share: 30},
	{name: "submissions", path: "/submissions", method: "POST", keyed: true,
		deadline: 4 * time.Second, rule: adminapi.OnStoreDownWait, share: 15},
	// A download that is cut in its middle after it waited in a queue needs time
	// to be asked for again.
	{name: "archives", path: "/archives", method: "GET", idempotent: true, deadline: 4 * time.Second,
		query: "bytes=160000&pause=25ms", share: 5},
}

func classNamed(name string) *faultClass {
	for i := range faultClasses {
		if faultClasses[i].name == name {
			return &faultClasses[i]
		}
	}
	panic("load: no class " + name)
}

// faultMesh is a whole mesh of real nodes with a stand-in backend server beside
// each.
type faultMesh struct {
	*localmesh.Mesh
	backends []*backend.Server
	stop     context.CancelFunc

	mu        sync.Mutex // guards what follows
	toNode    []*middlebox
	toBackend []*middlebox
}

// faultMeshOptions are what a mesh of faults is made of.
type faultMeshOptions struct {
	policies     node.Policies
	betweenNodes bool // a middlebox before each node
	toBackends   bool // a middlebox before each backend server
}

func startFaultMesh(ctx context.Context, o faultMeshOptions) (*faultMesh, error) {
	m := new(faultMesh)
	lo := localmesh.Options{
		Name: "faults", Profile: settings.ProfileTime, Log: zerolog.Nop(), Policies: o.policies,
		Membership: func(c *membership.Config) { c.AloneAfter = faultAlone },
	}
	if o.betweenNodes {
		lo.CallAddr = m.boxBefore
	}
	for _, dc := range faultDataCentres {
		lo.DataCentres = append(lo.DataCentres, localmesh.DataCentre{Name: dc, Region: "western", VMs: faultVMs})
	}
	var err error
	if m.Mesh, err = localmesh.Start(lo); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := m.prepare(ctx, o.toBackends); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

func (m *faultMesh) prepare(ctx context.Context, boxes bool) error {
	if err := m.WaitReady(ctx); err != nil {
		return fmt.Errorf("load: nodes are not ready: %w", err)
	}
	announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.stop = stop
	for i, vm := range m.VMs {
		if err := m.addBackend(announcing, vm, i, boxes); err != nil {
			return err
		}
	}
	version, err := m.configure(ctx)
	if err != nil {
		return err
	}
	if err := m.WaitVersion(ctx, version); err != nil {
		return err
	}
	return m.WaitEndpoints(ctx, service, len(m.VMs))
}

func (m *faultMesh) addBackend(ctx context.Context, vm *localmesh.VM, i int, box bool) error {
	set := backend.Defaults()
	set.Service, set.Instance = service, fmt.Sprintf("b%d", i)
	set.Slots, set.Backlog = faultSlots, 4*faultSlots
	set.Mean.Duration, set.ColdStart.Duration = faultMean, 0
	set.DrainWait.Duration, set.CrashDown.Duration = faultDrainWait, faultCrashDown
	var before *middlebox
	if box {
		var err error
		if before, err = newMiddlebox(); err != nil {
			return err
		}
		set.Advertise = before.addr()
		m.toBackend = append(m.toBackend, before)
	}
	b, err := m.StartBackend(ctx, vm, set)
	if err != nil {
		return err
	}
	if before != nil {
		before.lead(b.Addr())
	}
	m.backends = append(m.backends, b)
	return nil
}

// boxBefore puts a middlebox before a node.
func (m *faultMesh) boxBefore(listen string) string {
	box, err := newMiddlebox()
	if err != nil {
		return listen
	}
	box.lead(listen)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.toNode = append(m.toNode, box)
	return box.addr()
}

// configure states the service and the classes, and returns the version.
func (m *faultMesh) configure(ctx context.Context) (uint64, error) {
	c, err := m.Admin(m.VMs[0])
	if err != nil {
		return 0, err
	}
	if _, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: service}); err != nil {
		return 0, err
	}
	for _, k := range faultClasses {
		spec := &adminapi.TargetSpec{
			Service: service, Match: adminapi.Match{PathPrefix: k.path},
			Idempotent: adminapi.NewOptBool(k.idempotent),
			DeadlineMs: adminapi.NewOptInt64(k.deadline.Milliseconds()),
		}
		if k.rule != "" {
			spec.OnStoreDown = adminapi.NewOptOnStoreDown(k.rule)
		}
		if _, err := c.PutTarget(ctx, spec, adminapi.PutTargetParams{Name: adminapi.Name(k.name)}); err != nil {
			return 0, err
		}
	}
	return uint64(1 + len(faultClasses)), nil
}

// entries returns the addresses of the nodes that take calls.
func (m *faultMesh) entries() []string {
	var out []string
	for _, n := range m.Nodes() {
		out = append(out, n.Addrs().Callers)
	}
	return out
}

// close ends the mesh.
func (m *faultMesh) close() {
	if m.stop != nil {
		m.stop()
	}
	m.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, box := range append(m.toNode, m.toBackend...) {
		box.close()
	}
}

// runs returns how often each request was run, over all backend servers.
func (m *faultMesh) runs() map[string]int {
	all := make(map[string]int)
	for _, b := range m.backends {
		for id, n := range b.RunsByID() {
			all[id] += n
		}
	}
	return all
}

// crashed returns how many backend servers crashed at least once.
func (m *faultMesh) crashed() int {
	n := 0
	for _, b := range m.backends {
		if b.Crashes() > 0 {
			n++
		}
	}
	return n
}
