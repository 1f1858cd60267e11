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

// memory is a transport between Runners of one process.
type memory struct {
	mu    sync.Mutex
	peers map[string]*Runner
	rows  map[string]ContactRow
	reads int
}

func (t *memory) Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error) {
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

func (t *memory) List(context.Context) (out []ContactRow, _ error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out, nil
}

func (t *memory) Put(_ context.Context, c ContactRow) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[c.ID] = c
	return nil
}

func (t *memory) Remove(_ context.Context, c Contact) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, c.ID)
	return nil
}

// The clock of one bridge is an hour fast, and four VMs that are gone wrote rows
// when theirs were a day fast. The bridge takes the rows of its neighbours, who
// are well, for old and removes them; the other four look fresh for a day, so
// nobody writes a row. A herd that starts finds only addresses that are gone.
func TestContactsSurviveWrongClocks(t *testing.T) {
	net := &memory{peers: map[string]*Runner{}, rows: map[string]ContactRow{}}
	self := VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"}
	r := NewRunner(DefaultConfig(self), net, net, new(CurrentView), zerolog.Nop())
	r.do(func(s *State, _ time.Time) { s.accept(goodRecord(), 0) })
	put := func(id string, at time.Time) {
		net.rows[id] = ContactRow{Contact: Contact{ID: id, DataCentre: "dc-0", ControlAddr: id + ":7000"}, At: at}
	}
	now := time.Now()
	put("vm-1", now.Add(-time.Hour)) // a bridge, and alive
	put("vm-2", now.Add(-time.Hour)) // gone
	for i := range 4 {
		put(fmt.Sprintf("vm-fast-%d", i), now.Add(24*time.Hour))
	}
	if r.readContacts(t.Context(), true) {
		t.Error("rows from the future count as fresh")
	}
	if _, there := net.rows["vm-1"]; !there || len(net.rows) != 1 {
		t.Errorf("left %v", net.rows)
	}
}

// Nodes with nothing but the platform's contacts find one another, keep few
// rows there, tell of a draining backend server within two seconds, declare dead one that
// stops, and end without goroutines left.
func TestRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 12
		net := &memory{peers: map[string]*Runner{}, rows: map[string]ContactRow{}}
		net.rows["vm-old"] = ContactRow{Contact: Contact{ID: "vm-old", DataCentre: "dc-0", ControlAddr: "gone:1"}, At: time.Now().Add(-time.Hour)}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
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
			running.Go(func() { _ = r.Run(nodeCtx) })
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
		running.Wait()
	})
}
