package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
)

type noFence struct{}

// Condition asks that a row that nobody writes does not exist.
func (noFence) Condition() platform.Condition { return platform.Condition{Key: "lease/none"} }

func TestSource(t *testing.T) {
	ctx, store := context.Background(), memory.New()
	reader := func() *command.Reader {
		return command.NewReader(store, store.Objects(), command.SnapshotFunc(config.Empty))
	}
	committer := command.NewCommitter(reader(), store, command.Options{})
	var versions []config.Version
	for i := range 9 {
		res := committer.Submit(ctx, command.Command{
			ID: fmt.Sprint("c", i), Operator: "o", Team: "t",
			Set: []config.Object{config.EncodeService(config.Service{Name: fmt.Sprint("s", i), Team: "t"})},
		})
		if res.Outcome != command.Accepted {
			t.Fatalf("%+v", res)
		}
		versions = append(versions, res.Version)
	}
	c := command.NewCompactor(reader(), store, store.Objects(), command.CompactOptions{KeepLog: 3, Batch: 2})
	for range 5 {
		if _, err := c.Step(ctx, noFence{}, time.UnixMilli(0)); err != nil {
			t.Fatal(err)
		}
	}
	s := New(reader())
	head, err := s.Head(ctx)
	if err != nil || head != versions[8] {
		t.Fatalf("%s %v", head, err)
	}
	if ds, err := s.Since(ctx, versions[6]); err != nil || len(ds) != 2 || ds[1].To != head {
		t.Errorf("%v %v", ds, err)
	}
	if ds, err := s.Since(ctx, head); err != nil || len(ds) != 0 {
		t.Errorf("%v %v", ds, err)
	}
	if _, err := s.Since(ctx, versions[1]); !errors.Is(err, distribute.ErrCompacted) {
		t.Errorf("%v", err)
	}
	if got, err := s.Snapshot(ctx, head); err != nil || got.Version() != head {
		t.Errorf("%v", err)
	}
}
