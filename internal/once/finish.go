package once

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// Finish stores the outcome of the run. Requests that joined on this node get it at once. Finish
// retries until ctx ends; after that this node keeps the outcome and Flush retries. Call it after
// the response was sent to the caller, with a separate context.
func (c *Claim) Finish(ctx context.Context, s StoredOutcome) error {
	if err := c.end(); err != nil {
		return err
	}
	if len(s.Body) > c.d.opts.MaxBody {
		s.Body, s.Truncated = nil, true
	}
	c.row.Outcome = &s
	c.d.publish(c.f, &s, false)
	u := &unstoredOutcome{nonce: c.row.Nonce, row: c.row}
	if err := c.d.store(ctx, c.f.key, u, c.localGuard); err != nil {
		c.d.retainOutcome(c.f, u, c.localGuard)
		return err
	}
	c.forgetFlight(&s)
	return nil
}

// forgetFlight removes the flight of a run that is recorded in the table.
func (c *Claim) forgetFlight(s *StoredOutcome) {
	if c.r.StoreDown == config.OnStoreDownLocalGuard {
		c.d.recent.add(c.f.key, c.r.Fingerprint, s)
	}
	c.d.forget(c.f)
}

// Lost ends the claim of a run whose outcome is unknown, because the backend server crashed or
// the connection broke after the first byte. Resends get "unknown", and the request never runs
// again. A local guard stays in this node's memory. Otherwise the row is marked, so that other
// nodes do not wait for the lease; if that write fails, they wait for it and then answer the
// same.
func (c *Claim) Lost(ctx context.Context) error {
	if err := c.end(); err != nil {
		return err
	}
	if c.localGuard {
		c.d.publish(c.f, nil, true)
		return nil
	}
	c.row.Lost = true
	value, err := c.row.encode()
	if err == nil {
		err = c.d.batcher.do(ctx, &item{write: platform.Write{Key: c.f.key, Value: value}})
	}
	c.forgetFlight(nil)
	return err
}

// Abandon releases the claim of a request that certainly did not run, so that the caller may
// resend it. If the platform does not confirm the removal, a resend to this node may run, and a
// resend to another node gets "unknown" until Flush succeeds.
func (c *Claim) Abandon(ctx context.Context) error {
	if err := c.end(); err != nil {
		return err
	}
	// Recorded before the removal is sent: a resend may read the row while the removal is in
	// flight.
	c.d.abandon(c.f.key, c.row.Nonce)
	err := c.d.removeClaim(ctx, c.f.key, c.row.Nonce)
	c.d.forget(c.f)
	return err
}

// store writes an outcome until it is confirmed or ctx ends. The row of a claim in the table is
// written without a condition: only the holder of the nonce writes to it until it has an outcome,
// and writing the same outcome twice is harmless, so a write whose response was lost is repeated.
// A local guard may have no row of its own and must not replace another claimant's.
func (d *Deduplicator) store(ctx context.Context, key string, u *unstoredOutcome, localGuard bool) error {
	value, err := u.row.encode()
	if err != nil {
		return err
	}
	a := &attempt{d: d, backoff: minBackoff}
	for {
		it := &item{write: platform.Write{Key: key, Value: value}}
		if localGuard {
			it.condition, err = d.localGuardCondition(ctx, key, u.nonce)
		}
		if err == nil {
			err = d.batcher.do(ctx, it)
		}
		var conflict *platform.ConflictError
		switch {
		case err == nil, errors.Is(err, errAlreadyStored):
			return nil
		case errors.Is(err, errOtherClaimant):
			return err
		case errors.As(err, &conflict):
			// The row changed since it was read; read it again.
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		a.sleep(ctx)
	}
}

// errOtherClaimant means that another claimant holds the row of a locally guarded key. Both ran
// the request, which a local guard cannot rule out.
var errOtherClaimant = errors.New("once: another claimant holds the row")

// errAlreadyStored means that a write of the outcome took effect although its response was lost.
var errAlreadyStored = errors.New("once: the outcome is stored")

func (d *Deduplicator) localGuardCondition(ctx context.Context, key, nonce string) (*platform.Condition, error) {
	got, err := d.opts.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return &platform.Condition{Key: key, Revision: platform.Absent}, nil
	}
	if err != nil {
		return nil, err
	}
	existing, err := decodeRow(got.Value)
	if err != nil || existing.Nonce != nonce {
		return nil, errOtherClaimant
	}
	if existing.Outcome != nil {
		return nil, errAlreadyStored
	}
	return &platform.Condition{Key: key, Revision: got.Revision}, nil
}

const (
	// maxLocalBody is the largest body kept for a local guard, in bytes. It bounds the memory of
	// MaxLocalKeys outcomes.
	maxLocalBody = 1 << 10
	// maxLocalBytes bounds the total size of the bodies of other outcomes that wait to be stored.
	maxLocalBytes = 8 << 20
)

// retainOutcome keeps the outcome on this node because the platform does not have it. Over the
// limit the outcome is dropped, and resends get "unknown" from the claim row. A local guard took
// its place before the run and is never dropped, but loses a large body. The body of any other
// outcome is kept whole: a write of it may be in flight, and the row must not end up with one of
// two versions.
func (d *Deduplicator) retainOutcome(f *flight, u *unstoredOutcome, localGuard bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.Unstored++
	size := len(u.row.Outcome.Body)
	switch {
	case localGuard && size > maxLocalBody:
		u.row.Outcome = truncateBody(u.row.Outcome)
		f.outcome = u.row.Outcome
	case !localGuard && (d.localKeys >= d.opts.MaxLocalKeys || d.localBytes+size > maxLocalBytes):
		d.recent.add(f.key, f.fingerprint, nil)
		d.forgetLocked(f)
		return
	case !localGuard:
		f.bytes = size
		d.localBytes += size
	}
	d.retain(f)
	f.unstored = u
}

// startLocalGuard records the claim of f on this node only. It reports false over MaxLocalKeys.
func (d *Deduplicator) startLocalGuard(f *flight) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localKeys >= d.opts.MaxLocalKeys {
		return false
	}
	d.retain(f)
	d.stats.LocalGuards++
	return true
}

// retain marks f as kept on this node. d.mu is held.
func (d *Deduplicator) retain(f *flight) {
	if !f.retained {
		f.retained = true
		d.localKeys++
	}
}

func (d *Deduplicator) abandon(key, nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.abandoned) >= d.opts.MaxLocalKeys {
		// The caller of the dropped claim may get "unknown" instead of a run.
		for other := range d.abandoned {
			delete(d.abandoned, other)
			break
		}
	}
	d.abandoned[abandoned{key, nonce}] = abandonTimes{since: d.opts.Now()}
}

// abandoned identifies a claim that was released without a run. A key may have several: each
// sending that is refused while the platform's responses get lost leaves one, and any of them may
// own the row.
type abandoned struct{ key, nonce string }

// abandonTimes holds when a claim was abandoned and when its row is checked next.
type abandonTimes struct{ since, nextCheck time.Time }

func (d *Deduplicator) wasAbandoned(key, nonce string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.abandoned[abandoned{key, nonce}]
	return ok
}

// removeClaim removes the row of an abandoned claim, if it exists.
func (d *Deduplicator) removeClaim(ctx context.Context, key, nonce string) error {
	got, err := d.opts.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		// The row may still appear if its write is in flight or this read is stale. The claim
		// stays in abandoned, and Flush checks again.
		return nil
	}
	if err != nil {
		return err
	}
	existing, err := decodeRow(got.Value)
	if err != nil {
		return err
	}
	if existing.Outcome != nil {
		d.forgetAbandoned(key, nonce)
		return nil
	}
	if existing.Nonce != nonce {
		// Another claim holds the row. If that one is abandoned too, an in-flight write of this
		// claim would find no row, so this claim stays recorded.
		return nil
	}
	return d.removeRow(ctx, got)
}

func (d *Deduplicator) removeRow(ctx context.Context, got platform.Row) error {
	return d.batcher.do(ctx, &item{
		condition: &platform.Condition{Key: got.Key, Revision: got.Revision},
		write:     platform.Write{Key: got.Key, Delete: true},
		urgent:    true,
	})
}

func (d *Deduplicator) forgetAbandoned(key, nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.abandoned, abandoned{key, nonce})
}
