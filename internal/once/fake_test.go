package once

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

type faultKind int

const (
	faultNone         faultKind = iota
	faultOutage                 // writes and reads fail without effect
	faultWritesOnly             // writes fail without effect, reads work
	faultLostResponse           // the write takes effect, its response is lost
	faultLateWrite              // the write takes effect lateBy after its lost response
	faultStaleRead              // reads find no row
)

const lateBy = 300 * time.Millisecond

// faultyTable is a table that injects faults. It also checks that no stored outcome is ever
// replaced.
type faultyTable struct {
	*memory.Store
	latency time.Duration

	mu        sync.Mutex
	kind      faultKind
	commits   int
	violation string
}

func newFaultyTable() *faultyTable {
	return &faultyTable{Store: memory.New(), latency: 5 * time.Millisecond}
}

func (f *faultyTable) set(k faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind = k
}

func (f *faultyTable) fault() faultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind
}

func (f *faultyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	time.Sleep(f.latency)
	switch f.fault() {
	case faultOutage:
		return platform.Row{}, platform.ErrUnavailable
	case faultStaleRead:
		return platform.Row{}, platform.ErrNotFound
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, t platform.Txn) error {
	time.Sleep(f.latency)
	f.mu.Lock()
	f.commits++
	f.mu.Unlock()
	switch f.fault() {
	case faultOutage, faultWritesOnly:
		return platform.ErrUnavailable
	case faultLostResponse:
		_ = f.apply(ctx, t)
		return platform.ErrUnknown
	case faultLateWrite:
		time.AfterFunc(lateBy, func() { _ = f.apply(ctx, t) })
		return platform.ErrUnknown
	}
	return f.apply(ctx, t)
}

func (f *faultyTable) apply(ctx context.Context, t platform.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := make(map[string]row)
	for _, w := range t.Writes {
		if got, err := f.Store.Get(ctx, w.Key); err == nil {
			before[w.Key], _ = decodeRow(got.Value)
		}
	}
	err := f.Store.Commit(ctx, t)
	if err != nil {
		return err
	}
	for _, w := range t.Writes {
		old := before[w.Key]
		if old.Outcome == nil {
			continue
		}
		now, _ := decodeRow(w.Value)
		if w.Delete || !reflect.DeepEqual(old, now) {
			f.violation = fmt.Sprintf("outcome of %s replaced", w.Key)
		}
	}
	return nil
}

func (f *faultyTable) writes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}
