// Package admintest is what stands behind the admin API in tests of the API and
// of the command line: the real committer over a platform in memory that fails
// on demand, and answers to the queries.
package admintest

import (
	"context"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/query"
)

// Mode says how the platform behaves.
type Mode string

// Modes of the platform.
const (
	ModeNormal Mode = "normal"
	// ModeUnavailable fails every operation, without an effect.
	ModeUnavailable Mode = "unavailable"
	// ModeLostBefore loses every write on its way there.
	ModeLostBefore Mode = "lost-before"
	// ModeLostAfter lets one write take effect and loses its answer, and
	// loses every write after that on its way there.
	ModeLostAfter Mode = "lost-after"
)

// Fake is an admin.Commander, an admin.Reader and an admin.Lifter.
type Fake struct {
	now       func() time.Time
	store     *memory.Store
	truth     *command.Reader // reads past the faults
	platform  *table
	reader    *command.Reader
	committer *command.Committer

	mu      sync.Mutex
	trouble bool
	held    []query.Quarantine
}

// New returns a fake that holds the empty configuration.
func New(now func() time.Time) *Fake {
	f := &Fake{now: now, store: memory.New()}
	f.platform = &table{Store: f.store, mode: ModeNormal}
	nothing := command.SnapshotFunc(config.Empty)
	f.truth = command.NewReader(f.store, f.store.Objects(), nothing)
	f.reader = command.NewReader(f.platform, f.store.Objects(), nothing)
	f.committer = command.NewCommitter(f.reader, f.platform, command.Options{
		Now:   now,
		Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	return f
}

// SetMode changes how the platform behaves from now on.
func (f *Fake) SetMode(m Mode) { f.platform.setMode(m) }

// Submit implements admin.Commander.
func (f *Fake) Submit(ctx context.Context, c command.Command) command.Result {
	return f.committer.Submit(ctx, c)
}

// table is the platform's table with faults.
type table struct {
	*memory.Store

	mu   sync.Mutex
	mode Mode
}

func (t *table) setMode(m Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// take returns the mode for one operation. A write under ModeLostAfter leaves
// ModeLostBefore behind.
func (t *table) take(write bool) Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mode
	if write && m == ModeLostAfter {
		t.mode = ModeLostBefore
	}
	return m
}

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, key string) (platform.Row, error) {
	if t.take(false) == ModeUnavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Store.Get(ctx, key)
}

// Scan implements platform.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.take(false) == ModeUnavailable {
		return nil, platform.ErrUnavailable
	}
	return t.Store.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, txn platform.Txn) error {
	switch t.take(true) {
	case ModeUnavailable:
		return platform.ErrUnavailable
	case ModeLostBefore:
		return platform.ErrUnknown
	case ModeLostAfter:
		_ = t.Store.Commit(ctx, txn)
		return platform.ErrUnknown
	}
	return t.Store.Commit(ctx, txn)
}
