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
	if len(s.Body) > c.k.o.MaxBody {
		s.Body, s.Truncated = nil, true
	}
	c.row.Outcome = &s
	c.k.settle(c.f, &s, false)
	u := &unsavedOutcome{nonce: c.row.Nonce, row: c.row}
	if err := c.k.store(ctx, c.f.key, u, c.guard); err != nil {
		c.k.remember(c.f, u, c.guard)
		return err
	}
	c.ended(&s)
	return nil
}

// ended forgets the flight of a run that the table knows of.
func (c *Claim) ended(s *StoredOutcome) {
	if c.r.StoreDown == config.OnStoreDownLocalGuard {
		c.k.recent.add(c.f.key, c.r.Fingerprint, s)
	}
	c.k.leave(c.f)
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
	if c.guard {
		c.k.settle(c.f, nil, true)
		return nil
	}
	c.row.Lost = true
	value, err := c.row.encode()
	if err == nil {
		err = c.k.batcher.do(ctx, &item{write: platform.Write{Key: c.f.key, Value: value}})
	}
	c.ended(nil)
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
	c.k.release(c.f.key, c.row.Nonce)
	err := c.k.unclaim(ctx, c.f.key, c.row.Nonce)
	c.k.leave(c.f)
	return err
}

// store writes an outcome until it is confirmed or ctx ends. A row of a claim
// that is held is written without a condition: only the holder of the nonce
// writes to it until it has an outcome, and writing the same outcome twice is
// harmless, so a write whose answer was lost is simply sent again. A guard has
// no row of its own for certain and must not replace another's.
func (k *Deduplicator) store(ctx context.Context, key string, u *unsavedOutcome, guard bool) error {
	value, err := u.row.encode()
	if err != nil {
		return err
	}
	a := &attempt{k: k, pause: minPause}
	for {
		it := &item{write: platform.Write{Key: key, Value: value}}
		if guard {
			it.condition, err = k.guardCondition(ctx, key, u.nonce)
		}
		if err == nil {
			err = k.batcher.do(ctx, it)
		}
		var conflict *platform.ConflictError
		switch {
		case err == nil, errors.Is(err, errStored):
			return nil
		case errors.Is(err, errTaken):
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

// errTaken means that another claimant holds the row of a guard's key: both
// ran the request, which is what a guard cannot rule out.
var errTaken = errors.New("once: another claimant holds the row")

// errStored means that a write of the outcome took effect though its answer was
// lost.
var errStored = errors.New("once: the outcome is stored")

func (k *Deduplicator) guardCondition(ctx context.Context, key, nonce string) (*platform.Condition, error) {
	got, err := k.o.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return &platform.Condition{Key: key, Revision: platform.Absent}, nil
	}
	if err != nil {
		return nil, err
	}
	stands, err := decodeRow(got.Value)
	if err != nil || stands.Nonce != nonce {
		return nil, errTaken
	}
	if stands.Outcome != nil {
		return nil, errStored
	}
	return &platform.Condition{Key: key, Revision: got.Revision}, nil
}

const (
	// maxKeptBody is the largest body that a guard remembers, so that
	// MaxLocalKeys outcomes fit its memory.
	maxKeptBody = 1 << 10
	// maxKeptBytes bounds the bodies of other outcomes that wait to be stored.
	maxKeptBytes = 8 << 20
)

// remember keeps the outcome at this node because the platform does not have
// it. Without room the outcome is dropped, and repeats are told "unknown" by
// the claim row. A guard always has room, because it took it before the run,
// but loses a large body. The body of another outcome is kept whole: a write of
// it may still be under way, and the row must not end up with either of two.
func (k *Deduplicator) remember(f *flight, u *unsavedOutcome, guard bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Unstored++
	size := len(u.row.Outcome.Body)
	switch {
	case guard && size > maxKeptBody:
		u.row.Outcome = withinMemory(u.row.Outcome)
		f.outcome = u.row.Outcome
	case !guard && (k.held >= k.o.MaxLocalKeys || k.heldBytes+size > maxKeptBytes):
		k.recent.add(f.key, f.fingerprint, nil)
		k.drop(f)
		return
	case !guard:
		f.bytes = size
		k.heldBytes += size
	}
	k.keep(f)
	f.unsaved = u
}

// guard takes room to remember f at this node only.
func (k *Deduplicator) guard(f *flight) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held >= k.o.MaxLocalKeys {
		return false
	}
	k.keep(f)
	k.stats.LocalGuards++
	return true
}

// keep marks f as remembered. k.mu is held.
func (k *Deduplicator) keep(f *flight) {
	if !f.kept {
		f.kept = true
		k.held++
	}
}

func (k *Deduplicator) release(key, nonce string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.released) >= k.o.MaxLocalKeys {
		// Dropping one costs its caller an "unknown" in place of a run.
		for other := range k.released {
			delete(k.released, other)
			break
		}
	}
	k.released[released{key, nonce}] = givenUp{since: k.o.Now()}
}

// released names a claim that was given up without a run. A key may have several:
// each sending of a request that is refused while answers of the platform get
// lost leaves one, and the row of any may be the one that stands.
type released struct{ key, nonce string }

// givenUp is when a claim was given up and when its row is looked for next.
type givenUp struct{ since, next time.Time }

func (k *Deduplicator) wasReleased(key, nonce string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.released[released{key, nonce}]
	return ok
}

// unclaim removes the row of a claim that was given up, if it stands.
func (k *Deduplicator) unclaim(ctx context.Context, key, nonce string) error {
	got, err := k.o.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		// The row may yet appear if its write is under way, or this read
		// is stale. It stays in released and Flush looks again.
		return nil
	}
	if err != nil {
		return err
	}
	stands, err := decodeRow(got.Value)
	if err != nil {
		return err
	}
	if stands.Outcome != nil {
		k.forgetReleased(key, nonce)
		return nil
	}
	if stands.Nonce != nonce {
		// Another claim was first. Should that one be given up too, the
		// write of this one, still under way, would meet no row.
		return nil
	}
	return k.removeReleased(ctx, got)
}

func (k *Deduplicator) removeReleased(ctx context.Context, got platform.Row) error {
	return k.batcher.do(ctx, &item{
		condition: &platform.Condition{Key: got.Key, Revision: got.Revision},
		write:     platform.Write{Key: got.Key, Delete: true},
		urgent:    true,
	})
}

func (k *Deduplicator) forgetReleased(key, nonce string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.released, released{key, nonce})
}
