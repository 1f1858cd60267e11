package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
)

// hookedTable is a table that calls before once, ahead of a commit.
type hookedTable struct {
	platform.Table
	before func()
}

func (h *hookedTable) Commit(ctx context.Context, t platform.Txn) error {
	if f := h.before; f != nil && len(t.Writes) > 2 {
		h.before = nil
		f()
	}
	return h.Table.Commit(ctx, t)
}

// maintenanceFixture is the platform of a mesh with a fake clock.
type maintenanceFixture struct {
	t     *testing.T
	store *fake.Store
	now   time.Time
}

func newMaintenanceFixture(t *testing.T, versions int) *maintenanceFixture {
	h := &maintenanceFixture{t: t, store: fake.New(), now: time.UnixMilli(1_000_000)}
	empty := command.SnapshotFunc(config.Empty)
	r := command.NewReader(h.store.Table(), h.store.Objects(), empty)
	c := command.NewCommitter(r, h.store.Table(), command.Options{})
	for i := range versions {
		object := config.EncodeService(config.Service{Name: "berths", Team: "yard", Description: fmt.Sprint(i)})
		res := c.Submit(context.Background(), command.Command{
			ID: fmt.Sprint("c", i), Operator: "o", Team: "yard", Set: []config.Object{object},
		})
		if res.Outcome != command.Accepted {
			t.Fatal(res)
		}
	}
	return h
}

// maintainerFor returns a maintainer that reads and writes the platform through table.
func (h *maintenanceFixture) maintainerFor(vm string, table platform.Table) *maintainer {
	m := newMaintainer(table, vm, func() time.Time { return h.now })
	m.log = zerolog.Nop()
	r := command.NewReader(table, h.store.Objects(), command.SnapshotFunc(config.Empty))
	m.compact = command.NewCompactor(r, table, h.store.Objects(), command.CompactOptions{KeepLog: 3, Batch: 4})
	m.trim = noOutcomes{}
	return m
}

type noOutcomes struct{}

func (noOutcomes) Trim(context.Context, string, int) (string, int, error) { return "", 0, nil }

func (h *maintenanceFixture) logRows() int {
	rows, err := h.store.Table().Scan(context.Background(), platform.LogPrefix, "", 100)
	if err != nil {
		h.t.Fatal(err)
	}
	return len(rows)
}

// Guards against a lease holder that is paused in the middle of a step (a VM migration) while
// another feeder takes the lease and compacts further. Its transaction would delete log rows and
// set an older floor, so that a starting node looks for missing rows. The write must fail on the
// lease's fence, and the holder must stop until it holds the lease again.
func TestPausedMaintainerChangesNothing(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	ctx := context.Background()
	table := &hookedTable{Table: h.store.Table()}
	paused, other := h.maintainerFor("vm1", table), h.maintainerFor("vm2", h.store.Table())
	left := 0
	table.before = func() {
		other.step(ctx) // reads the lease for the first time
		h.now = h.now.Add(maintenanceLease + time.Second)
		other.step(ctx)
		other.step(ctx)
		left = h.logRows()
	}
	paused.step(ctx)
	if left == 0 || left >= 24 {
		t.Fatalf("the other holder left %d of 24 log rows", left)
	}
	if !other.stats.holdsLease.Load() || paused.stats.holdsLease.Load() || paused.stats.lost.Load() != 1 {
		t.Fatalf("holds: other %v, paused %v", other.stats.holdsLease.Load(), paused.stats.holdsLease.Load())
	}
	if got := h.logRows(); got != left || paused.stats.compacted.Load() != 0 {
		t.Errorf("the paused holder changed the log from %d rows to %d", left, got)
	}
	paused.step(ctx)
	if paused.stats.holdsLease.Load() {
		t.Error("two nodes hold the lease")
	}
}

// Guards against rows that pile up: without compaction the log grows by 930 rows a day. One holder
// has to work off the backlog, keep its lease over many renewals, and idle when nothing is left.
func TestMaintainerClearsBacklogAndIdles(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	m := h.maintainerFor("vm1", h.store.Table())
	var wait time.Duration
	for range 12 {
		wait = m.step(context.Background())
		h.now = h.now.Add(wait)
	}
	if got := h.logRows(); got > 3+4 || wait != maintenanceIdleWait {
		t.Errorf("%d log rows are left, the wait is %s", got, wait)
	}
	before := h.store.Counts()
	for range 60 {
		h.now = h.now.Add(m.step(context.Background()))
	}
	after := h.store.Counts()
	if m.stats.taken.Load() != 1 || m.stats.lost.Load() != 0 {
		t.Errorf("lease taken %d times, lost %d", m.stats.taken.Load(), m.stats.lost.Load())
	}
	// An idle hour: one read of the head and one scan a minute, and a few renewals.
	if reads, writes := after.Reads-before.Reads, after.Writes-before.Writes; reads > 2*60 || writes > 60 {
		t.Errorf("an idle hour took %d reads and %d writes", reads, writes)
	}
}

// Guards against nodes that are not feeders reading the platform for the lease: 1,200 of them
// reading once a minute would be 40 reads a second.
func TestOnlyFeedersContend(t *testing.T) {
	h := newMaintenanceFixture(t, 1)
	m := h.maintainerFor("vm1", h.store.Table())
	before := h.store.Counts()
	m.eligible = func() bool { return false }
	m.step(context.Background())
	if h.store.Counts() != before {
		t.Error("the platform was read")
	}
	m.eligible = func() bool { return true }
	m.step(context.Background())
	m.eligible = func() bool { return false }
	m.step(context.Background())
	other := h.maintainerFor("vm2", h.store.Table())
	if other.step(context.Background()); !other.stats.holdsLease.Load() {
		t.Error("a node that stopped being a feeder kept the lease")
	}
}

// Guards against a high platform load from the ten feeders of 1,200 nodes in five data centres,
// which all read the lease for as long as the mesh runs.
func TestFeedersSpareThePlatform(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	maintainers := make([]*maintainer, 10)
	due := make([]time.Time, len(maintainers))
	for i := range maintainers {
		maintainers[i] = h.maintainerFor(fmt.Sprint("vm", i), h.store.Table())
		due[i] = h.now.Add(time.Duration(i) * maintenanceLeasePoll / time.Duration(len(maintainers)))
	}
	before, end := h.store.Counts(), h.now.Add(time.Hour)
	for {
		next := 0
		for i := range due {
			if due[i].Before(due[next]) {
				next = i
			}
		}
		if due[next].After(end) {
			break
		}
		h.now = due[next]
		due[next] = h.now.Add(maintainers[next].step(context.Background()))
	}
	after := h.store.Counts()
	holders, taken := 0, uint64(0)
	for _, m := range maintainers {
		taken += m.stats.taken.Load()
		if m.stats.holdsLease.Load() {
			holders++
		}
	}
	if holders != 1 || taken != 1 || h.logRows() > 3+4 {
		t.Errorf("%d holders, lease taken %d times, %d log rows left", holders, taken, h.logRows())
	}
	reads, writes := after.Reads-before.Reads, after.Writes-before.Writes
	t.Logf("in an hour: %d reads, %d writes", reads, writes)
	if reads > 3600/2 || writes > 3600/30 {
		t.Errorf("in an hour: %d reads, %d writes", reads, writes)
	}
}
