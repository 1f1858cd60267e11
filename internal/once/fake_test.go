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
	faultNone       faultKind = iota
	faultOutage               // nothing takes effect, reads fail too
	faultWritesOnly           // nothing takes effect, reads work
	faultLostAnswer           // takes effect, the answer is lost
	faultLateWrite            // takes effect a while after its answer was lost
	faultStaleRead            // reads find nothing
)

const lateBy = 300 * time.Millisecond

// faulty is a table with faults, which also checks that no stored outcome is
// ever replaced by another.
type faulty struct {
	*memory.Store
	latency time.Duration

	mu        sync.Mutex
	kind      faultKind
	commits   int
	violation string
}

func newFaulty() *faulty { return &faulty{Store: memory.New(), latency: 5 * time.Millisecond} }

func (f *faulty) set(k faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind = k
}

func (f *faulty) fault() faultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind
}

func (f *faulty) Get(ctx context.Context, key string) (platform.Row, error) {
	time.Sleep(f.latency)
	switch f.fault() {
	case faultOutage:
		return platform.Row{}, platform.ErrUnavailable
	case faultStaleRead:
		return platform.Row{}, platform.ErrNotFound
	}
	return f.Store.Get(ctx, key)
}

func (f *faulty) Commit(ctx context.Context, t platform.Txn) error {
	time.Sleep(f.latency)
	f.mu.Lock()
	f.commits++
	f.mu.Unlock()
	switch f.fault() {
	case faultOutage, faultWritesOnly:
		return platform.ErrUnavailable
	case faultLostAnswer:
		_ = f.apply(ctx, t)
		return platform.ErrUnknown
	case faultLateWrite:
		time.AfterFunc(lateBy, func() { _ = f.apply(ctx, t) })
		return platform.ErrUnknown
	}
	return f.apply(ctx, t)
}

func (f *faulty) apply(ctx context.Context, t platform.Txn) error {
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

func (f *faulty) writes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}
