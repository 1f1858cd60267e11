package once

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Limits of one transaction.
const (
	maxBatchRows  = 64
	maxBatchBytes = 512 << 10
	// commitTimeout bounds one transaction. A transaction carries the writes of many requests, so
	// no request's deadline may cancel it.
	commitTimeout = 5 * time.Second
)

// item is a write to one row, with at most one condition, on that row.
type item struct {
	condition *platform.Condition
	write     platform.Write
	// urgent items are sent at once when no transaction is in flight. Other items wait up to the
	// linger time for a transaction to share.
	urgent bool
	result chan error
}

// batcher commits the items of one node in groups: one transaction is in flight at a time, and
// items that arrive meanwhile form the next one.
type batcher struct {
	table  platform.Table
	linger time.Duration
	writes atomic.Uint64 // transactions sent
	// unbatched sends each item at once in its own transaction. Tests use it as the baseline for
	// group commit.
	unbatched bool

	mu         sync.Mutex
	pending    []*item
	committing bool
	timer      *time.Timer
}

func newBatcher(t platform.Table, linger time.Duration) *batcher {
	return &batcher{table: t, linger: linger}
}

// errNotSent is returned for an item that was withdrawn before it was sent.
var errNotSent = fmt.Errorf("%w: the context ended before the write was sent", platform.ErrUnavailable)

// do commits an item. When ctx ends first, the error is platform.ErrUnavailable if the item was
// not sent and platform.ErrUnknown if it was.
func (b *batcher) do(ctx context.Context, it *item) error {
	if ctx.Err() != nil {
		return errNotSent
	}
	it.result = make(chan error, 1)
	b.mu.Lock()
	b.pending = append(b.pending, it)
	b.sendIfReady()
	b.mu.Unlock()
	select {
	case err := <-it.result:
		return err
	case <-ctx.Done():
	}
	if b.withdraw(it) {
		return errNotSent
	}
	select {
	case err := <-it.result:
		return err
	default:
		return platform.ErrUnknown
	}
}

func (b *batcher) withdraw(it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.pending {
		if p == it {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return true
		}
	}
	return false
}

// sendIfReady sends the pending items, at once or after the linger time. b.mu is held.
func (b *batcher) sendIfReady() {
	if len(b.pending) == 0 || (b.committing && !b.unbatched) {
		return
	}
	if b.anyUrgent() || len(b.pending) >= maxBatchRows || b.linger <= 0 || b.unbatched {
		b.send()
		return
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(b.linger, b.lingerExpired)
	}
}

func (b *batcher) lingerExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	if !b.committing && len(b.pending) > 0 {
		b.send()
	}
}

func (b *batcher) anyUrgent() bool {
	for _, it := range b.pending {
		if it.urgent {
			return true
		}
	}
	return false
}

// send starts a transaction with the next batch. b.mu is held.
func (b *batcher) send() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	batch := b.nextBatch()
	b.committing = true
	go func() {
		b.commit(batch)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.committing = false
		b.sendIfReady()
	}()
}

// nextBatch removes the next batch from pending. It holds each row at most once, because two
// writes to a row in one transaction have no order.
func (b *batcher) nextBatch() []*item {
	var batch, rest []*item
	size := 0
	rows := make(map[string]bool)
	for _, it := range b.pending {
		full := len(batch) >= maxBatchRows || (size > 0 && size+len(it.write.Value) > maxBatchBytes)
		if full || rows[it.write.Key] {
			rest = append(rest, it)
			continue
		}
		rows[it.write.Key] = true
		size += len(it.write.Value)
		batch = append(batch, it)
	}
	b.pending = rest
	return batch
}

// commit writes the batch. Items whose condition fails get the conflict, and the others are sent
// again without them, so a duplicate request does not delay other requests.
func (b *batcher) commit(batch []*item) {
	for len(batch) > 0 {
		err := b.transact(batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			deliver(batch, err)
			return
		}
		failed, rest := splitConflicting(batch, conflict.Keys)
		if len(failed) == 0 {
			deliver(batch, fmt.Errorf("%w: conflict on rows outside the transaction", platform.ErrUnavailable))
			return
		}
		deliver(failed, conflict)
		batch = rest
	}
}

func (b *batcher) transact(batch []*item) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var t platform.Txn
	for _, it := range batch {
		if it.condition != nil {
			t.Conditions = append(t.Conditions, *it.condition)
		}
		t.Writes = append(t.Writes, it.write)
	}
	b.writes.Add(1)
	return b.table.Commit(ctx, t)
}

func deliver(items []*item, err error) {
	for _, it := range items {
		it.result <- err
	}
}

func splitConflicting(batch []*item, keys []string) (failed, rest []*item) {
	conflicting := make(map[string]bool, len(keys))
	for _, k := range keys {
		conflicting[k] = true
	}
	for _, it := range batch {
		if conflicting[it.write.Key] {
			failed = append(failed, it)
			continue
		}
		rest = append(rest, it)
	}
	return failed, rest
}
