package once

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// Finish stores the outcome of the run. Those who joined on this node get it at
// once. It keeps trying until ctx ends; after that the outcome is remembered at
// this node, and Flush tries again. Finish is meant to be called after the
// answer went to the caller, with a context of its own.
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

// forgetFlight forgets the flight of a run that the table knows of.
func (c *Claim) forgetFlight(s *StoredOutcome) {
	if c.r.StoreDown == config.OnStoreDownLocalGuard {
		c.d.recent.add(c.f.key, c.r.Fingerprint, s)
	}
	c.d.forget(c.f)
}

// Lost ends the claim of a run whose outcome is not known, because the backend
// server died or the connection broke after the first byte. Repeats are told
// "unknown", and the request never runs again. A guard stays remembered here; a
// claim has its row, which tells the other nodes not to wait for the lease. If
// that write fails, they wait and are told the same.
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

// Abandon gives the claim up after a run that is proved not to have happened,
// so that the caller may send the request again. If the platform does not
// confirm it, a resend that reaches this node may run, and one that reaches
// another is told "unknown" until Flush succeeds.
func (c *Claim) Abandon(ctx context.Context) error {
	if err := c.end(); err != nil {
		return err
	}
	// Remembered before anything is sent: a resend may meet the row while
	// its removal is under way.
	c.d.abandon(c.f.key, c.row.Nonce)
	err := c.d.removeClaim(ctx, c.f.key, c.row.Nonce)
	c.d.forget(c.f)
	return err
}

// store writes an outcome until it is confirmed or ctx ends. A row of a claim
// that is held is written without a condition: only the holder of the nonce
// writes to it until it has an outcome, and writing the same outcome twice is
// harmless, so a write whose answer was lost is simply sent again. A guard has
// no row of its own for certain and must not replace another's.
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

// errOtherClaimant means that another claimant holds the row of a guard's key: both
// ran the request, which is what a guard cannot rule out.
var errOtherClaimant = errors.New("once: another claimant holds the row")

// errAlreadyStored means that a write of the outcome took effect though its answer was
// lost.
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
	// maxLocalBody is the largest body that a guard remembers, so that
	// MaxLocalKeys outcomes fit its memory.
	maxLocalBody = 1 << 10
	// maxLocalBytes bounds the bodies of other outcomes that wait to be stored.
	maxLocalBytes = 8 << 20
)

// retainOutcome keeps the outcome at this node because the platform does not have
// it. Without room the outcome is dropped, and repeats are told "unknown" by
// the claim row. A guard always has room, because it took it before the run,
// but loses a large body. The body of another outcome is kept whole: a write of
// it may still be under way, and the row must not end up with either of two.
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

// startLocalGuard takes room to remember f at this node only.
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

// retain marks f as remembered. d.mu is held.
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
		// Dropping one costs its caller an "unknown" in place of a run.
		for other := range d.abandoned {
			delete(d.abandoned, other)
			break
		}
	}
	d.abandoned[abandoned{key, nonce}] = abandonTimes{since: d.opts.Now()}
}

// abandoned names a claim that was given up without a run. A key may have several:
// each sending of a request that is refused while answers of the platform get
// lost leaves one, and the row of any may be the one that stands.
type abandoned struct{ key, nonce string }

// abandonTimes is when a claim was given up and when its row is looked for next.
type abandonTimes struct{ since, nextCheck time.Time }

func (d *Deduplicator) wasAbandoned(key, nonce string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.abandoned[abandoned{key, nonce}]
	return ok
}

// removeClaim removes the row of a claim that was given up, if it stands.
func (d *Deduplicator) removeClaim(ctx context.Context, key, nonce string) error {
	got, err := d.opts.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		// The row may yet appear if its write is under way, or this read
		// is stale. It stays in released and Flush looks again.
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
		// Another claim was first. Should that one be given up too, the
		// write of this one, still under way, would meet no row.
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
