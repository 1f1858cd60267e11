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

// hookedTable is a table that calls before ahead of a commit, once.
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

// maintenanceFixture is a mesh's platform with a clock that only the test moves.
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

// maintainer returns a maintainer that sees the platform through table.
func (h *maintenanceFixture) maintainer(vm string, table platform.Table) *maintainer {
	k := newMaintainer(table, vm, func() time.Time { return h.now })
	k.log = zerolog.Nop()
	r := command.NewReader(table, h.store.Objects(), command.SnapshotFunc(config.Empty))
	k.compact = command.NewCompactor(r, table, h.store.Objects(), command.CompactOptions{KeepLog: 3, Batch: 4})
	k.trim = noOutcomes{}
	return k
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

// A VM that holds the maintenance lease is moved to another host in the middle
// of a step and stands still for minutes. Another feeder takes the lease and
// compacts further. When the first wakes, its transaction still deletes log
// rows and sets an older floor: a node that starts then would look for rows
// that are gone. The write must fail on the lease's fence, and the woken node
// must stop working until it holds the lease anew.
func TestPausedMaintainerChangesNothing(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	ctx := context.Background()
	table := &hookedTable{Table: h.store.Table()}
	paused, other := h.maintainer("vm1", table), h.maintainer("vm2", h.store.Table())
	left := 0
	table.before = func() {
		other.step(ctx) // first sighting of the lease
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
		t.Error("two hold the lease")
	}
}

// Rows pile up for as long as nobody compacts: the log would grow by 930 rows a
// day. One holder works it off, keeps its lease over many renewals, and rests
// when nothing is left.
func TestMaintainerWorksItOffAndRests(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	k := h.maintainer("vm1", h.store.Table())
	var wait time.Duration
	for range 12 {
		wait = k.step(context.Background())
		h.now = h.now.Add(wait)
	}
	if got := h.logRows(); got > 3+4 || wait != maintenanceIdleWait {
		t.Errorf("%d log rows are left, the wait is %s", got, wait)
	}
	before := h.store.Counts()
	for range 60 {
		h.now = h.now.Add(k.step(context.Background()))
	}
	after := h.store.Counts()
	if k.stats.taken.Load() != 1 || k.stats.lost.Load() != 0 {
		t.Errorf("lease taken %d times, lost %d", k.stats.taken.Load(), k.stats.lost.Load())
	}
	// An hour of rest: a read of the head and one scan a minute, and a renewal
	// now and then.
	if reads, writes := after.Reads-before.Reads, after.Writes-before.Writes; reads > 2*60 || writes > 60 {
		t.Errorf("an hour of rest took %d reads and %d writes", reads, writes)
	}
}

// A node that is no feeder must not read the platform at all for this: 1,200
// that look once a minute are 40 reads a second.
func TestNoFeederContends(t *testing.T) {
	h := newMaintenanceFixture(t, 1)
	k := h.maintainer("vm1", h.store.Table())
	before := h.store.Counts()
	k.eligible = func() bool { return false }
	k.step(context.Background())
	if h.store.Counts() != before {
		t.Error("the platform was read")
	}
	k.eligible = func() bool { return true }
	k.step(context.Background())
	k.eligible = func() bool { return false }
	k.step(context.Background())
	other := h.maintainer("vm2", h.store.Table())
	if other.step(context.Background()); !other.stats.holdsLease.Load() {
		t.Error("a node that stopped being a feeder kept the lease")
	}
}

// A mesh of 1,200 nodes in five data centres has ten feeders. All of them look at
// the lease for as long as the mesh lives, whatever there is to do; the platform
// must hardly notice.
func TestFeedersSpareThePlatform(t *testing.T) {
	h := newMaintenanceFixture(t, 24)
	keepers := make([]*maintainer, 10)
	due := make([]time.Time, len(keepers))
	for i := range keepers {
		keepers[i] = h.maintainer(fmt.Sprint("vm", i), h.store.Table())
		due[i] = h.now.Add(time.Duration(i) * maintenanceLeasePoll / time.Duration(len(keepers)))
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
		due[next] = h.now.Add(keepers[next].step(context.Background()))
	}
	after := h.store.Counts()
	holders, taken := 0, uint64(0)
	for _, k := range keepers {
		taken += k.stats.taken.Load()
		if k.stats.holdsLease.Load() {
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
