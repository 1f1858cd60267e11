package command

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// leaseFence stands for the lease: the row must still have the revision it had
// when the lease was taken.
type leaseFence struct{ revision uint64 }

func (l leaseFence) Fence(t platform.Txn) platform.Txn {
	t.Conditions = append(t.Conditions, platform.Condition{Key: "lease/compact", Revision: l.revision})
	return t
}

// takeLease takes the lease from whoever holds it.
func takeLease(f *flaky) leaseFence {
	_ = f.apply(platform.Txn{Writes: []platform.Write{{Key: "lease/compact", Value: []byte("x")}}})
	row, err := f.Store.Get(context.Background(), "lease/compact")
	if err != nil {
		panic(err)
	}
	return leaseFence{row.Revision}
}

// A holder of the compaction lease is paused between reading and writing. The
// lease passes on and the next holder compacts. When the first one wakes, it
// must change nothing: rows it deleted then could be ones that the log above
// the newest snapshot needs.
func TestPausedCompactorLosesHarmlessly(t *testing.T) {
	f := newFlaky()
	_, c := node(f)
	for i := range 12 {
		if r := c.Submit(context.Background(), set(fmt.Sprint("c", i), 0, service("a", fmt.Sprint(i)))); r.Outcome != Accepted {
			t.Fatal(r)
		}
	}
	ctx, now := context.Background(), time.UnixMilli(1_000_000)
	r, _ := node(f)
	paused := NewCompactor(r, f, f.Objects(), CompactOptions{KeepLog: 3, Batch: 4})
	old := takeLease(f)
	takeLease(f)
	before := len(f.states)
	var conflict *platform.ConflictError
	if _, err := paused.Step(ctx, old, now); !errors.As(err, &conflict) || len(f.states) != before {
		t.Fatalf("the paused holder: %v", err)
	}
	fence := takeLease(f)
	for range 6 {
		if _, err := paused.Step(ctx, fence, now); err != nil {
			t.Fatal(err)
		}
	}
	r, _ = node(f)
	head, err := r.Head(ctx)
	if err != nil || head.Floor != 9 || len(head.Snapshots) == 0 {
		t.Fatalf("%+v %v", head, err)
	}
	if s, err := r.Snapshot(ctx, head); err != nil || s.Version() != head.Version {
		t.Fatal(err)
	}
	if _, err := r.Since(ctx, config.Empty().Version(), 10); !errors.Is(err, ErrCompacted) {
		t.Errorf("got %v", err)
	}
}

// Versions keep coming while the log is compacted for hours. At every moment a
// node that holds nothing must be able to get the newest version, and neither
// the log nor the object store may grow without bound.
func TestCompactionKeepsTheNewestReadable(t *testing.T) {
	f := newFlaky()
	_, c := node(f)
	r, _ := node(f)
	compactor := NewCompactor(r, f, f.Objects(), CompactOptions{KeepLog: 4, Batch: 3})
	fence, ctx := takeLease(f), context.Background()
	for i := range 60 {
		if r := c.Submit(ctx, set(fmt.Sprint("c", i), 0, service("a", fmt.Sprint(i)))); r.Outcome != Accepted {
			t.Fatal(r)
		}
		rep := CompactReport{More: true}
		for rep.More {
			var err error
			if rep, err = compactor.Step(ctx, fence, time.UnixMilli(1_000_000)); err != nil {
				t.Fatal(err)
			}
			fresh, _ := node(f)
			head, err := fresh.Head(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if s, err := fresh.Snapshot(ctx, head); err != nil || s.Version() != head.Version {
				t.Fatalf("version %d: %v", i, err)
			}
		}
		rows, _ := f.Store.Scan(ctx, platform.LogPrefix, "", 100)
		names, _ := f.Objects().List(ctx, platform.SnapshotPrefix, "", 100)
		if len(rows) > 4+3 || len(names) > keptSnapshotObjects {
			t.Fatalf("%d log rows and %d objects", len(rows), len(names))
		}
	}
}

func TestOldOutcomesAreTrimmed(t *testing.T) {
	f := newFlaky()
	r, c := node(f)
	ctx := context.Background()
	for i := range 7 {
		c.Submit(ctx, set(fmt.Sprint("c", i), 0, service("a", fmt.Sprint(i))))
	}
	at := time.UnixMilli(1_000_000)
	compactor := NewCompactor(r, f, f.Objects(), CompactOptions{Batch: 3})
	for _, c := range []struct {
		now  time.Time
		left int
	}{{at.Add(DefaultRememberIDs), 7}, {at.Add(DefaultRememberIDs + time.Second), 0}} {
		for range 4 {
			if _, err := compactor.Step(ctx, takeLease(f), c.now); err != nil {
				t.Fatal(err)
			}
		}
		rows, _ := f.Store.Scan(ctx, platform.CommandPrefix, "", 100)
		if len(rows) != c.left {
			t.Errorf("%d rows left, want %d", len(rows), c.left)
		}
	}
}
