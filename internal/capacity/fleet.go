package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
)

// Shape of the meshes that are measured: that of the size that decides the
// design, with fewer nodes.
const (
	services = 61
	targets  = 300
	slots    = 512
	instance = "a"
)

var errRefused = errors.New("capacity: the mesh did not accept a change")

// dataCentres spreads nodes over 5 data centres in 2 regions.
func dataCentres(nodes int) []localmesh.DataCentre {
	const count = 5
	var out []localmesh.DataCentre
	for i := range count {
		region := "north"
		if i >= 3 {
			region = "south"
		}
		n := nodes / count
		if i < nodes%count {
			n++
		}
		out = append(out, localmesh.DataCentre{Name: fmt.Sprintf("dc%d", i+1), Region: region, VMs: n})
	}
	return out
}

// startFleet starts a mesh of nodes on a platform that already holds the version
// of the size that decides the design, and waits until all carry traffic.
func startFleet(ctx context.Context, nodes int, profile string) (*localmesh.Mesh, error) {
	m, err := localmesh.Start(localmesh.Options{Name: "capacity", Profile: profile, Log: zerolog.Nop()})
	if err != nil {
		return nil, err
	}
	if err := fill(ctx, m, nodes); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

func fill(ctx context.Context, m *localmesh.Mesh, nodes int) error {
	version, err := commitVersion(ctx, m)
	if err != nil {
		return err
	}
	for _, dc := range dataCentres(nodes) {
		for i := range dc.VMs {
			m.VMs = append(m.VMs, &localmesh.VM{
				ID: fmt.Sprintf("%s-%03d", dc.Name, i+1), DataCentre: dc.Name, Region: dc.Region,
			})
		}
	}
	for _, vm := range m.VMs {
		if err := m.StartNode(vm); err != nil {
			return err
		}
	}
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	return m.WaitVersion(ctx, version)
}

// maxObjects is how many objects one command may set.
const maxObjects = 128

// commitVersion commits all services and targets with as few commands as that
// takes.
func commitVersion(ctx context.Context, m *localmesh.Mesh) (uint64, error) {
	var set []config.Object
	for i := range services {
		set = append(set, config.EncodeService(config.Service{Name: serviceName(i), Team: localmesh.Team}))
	}
	for i := range targets {
		t := versionTarget(i, services, 0)
		t.Team = localmesh.Team
		set = append(set, config.EncodeTarget(t))
	}
	table := m.Store.Table()
	reader := command.NewReader(table, m.Store.Objects(), command.SnapshotFunc(config.Empty))
	committer := command.NewCommitter(reader, table, command.Options{})
	var version uint64
	for chunk := range slices.Chunk(set, maxObjects) {
		res := committer.Submit(ctx, command.Command{
			ID: fmt.Sprintf("capacity-%d", version), Operator: localmesh.Operator, Team: localmesh.Team, Set: chunk,
		})
		if res.Outcome != command.Accepted {
			return 0, fmt.Errorf("%w: %s %s", errRefused, res.Outcome, res.Detail)
		}
		version = res.Version.Number
	}
	return version, nil
}

// operator states services and targets at the nodes in turn.
type operator struct {
	m       *localmesh.Mesh
	clients []*adminapi.Client
	next    int
	version uint64 // the last that was accepted
}

// operatorNodes bounds the nodes that an operator speaks with.
const operatorNodes = 5

func newOperator(m *localmesh.Mesh) (*operator, error) {
	o := &operator{m: m, version: m.Nodes()[0].Version().Number}
	step := max(len(m.VMs)/operatorNodes, 1)
	for i := 0; i < len(m.VMs); i += step {
		c, err := m.Admin(m.VMs[i])
		if err != nil {
			return nil, err
		}
		o.clients = append(o.clients, c)
	}
	return o, nil
}

func (o *operator) client() *adminapi.Client {
	o.next++
	return o.clients[o.next%len(o.clients)]
}

// service states a service.
func (o *operator) service(ctx context.Context, name string) error {
	res, err := o.client().PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: adminapi.Name(name)})
	if err != nil {
		return err
	}
	return o.took(res)
}

// target states a target.
func (o *operator) target(ctx context.Context, name string, t *adminapi.TargetSpec) error {
	res, err := o.client().PutTarget(ctx, t, adminapi.PutTargetParams{Name: adminapi.Name(name)})
	if err != nil {
		return err
	}
	return o.took(res)
}

func (o *operator) took(res any) error {
	switch r := res.(type) {
	case *adminapi.AcceptedHeaders:
		o.version = uint64(r.Response.Version.Number)
	case *adminapi.CreatedHeaders:
		o.version = uint64(r.Response.Version.Number)
	default:
		return fmt.Errorf("%w: %T", errRefused, res)
	}
	return nil
}

func serviceName(i int) string { return fmt.Sprintf("service%d", i%services) }
func targetName(i int) string  { return fmt.Sprintf("class%d", i) }

// targetSpec is a target of about the size that operators state. Another round
// gives another one.
func targetSpec(i, round int) *adminapi.TargetSpec {
	return &adminapi.TargetSpec{
		Service: adminapi.Name(serviceName(i)),
		Match: adminapi.Match{
			Host:       adminapi.NewOptString(fmt.Sprintf("h%d.example.nl", i%services)),
			Methods:    []string{"GET"},
			PathPrefix: fmt.Sprintf("/%s/v1/class%d", serviceName(i), i),
		},
		Idempotent:     adminapi.NewOptBool(true),
		AnswerWithinMs: adminapi.NewOptInt64(int64(1000 + i + round)),
		Share:          adminapi.NewOptFloat64(0.5),
		Priority:       adminapi.NewOptInt(i%9 + 1),
	}
}

// announceFleet announces one backend server beside each node.
func announceFleet(ctx context.Context, m *localmesh.Mesh) (*announcer, error) {
	var list []announced
	for i, vm := range m.VMs {
		list = append(list, announced{vm: vm, service: serviceName(i), address: "127.0.0.1:1"})
	}
	a, err := announceAll(list)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, announceBound)
	defer cancel()
	for i := range min(len(m.VMs), services) {
		want := (len(m.VMs) - i + services - 1) / services
		if err := m.WaitEndpoints(ctx, serviceName(i), want); err != nil {
			a.close()
			return nil, fmt.Errorf("%s: %w", serviceName(i), err)
		}
	}
	return a, nil
}

// announceBound is far above what it takes until all nodes know all backend
// servers.
const announceBound = time.Minute
