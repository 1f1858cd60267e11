package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// Paths of the two targets of a testMesh.
const (
	lookup = "/berths"   // idempotent
	book   = "/bookings" // not idempotent
)

const service = "berths"

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 2 * time.Minute

// testMesh is a local mesh in which some VMs hold the service "berths".
type testMesh struct {
	*localmesh.Mesh
	t       *testing.T
	ctx     context.Context
	version uint64
	addrs   node.Addrs // of the node stopped last
}

// startMesh starts a mesh of one data centre. The function change, if not nil, changes the options
// of each node.
func startMesh(t *testing.T, vms int, change func(*localmesh.VM, *node.Options)) *testMesh {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	w := &testMesh{t: t, ctx: ctx}
	m, err := localmesh.Start(localmesh.Options{
		Name: "trust", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "neg", Region: "western", VMs: vms}},
		Node:        change,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	w.Mesh = m
	w.must(m.WaitReady(ctx))
	return w
}

func (w *testMesh) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// hold starts backend servers on some VMs and configures the service and the two targets.
func (w *testMesh) hold(vms ...*localmesh.VM) {
	w.t.Helper()
	for _, vm := range vms {
		w.startBackend(vm)
	}
	c, err := w.Admin(w.VMs[0])
	w.must(err)
	_, err = c.PutService(w.ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: service})
	w.must(err)
	for name, path := range map[string]string{"lookups": lookup, "bookings": book} {
		_, err = c.PutTarget(w.ctx, &adminapi.TargetSpec{
			Service: service, Match: adminapi.Match{PathPrefix: path},
			Idempotent: adminapi.NewOptBool(path == lookup), DeadlineMs: adminapi.NewOptInt64(30000),
		}, adminapi.PutTargetParams{Name: adminapi.Name(name)})
		w.must(err)
	}
	w.version = 3
	w.must(w.WaitVersion(w.ctx, w.version))
	w.must(w.WaitEndpoints(w.ctx, service, len(vms)))
}

func (w *testMesh) startBackend(vm *localmesh.VM) {
	w.t.Helper()
	set := backend.Defaults()
	set.Service, set.Instance, set.ColdStart.Duration = service, "a", 0
	set.Slots, set.Backlog = 64, 256
	set.Distribution, set.Mean.Duration = backend.Fixed, time.Millisecond
	_, err := w.StartBackend(w.ctx, vm, set)
	w.must(err)
}

// answer is the result of one call as its caller sees it.
type answer struct {
	status  int
	notRun  call.Reason
	after   string // Retry-After
	closing bool   // the answer closes the connection
	err     error  // no complete answer was received
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, not run %q, error %v", a.status, a.notRun, a.err)
}

// ask makes one call to the node at addr and checks that the answer is complete and belongs to the
// call.
func ask(ctx context.Context, c *http.Client, addr, method, path, id string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set(backend.HeaderRequest, id)
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{
		status: resp.StatusCode, notRun: call.Reason(resp.Header.Get(call.HeaderNotRun)),
		after: resp.Header.Get("Retry-After"), closing: resp.Close,
	}
	if a.status == http.StatusOK {
		a.err = backend.CheckAnswer(id, resp.Body)
		return a
	}
	_, a.err = io.Copy(io.Discard, resp.Body)
	return a
}

func (w *testMesh) ask(vm *localmesh.VM, method, path, id string) answer {
	return ask(w.ctx, http.DefaultClient, vm.Node().Addrs().Callers, method, path, id)
}

// runs returns the number of runs at the backend servers of all VMs, and the number of distinct
// requests.
func (w *testMesh) runs() (runs, requests int) {
	for _, vm := range w.VMs {
		for _, b := range vm.Backends() {
			r := b.Runs()
			runs, requests = runs+r.Runs, requests+r.Requests
		}
	}
	return runs, requests
}

// metric returns the value of a metric of a VM's node, or -1 if it is missing.
func (w *testMesh) metric(vm *localmesh.VM, name string) float64 {
	w.t.Helper()
	for line := range strings.Lines(w.page(vm, "/metrics")) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			w.must(err)
			return v
		}
	}
	return -1
}

// reaches waits until a metric has a value: a node counts a call shortly after its caller has the
// answer.
func (w *testMesh) reaches(vm *localmesh.VM, name string, want float64) {
	w.t.Helper()
	for got := w.metric(vm, name); got != want; got = w.metric(vm, name) {
		if w.ctx.Err() != nil {
			w.t.Fatalf("%s is %g, want %g", name, got, want)
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *testMesh) page(vm *localmesh.VM, path string) string {
	w.t.Helper()
	resp, err := http.Get("http://" + vm.Node().Addrs().Metrics + path)
	w.must(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	w.must(err)
	return string(b)
}

// settingsOf returns a VM's settings in a form that Reload accepts.
func (w *testMesh) settingsOf(vm *localmesh.VM) settings.Node { return vm.Node().Settings() }

// keepCalling makes calls of both classes through the nodes of some VMs, sequentially per node and
// class. The function returned stops them and returns the failed calls; ended counts all calls.
func (w *testMesh) keepCalling(vms ...*localmesh.VM) (ended *atomic.Int64, failed func() []answer) {
	ended = new(atomic.Int64)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	var bad []answer
	for _, vm := range vms {
		for _, path := range []string{lookup, book} {
			wg.Go(func() {
				for i := 0; !stop.Load() && w.ctx.Err() == nil; i++ {
					a := w.ask(vm, http.MethodPost, path, fmt.Sprint(vm.ID, path, i))
					if a.status != http.StatusOK || a.err != nil {
						mu.Lock()
						bad = append(bad, a)
						mu.Unlock()
					}
					ended.Add(1)
				}
			})
		}
	}
	end := func() []answer {
		stop.Store(true)
		wg.Wait()
		return bad
	}
	w.t.Cleanup(func() { end() })
	return ended, end
}

// waitCalls waits until the given number of further calls has ended.
func (w *testMesh) waitCalls(ended *atomic.Int64, more int64) {
	w.t.Helper()
	for until := ended.Load() + more; ended.Load() < until; time.Sleep(time.Millisecond) {
		w.must(w.ctx.Err())
	}
}
