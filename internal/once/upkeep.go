package once

import (
	"context"
	"errors"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/platform"
)

// releasedFor is how long a given-up claim is remembered after its removal
// seemed done. A write that was under way, or hidden by a stale read, must have
// shown by then.
const releasedFor = 10 * time.Minute

// flushBound bounds one Flush, so that a caller with other work to do between
// two of them is not held up while the platform is down. A slow transaction
// fits in it.
const flushBound = 2 * commitTimeout

// Flush tries again to store the outcomes that the platform does not have and
// to remove the claims that were given up. Call it every few seconds.
func (k *Deduplicator) Flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushBound)
	defer cancel()
	err := errors.Join(k.flushOutcomes(ctx), k.flushReleased(ctx))
	k.dropOld()
	return err
}

// flushOutcomes stores as many outcomes at a time as share a transaction.
//
// It guards against second runs after an outage. What this node alone remembers
// dies with its VM; stored one after another, each waiting for others to share
// its transaction, most of it would be lost in a planned stop.
func (k *Deduplicator) flushOutcomes(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxBatchRows)
	for f, u := range k.unsavedFlights() {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error { return k.flushOutcome(ctx, f, u) })
	}
	return g.Wait()
}

func (k *Deduplicator) flushOutcome(ctx context.Context, f *flight, u *unsavedOutcome) error {
	err := k.store(ctx, f.key, u, true)
	if err == nil || errors.Is(err, errTaken) {
		k.recent.add(f.key, f.fingerprint, u.row.Outcome)
		k.leave(f)
	}
	return err
}

func (k *Deduplicator) flushReleased(ctx context.Context) error {
	var errs []error
	now := k.o.Now()
	for r, times := range k.releasedClaims() {
		if now.Before(times.next) {
			continue
		}
		err := k.unclaim(ctx, r.key, r.nonce)
		if err == nil {
			k.looked(now, r)
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
}

// looked notes that no row of a given-up claim stands now. The next look comes
// after as long again: looking at every Flush, the nodes of the mesh would read
// the claims of one outage more often than the platform can answer.
func (k *Deduplicator) looked(now time.Time, r released) {
	k.mu.Lock()
	defer k.mu.Unlock()
	times, ok := k.released[r]
	if !ok {
		return
	}
	age := now.Sub(times.since)
	if age > releasedFor {
		delete(k.released, r)
		return
	}
	times.next = now.Add(age)
	k.released[r] = times
}

func (k *Deduplicator) unsavedFlights() map[*flight]*unsavedOutcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[*flight]*unsavedOutcome)
	for _, f := range k.flights {
		if f.unsaved != nil {
			out[f] = f.unsaved
		}
	}
	return out
}

func (k *Deduplicator) releasedClaims() map[released]givenUp {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.released)
}

// dropOld forgets what is older than Retention.
func (k *Deduplicator) dropOld() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	for _, f := range k.flights {
		if f.kept && now.Sub(f.since) > k.o.Retention {
			k.drop(f)
		}
	}
}

// Trim removes up to limit rows older than Retention that follow after in key order,
// in one scan and at most two transactions. It returns where to go on, which is
// empty at the end of the table. One node at a time should call it, at a slow
// pace; two that do only meet conflicts.
func (k *Deduplicator) Trim(ctx context.Context, after string, limit int) (next string, removed int, err error) {
	rows, err := k.o.Table.Scan(ctx, platform.OncePrefix, after, limit)
	if err != nil {
		return after, 0, err
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key
	}
	old := k.expired(rows)
	if len(old) == 0 {
		return next, 0, nil
	}
	err = k.o.Table.Commit(ctx, removal(old))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		old = without(old, conflict.Keys)
		if len(old) == 0 {
			return next, 0, nil
		}
		err = k.o.Table.Commit(ctx, removal(old))
	}
	if err != nil {
		return after, 0, err
	}
	return next, len(old), nil
}

func (k *Deduplicator) expired(rows []platform.Row) []platform.Row {
	now := k.o.Now()
	var old []platform.Row
	for _, r := range rows {
		v, err := decodeRow(r.Value)
		if err == nil && now.Sub(v.claimedAt()) > k.o.Retention {
			old = append(old, r)
		}
	}
	return old
}

func removal(rows []platform.Row) platform.Txn {
	var t platform.Txn
	for _, r := range rows {
		t.Conditions = append(t.Conditions, platform.Condition{Key: r.Key, Revision: r.Revision})
		t.Writes = append(t.Writes, platform.Write{Key: r.Key, Delete: true})
	}
	return t
}

func without(rows []platform.Row, keys []string) []platform.Row {
	gone := make(map[string]bool, len(keys))
	for _, key := range keys {
		gone[key] = true
	}
	var out []platform.Row
	for _, r := range rows {
		if !gone[r.Key] {
			out = append(out, r)
		}
	}
	return out
}
