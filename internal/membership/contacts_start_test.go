package membership

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// slowTable is a contact store with the latency of the platform's store that counts its calls.
type slowTable struct {
	*memoryNetwork
	lists, puts atomic.Int64
}

const (
	listLatency = 4 * time.Millisecond
	putLatency  = 6 * time.Millisecond
)

func (s *slowTable) List(ctx context.Context) ([]ContactRow, error) {
	s.lists.Add(1)
	time.Sleep(listLatency)
	return s.memoryNetwork.List(ctx)
}

func (s *slowTable) Put(ctx context.Context, c ContactRow) error {
	s.puts.Add(1)
	time.Sleep(putLatency)
	return s.memoryNetwork.Put(ctx, c)
}

// Guards against a mesh whose nodes all start at once with an empty contact table and each make
// three calls to the platform: read, find no row, write a row, read again. Sixty nodes must need
// half of that.
func TestSimultaneousStartWritesFewContacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		table := &slowTable{memoryNetwork: &memoryNetwork{peers: map[string]*Runner{}, rows: map[string]ContactRow{}}}
		ctx, cancel := context.WithCancel(t.Context())
		var runners sync.WaitGroup
		var views [n]CurrentView
		for i := range n {
			vm := VM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), ControlAddr: fmt.Sprintf("host-%d:7000", i)}
			r := NewRunner(FastConvergence(DefaultConfig(vm)), table, table, &views[i], zerolog.Nop())
			table.peers[vm.ControlAddr] = r
		}
		for _, r := range table.peers {
			runners.Go(func() { _ = r.Run(ctx) })
		}
		time.Sleep(12 * time.Second) // two syncs, which fetch the last missing record
		for i := range views {
			if got := len(views[i].Load().Records); got != n {
				t.Errorf("vm-%d sees %d nodes", i, got)
			}
		}
		lists, puts := table.lists.Load(), table.puts.Load()
		t.Logf("%d nodes: %d lists, %d rows written", n, lists, puts)
		if lists+puts > 3*n/2 || puts > n/2 {
			t.Errorf("%d nodes: %d lists, %d rows written", n, lists, puts)
		}
		cancel()
		runners.Wait()
	})
}
