package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// memoryNetwork is an in-process transport between Runners and a contact store.
type memoryNetwork struct {
	mu    sync.Mutex
	peers map[string]*Runner
	rows  map[string]ContactRow
	reads int
}

func (t *memoryNetwork) Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error) {
	t.mu.Lock()
	r := t.peers[addr]
	t.mu.Unlock()
	time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	if r == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.Request(m.GetFrom(), m), nil
}

func (t *memoryNetwork) List(context.Context) (out []ContactRow, _ error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out, nil
}

func (t *memoryNetwork) Put(_ context.Context, c ContactRow) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[c.ID] = c
	return nil
}

func (t *memoryNetwork) Remove(_ context.Context, c Contact) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, c.ID)
	return nil
}

// Guards against wrong clocks that leave only rows of dead nodes: one bridge's clock is an hour
// fast, so the rows of live bridges look outdated to it, and four dead VMs wrote rows a day
// ahead, which look fresh and keep others from writing theirs.
func TestContactsSurviveWrongClocks(t *testing.T) {
	net := &memoryNetwork{peers: map[string]*Runner{}, rows: map[string]ContactRow{}}
	self := VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"}
	r := NewRunner(DefaultConfig(self), net, net, new(CurrentView), zerolog.Nop())
	r.update(func(s *State, _ time.Time) { s.accept(goodRecord(), 0) })
	put := func(id string, at time.Time) {
		net.rows[id] = ContactRow{Contact: Contact{ID: id, DataCentre: "dc-0", ControlAddr: id + ":7000"}, At: at}
	}
	now := time.Now()
	put("vm-1", now.Add(-time.Hour)) // a live bridge
	put("vm-2", now.Add(-time.Hour)) // dead
	for i := range 4 {
		put(fmt.Sprintf("vm-fast-%d", i), now.Add(24*time.Hour))
	}
	if r.readContacts(t.Context(), true) {
		t.Error("rows dated in the future count as fresh")
	}
	if _, there := net.rows["vm-1"]; !there || len(net.rows) != 1 {
		t.Errorf("remaining rows: %v", net.rows)
	}
}

// Nodes that only have the platform's contacts find one another, write few rows, distribute a
// draining backend server within two seconds, declare a stopped node dead, and end without
// leaking goroutines.
func TestRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 12
		net := &memoryNetwork{peers: map[string]*Runner{}, rows: map[string]ContactRow{}}
		net.rows["vm-old"] = ContactRow{Contact: Contact{ID: "vm-old", DataCentre: "dc-0", ControlAddr: "gone:1"}, At: time.Now().Add(-time.Hour)}
		ctx, cancel := context.WithCancel(t.Context())
		var runners sync.WaitGroup
		var views [n]CurrentView
		var stops [n]context.CancelFunc
		for i := range n {
			vm := VM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), ControlAddr: fmt.Sprintf("host-%d:7000", i)}
			r := NewRunner(DefaultConfig(vm), net, net, &views[i], zerolog.Nop())
			net.mu.Lock()
			net.peers[vm.ControlAddr] = r
			net.mu.Unlock()
			nodeCtx, stop := context.WithCancel(ctx)
			stops[i] = stop
			runners.Go(func() { _ = r.Run(nodeCtx) })
			_ = r.SetBackends([]Backend{{Service: "s", Instance: "i", State: BackendReady}})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
		for i := range views {
			if got := len(views[i].Load().Records); got != n {
				t.Fatalf("vm-%d sees %d nodes", i, got)
			}
		}
		if len(net.rows) > 2*2*2 || net.rows["vm-old"].ID != "" {
			t.Errorf("contacts: %v", net.rows)
		}

		_ = net.peers["host-3:7000"].SetBackends([]Backend{{Service: "s", Instance: "i", State: BackendDraining}})
		time.Sleep(2 * time.Second)
		for i := range views {
			if got := views[i].Load().Records["vm-3"].Backends[0].State; got != BackendDraining {
				t.Errorf("vm-%d sees state %d", i, got)
			}
		}

		stops[3]()
		net.mu.Lock()
		delete(net.peers, "host-3:7000")
		net.mu.Unlock()
		time.Sleep(2 * time.Minute)
		for i := range views {
			if _, known := views[i].Load().Records["vm-3"]; known && i != 3 {
				t.Errorf("vm-%d still sees vm-3", i)
			}
		}
		time.Sleep(45 * time.Minute)
		net.mu.Lock()
		if len(net.rows) > 2*2 {
			t.Errorf("rows not removed: %v", net.rows)
		}
		net.mu.Unlock()
		cancel()
		runners.Wait()
	})
}
