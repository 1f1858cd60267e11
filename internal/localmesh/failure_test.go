package localmesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/settings"
)

// testBound is when a test that waits for an event gives up.
const testBound = 90 * time.Second

const bridgeEvery = 500 * time.Millisecond

// testMesh is a mesh under test.
type testMesh struct {
	*Mesh
	t   *testing.T
	ctx context.Context
	ids int
}

// options describe a mesh whose data centres exchange often, so that tests do
// not wait for them.
func options(dcs ...DataCentre) Options {
	return Options{
		Name: "test", Profile: settings.ProfileTime, Log: zerolog.Nop(), DataCentres: dcs, Store: fake.New(),
		Membership: func(c *membership.Config) {
			c.AloneAfter = aloneAfter
			c.BridgeEvery, c.CrossRegionBridgeEvery = bridgeEvery, bridgeEvery
		},
	}
}

var three = []DataCentre{
	{Name: "dc1", Region: "west", VMs: 2},
	{Name: "dc2", Region: "west", VMs: 2},
	{Name: "dc3", Region: "east", VMs: 2},
}

func startMesh(t *testing.T, o Options) *testMesh {
	t.Helper()
	t.Parallel()
	m, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testBound)
	t.Cleanup(cancel)
	return &testMesh{Mesh: m, t: t, ctx: ctx}
}

// ready starts a mesh and waits until all nodes carry traffic and see each
// other.
func ready(t *testing.T, o Options) *testMesh {
	t.Helper()
	m := startMesh(t, o)
	m.must(m.WaitReady(m.ctx))
	m.wait("all see each other", func(n *node.Node) bool { return len(n.View().Records) == len(m.VMs) })
	return m
}

func (m *testMesh) must(err error) {
	m.t.Helper()
	if err != nil {
		m.t.Fatal(err)
	}
}

func (m *testMesh) wait(what string, ok func(*node.Node) bool) {
	m.t.Helper()
	if err := m.WaitFor(m.ctx, ok); err != nil {
		m.t.Fatalf("%s: %v", what, err)
	}
}

// stated returns a new command that states a service and a class for it.
func (m *testMesh) stated(service string) command.Command {
	m.ids++
	return command.Command{
		ID: fmt.Sprintf("test-%d", m.ids), Operator: Operator, Team: Team,
		Set: []config.Object{
			config.EncodeService(config.Service{Name: service, Team: Team}),
			config.EncodeTarget(config.Target{
				Name: "class-" + service, Team: Team, Service: service,
				Match: config.Match{PathPrefix: "/" + service}, Idempotent: true,
			}),
		},
	}
}

func (m *testMesh) accepted(vm *VM, cmd command.Command) config.Version {
	m.t.Helper()
	res := vm.Node().Submit(m.ctx, cmd)
	if res.Outcome != command.Accepted {
		m.t.Fatalf("%s: got %s, %s %s", vm.ID, res.Outcome, res.Reason, res.Detail)
	}
	return res.Version
}

// inForce waits until every node runs v.
func (m *testMesh) inForce(v config.Version) {
	m.t.Helper()
	m.wait(v.String(), func(n *node.Node) bool { return n.Version() == v })
}

// log returns the deltas that the platform holds.
func (m *testMesh) log() []*config.Delta {
	m.t.Helper()
	r := command.NewReader(m.Store.Table(), m.Store.Objects(), command.SnapshotFunc(config.Empty))
	ds, err := r.Log(m.ctx, 0, 1000)
	m.must(err)
	return ds
}

// What an operator would see: the mesh is started while the platform is down,
// say after a power cut, and nodes that agree among themselves on the empty
// configuration serve it: every route is gone. They have to wait, and go on by
// themselves when the platform is back.
func TestPlatformDownAtStart(t *testing.T) {
	o := options(three...)
	o.Store.Down(true)
	m := startMesh(t, o)
	m.wait("all see each other", func(n *node.Node) bool { return len(n.View().Records) == len(m.VMs) })
	tried := m.Store.Counts().Reads
	m.wait("reads go on", func(*node.Node) bool { return m.Store.Counts().Reads > tried+len(m.VMs) })
	for _, n := range m.Nodes() {
		if ok, _ := n.Ready(); ok {
			t.Error("a node that knows nothing carries traffic")
		}
	}
	m.Store.Down(false)
	m.must(m.WaitReady(m.ctx))
	m.inForce(m.accepted(m.VMs[0], m.stated("a")))
}

// What an operator would see: the platform goes down under a running mesh. The
// nodes go on with what they hold. A change is refused with the reason, on
// every node, and does not show up later by itself; sent again under its ID
// once the platform is back, it is accepted once.
func TestPlatformDownWhileRunning(t *testing.T) {
	m := ready(t, options(three...))
	before := m.accepted(m.VMs[0], m.stated("a"))
	m.inForce(before)
	m.Store.Down(true)
	cmd := m.stated("b")
	var all sync.WaitGroup
	for _, vm := range m.VMs {
		all.Go(func() {
			res := vm.Node().Submit(m.ctx, cmd)
			if res.Outcome != command.Refused || res.Reason != command.ReasonUnavailable {
				t.Errorf("%s: got %s, %s %s", vm.ID, res.Outcome, res.Reason, res.Detail)
			}
		})
	}
	all.Wait()
	m.must(m.WaitReady(m.ctx))
	m.Store.Down(false)
	if n := len(m.log()); n != 1 {
		t.Fatalf("%d versions after a refused change", n)
	}
	after := m.accepted(m.VMs[5], cmd)
	if after.Number != before.Number+1 {
		t.Errorf("accepted as %s", after)
	}
	if again := m.accepted(m.VMs[1], cmd); again != after {
		t.Errorf("accepted again as %s", again)
	}
	m.inForce(after)
}

// What an operator would see: "refused, the platform cannot be reached", from a
// node whose data centre is cut off from it, while one of the other data
// centres is not. Or, from a node that asks one peer after the other, "unknown"
// since the first peer spends all the time on its own tries. The command has to
// be carried by the peer that can, under its own ID.
func TestCommandIsCarriedByTheOnlyPeerThatCan(t *testing.T) {
	for _, mode := range []Mode{Refused, Silent} {
		t.Run(map[Mode]string{Refused: "refused", Silent: "silent"}[mode], func(t *testing.T) {
			var dcs []DataCentre
			for i := range 5 {
				dcs = append(dcs, DataCentre{Name: fmt.Sprintf("dc%d", i+1), Region: "r", VMs: 1})
			}
			m := ready(t, options(dcs...))
			for _, dc := range dcs[:4] {
				m.Cuts.Part(mode, dc.Name, Platform)
			}
			v := m.accepted(m.VMs[0], m.stated("a"))
			m.inForce(v)
			if ds := m.log(); len(ds) != 1 || ds[0].Command != "test-1" {
				t.Errorf("the platform holds %v", ds)
			}
		})
	}
}

// startService starts a backend server in each data centre.
func (m *testMesh) startService(service string) map[string]*backend.Server {
	m.t.Helper()
	out := make(map[string]*backend.Server)
	for _, vm := range m.VMs {
		if out[vm.DataCentre] != nil {
			continue
		}
		set := backend.Defaults()
		set.Service, set.ColdStart.Duration, set.ConnectionCost.Duration = service, 0, 0
		b, err := m.StartBackend(m.ctx, vm, set)
		m.must(err)
		out[vm.DataCentre] = b
	}
	m.must(m.WaitEndpoints(m.ctx, service, len(out)))
	return out
}

// get makes a call through the VM's node and checks its answer.
func (m *testMesh) get(vm *VM, path, id string) error {
	req, err := http.NewRequestWithContext(m.ctx, http.MethodGet, "http://"+vm.Node().Addrs().Callers+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(backend.HeaderRequest, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, b)
	}
	return backend.CheckAnswer(id, resp.Body)
}

// What a caller would see: its data centre is cut off from everything, and
// calls that its own backend servers could answer fail, since nodes declare dead what
// they cannot reach or stop serving without the platform. What an operator
// would see: a change that is taken on one side only.
func TestEveryDataCentreAlone(t *testing.T) {
	m := ready(t, options(three...))
	before := m.accepted(m.VMs[0], m.stated("berths"))
	m.inForce(before)
	servers := m.startService("berths")
	places := []string{Platform}
	for _, dc := range three {
		places = append(places, dc.Name)
	}
	m.Cuts.PartAll(Silent, places...)
	var alone sync.WaitGroup
	for _, vm := range m.VMs {
		alone.Go(func() {
			for i := range 5 {
				if err := m.get(vm, "/berths/7", fmt.Sprintf("%s.%d", vm.ID, i)); err != nil {
					t.Errorf("%s: %v", vm.ID, err)
				}
			}
		})
	}
	cmd := m.stated("b")
	for _, dc := range []int{0, 2, 4} {
		alone.Go(func() {
			if res := m.VMs[dc].Node().Submit(m.ctx, cmd); res.Outcome == command.Accepted {
				t.Errorf("accepted without the platform: %+v", res)
			}
		})
	}
	alone.Wait()
	for dc, b := range servers {
		for id := range b.RunsByID() {
			if !strings.HasPrefix(id, dc) {
				t.Errorf("%s ran %s", dc, id)
			}
		}
	}
	m.Cuts.HealAll()
	after := m.accepted(m.VMs[3], cmd)
	m.inForce(after)
	if n := len(m.log()); n != 2 {
		t.Errorf("%d versions, not 2", n)
	}
}
