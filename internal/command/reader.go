package command

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

const (
	// cachedSnapshots bounds the snapshots that a Reader remembers.
	cachedSnapshots = 8
	// logPage is how many log rows are read at once.
	logPage = 64
)

// SnapshotSource gives the snapshot that this node holds, so that only what is
// newer has to be read.
type SnapshotSource interface{ Current() *config.Snapshot }

// SnapshotFunc is a SnapshotSource made of a function.
type SnapshotFunc func() *config.Snapshot

// Current implements SnapshotSource.
func (f SnapshotFunc) Current() *config.Snapshot { return f() }

// Reader reads versions from the platform. It never takes the platform's word
// for an older version than one known, nor for one of another history.
type Reader struct {
	table   platform.Table
	objects platform.Objects
	held    SnapshotSource
	cache   *lru.Cache[config.Version, *config.Snapshot]
	known   atomic.Pointer[config.Version]
}

// NewReader returns a reader for a node that holds what held says.
func NewReader(t platform.Table, o platform.Objects, held SnapshotSource) *Reader {
	cache, err := lru.New[config.Version, *config.Snapshot](cachedSnapshots)
	if err != nil {
		panic("command: " + err.Error()) // only for a size below one
	}
	return &Reader{table: t, objects: o, held: held, cache: cache}
}

// Observe tells the reader of a version that is known to be accepted, for
// example from a peer.
func (r *Reader) Observe(v config.Version) {
	for {
		k := r.known.Load()
		if k != nil && !v.Newer(*k) || r.known.CompareAndSwap(k, &v) {
			return
		}
	}
}

// Known returns the newest version that the reader knows of.
func (r *Reader) Known() config.Version {
	v := r.held.Current().Version()
	if k := r.known.Load(); k != nil && k.Newer(v) {
		return *k
	}
	return v
}

// Head reads the head row, and nothing else. It returns a *HistoryError with
// ErrOlderHead or ErrOtherHistory, along with the head as read, when that does
// not go on from what is known.
//
// A newer head is not known by being read: only the log shows that it goes on
// from what is held. A restored backup whose numbers have run ahead would
// otherwise make the right history look old for as long as the process runs,
// and each change be refused, also after the right table is back.
func (r *Reader) Head(ctx context.Context) (Head, error) {
	known := r.Known()
	h, err := r.readHead(ctx)
	if err != nil {
		return h, err
	}
	switch {
	case known.Newer(h.Version):
		return h, &HistoryError{Platform: h.Version, Known: known, Err: ErrOlderHead}
	case h.Version.Number == known.Number && h.Version != known:
		return h, &HistoryError{Platform: h.Version, Known: known, Err: ErrOtherHistory}
	}
	return h, nil
}

func (r *Reader) readHead(ctx context.Context) (Head, error) {
	row, err := r.table.Get(ctx, platform.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return firstHead(), nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("command: read the head: %w", err)
	}
	return decodeHead(row)
}

// Log returns up to limit log rows after the given version number, oldest
// first, as they stand. Rows may be missing at both ends.
func (r *Reader) Log(ctx context.Context, after uint64, limit int) ([]*config.Delta, error) {
	rows, err := r.table.Scan(ctx, platform.LogPrefix, platform.LogKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("command: read the log: %w", err)
	}
	out := make([]*config.Delta, len(rows))
	for i, row := range rows {
		if out[i], err = decodeDelta(row); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Since returns up to limit deltas that lead on from v without a gap. It
// returns ErrCompacted when the log begins after v, and ErrOtherHistory when
// the log does not descend from v.
func (r *Reader) Since(ctx context.Context, v config.Version, limit int) ([]*config.Delta, error) {
	ds, err := r.Log(ctx, v.Number, limit)
	if err != nil {
		return nil, err
	}
	at := v
	for i, d := range ds {
		if d.To.Number > at.Number+1 {
			if i == 0 {
				return nil, ErrCompacted
			}
			return ds[:i], nil // a stale read left out a row
		}
		if d.From != at {
			return nil, &HistoryError{Platform: d.From, Known: at, Err: ErrOtherHistory}
		}
		at = d.To
	}
	return ds, nil
}

// Snapshot returns the snapshot of h. It reads the deltas since the newest
// snapshot at hand, or a snapshot object when the log no longer reaches back
// that far.
func (r *Reader) Snapshot(ctx context.Context, h Head) (*config.Snapshot, error) {
	s := r.nearest(h.Version)
	if s.Version().Number+1 < h.Floor {
		var err error
		if s, err = r.loadObject(ctx, h); err != nil {
			return nil, err
		}
	}
	s, err := r.advance(ctx, s, h.Version)
	if err != nil {
		return nil, err
	}
	r.cache.Add(s.Version(), s)
	r.Observe(s.Version())
	return s, nil
}

// Cached returns the snapshot with that number if it is at hand, or nil.
func (r *Reader) Cached(number uint64) *config.Snapshot {
	if s := r.held.Current(); s.Version().Number == number {
		return s
	}
	for _, v := range r.cache.Keys() {
		if v.Number == number {
			s, _ := r.cache.Peek(v)
			return s
		}
	}
	return nil
}

// nearest returns the newest snapshot at hand that is not newer than v.
func (r *Reader) nearest(v config.Version) *config.Snapshot {
	best := config.Empty()
	if s := r.held.Current(); !s.Version().Newer(v) {
		best = s
	}
	for _, s := range r.cache.Values() {
		if s.Version().Newer(best.Version()) && !s.Version().Newer(v) {
			best = s
		}
	}
	return best
}

// advance applies the log to s up to v.
func (r *Reader) advance(ctx context.Context, s *config.Snapshot, v config.Version) (*config.Snapshot, error) {
	for s.Version().Number < v.Number {
		missing := v.Number - s.Version().Number
		ds, err := r.Since(ctx, s.Version(), int(min(missing, logPage)))
		if err != nil {
			return nil, err
		}
		if len(ds) == 0 {
			return nil, ErrIncomplete
		}
		if s, err = config.ApplyAll(s, ds); err != nil {
			return nil, fmt.Errorf("command: apply the log: %w", err)
		}
	}
	if s.Version() != v {
		return nil, &HistoryError{Platform: v, Known: s.Version(), Err: ErrOtherHistory}
	}
	return s, nil
}

// loadObject reads the newest snapshot object that the log goes on from. A
// damaged one is passed over like one that is missing.
func (r *Reader) loadObject(ctx context.Context, h Head) (*config.Snapshot, error) {
	reason := ErrNoSnapshot
	for _, v := range h.Snapshots {
		if v.Number+1 < h.Floor {
			break
		}
		b, err := r.objects.Get(ctx, SnapshotName(v.Hash))
		if err != nil {
			reason = fmt.Errorf("%w: %s: %w", ErrNoSnapshot, v, err)
			continue
		}
		s, err := config.DecodeSnapshot(b)
		if err == nil && s.Version() == v {
			return s, nil
		}
		reason = fmt.Errorf("%w: %s is damaged", ErrNoSnapshot, v)
	}
	return nil, reason
}

// Lookup returns the recorded outcome of a command, or platform.ErrNotFound.
// Not found means that it has not taken effect so far. A copy that is still on
// its way can do so later; sending the command again settles it.
func (r *Reader) Lookup(ctx context.Context, id string) (Record, error) {
	row, err := r.table.Get(ctx, commandKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, r.confirmAbsent(ctx, id, err)
	}
	if err != nil {
		return Record{}, fmt.Errorf("command: read the outcome of %s: %w", id, err)
	}
	var rec Record
	if err := decodeRow(row, &rec); err != nil {
		return Record{}, err
	}
	return rec, nil
}

// confirmAbsent guards against a stale read, which would tell an operator that
// an accepted command is not there. A transaction is never stale. The platform
// takes none without a write, so this one deletes the row that its condition
// says is absent, which changes nothing.
func (r *Reader) confirmAbsent(ctx context.Context, id string, notFound error) error {
	key := commandKey(id)
	err := r.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: platform.Absent}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	if err == nil {
		return notFound
	}
	return fmt.Errorf("command: read the outcome of %s: %w", id, err)
}
