package once

import (
	"context"
	"errors"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/platform"
)

// abandonedRetention is how long an abandoned claim is remembered. A write that was in flight, or
// hidden by a stale read, must have appeared by then.
const abandonedRetention = 10 * time.Minute

// flushTimeout bounds one Flush, so that a caller with other work is not held up while the
// platform is down. A slow transaction fits in it.
const flushTimeout = 2 * commitTimeout

// Flush retries to store the outcomes that the platform does not have and to remove the rows of
// abandoned claims. Call it every few seconds.
func (d *Deduplicator) Flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	err := errors.Join(d.flushOutcomes(ctx), d.flushAbandoned(ctx))
	d.forgetExpired()
	return err
}

// flushOutcomes stores up to maxBatchRows outcomes concurrently, so that they share transactions.
//
// Outcomes that only this node holds are lost with its VM, and their resends would run a second
// time. Stored one by one, each after its own linger time, most would be lost in a planned stop
// after an outage.
func (d *Deduplicator) flushOutcomes(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxBatchRows)
	for f, u := range d.unstoredFlights() {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error { return d.flushOutcome(ctx, f, u) })
	}
	return g.Wait()
}

func (d *Deduplicator) flushOutcome(ctx context.Context, f *flight, u *unstoredOutcome) error {
	err := d.store(ctx, f.key, u, true)
	if err == nil || errors.Is(err, errOtherClaimant) {
		d.recent.add(f.key, f.fingerprint, u.row.Outcome)
		d.forget(f)
	}
	return err
}

func (d *Deduplicator) flushAbandoned(ctx context.Context) error {
	var errs []error
	now := d.opts.Now()
	for r, times := range d.abandonedClaims() {
		if now.Before(times.nextCheck) {
			continue
		}
		err := d.removeClaim(ctx, r.key, r.nonce)
		if err == nil {
			d.scheduleNextCheck(now, r)
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
}

// scheduleNextCheck records that no row of an abandoned claim exists now. The interval between
// checks doubles: with a check on every Flush, the nodes of the mesh would read the claims of one
// outage more often than the platform can answer.
func (d *Deduplicator) scheduleNextCheck(now time.Time, r abandoned) {
	d.mu.Lock()
	defer d.mu.Unlock()
	times, ok := d.abandoned[r]
	if !ok {
		return
	}
	age := now.Sub(times.since)
	if age > abandonedRetention {
		delete(d.abandoned, r)
		return
	}
	times.nextCheck = now.Add(age)
	d.abandoned[r] = times
}

func (d *Deduplicator) unstoredFlights() map[*flight]*unstoredOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[*flight]*unstoredOutcome)
	for _, f := range d.flights {
		if f.unstored != nil {
			out[f] = f.unstored
		}
	}
	return out
}

func (d *Deduplicator) abandonedClaims() map[abandoned]abandonTimes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.abandoned)
}

// forgetExpired removes retained flights older than Retention.
func (d *Deduplicator) forgetExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	for _, f := range d.flights {
		if f.retained && now.Sub(f.since) > d.opts.Retention {
			d.forgetLocked(f)
		}
	}
}

// Trim removes up to limit rows older than Retention whose keys follow after, in one scan and at
// most two transactions. It returns the key to continue from, which is empty at the end of the
// table. One node at a time should call it, at a slow pace; concurrent calls only conflict.
func (d *Deduplicator) Trim(ctx context.Context, after string, limit int) (next string, removed int, err error) {
	rows, err := d.opts.Table.Scan(ctx, platform.OncePrefix, after, limit)
	if err != nil {
		return after, 0, err
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key
	}
	old := d.expired(rows)
	if len(old) == 0 {
		return next, 0, nil
	}
	err = d.opts.Table.Commit(ctx, removal(old))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		old = without(old, conflict.Keys)
		if len(old) == 0 {
			return next, 0, nil
		}
		err = d.opts.Table.Commit(ctx, removal(old))
	}
	if err != nil {
		return after, 0, err
	}
	return next, len(old), nil
}

func (d *Deduplicator) expired(rows []platform.Row) []platform.Row {
	now := d.opts.Now()
	var old []platform.Row
	for _, r := range rows {
		v, err := decodeRow(r.Value)
		if err == nil && now.Sub(v.claimedAt()) > d.opts.Retention {
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
