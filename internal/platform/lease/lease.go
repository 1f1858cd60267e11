// Package lease lets one process at a time do a piece of work, by means of the
// platform's table.
//
// A lease has two rows. The fence row, lease/NAME, says who holds it and with
// which fencing token; it changes only when the lease is taken or given back.
// The renewal row, lease/NAME/renewal, changes whenever the holder renews.
//
// # Safety
//
// Every write of the holder carries Lease.Condition, which asks that the fence
// row still be the one that the holder wrote. Taking the lease changes that
// row, so from that very commit on every write of an earlier holder fails with
// a conflict, however long it was paused, and whatever any clock says. Renewals
// leave the fence row alone, so they never disturb the holder's own writes.
//
// # Time
//
// Clocks only decide when it's polite to take a lease from a holder that seems
// gone. No time of another machine is read: the rows hold a length, not an
// expiry. A contender remembers when, by its own clock, it first saw the two
// rows at their present revisions; if it sees them so again after the lease's
// length, nobody has renewed for at least that long. Its commit asks for both
// revisions, so a stale read or a renewal in the last moment makes it fail.
// The holder in turn counts its time from before it sent its last successful
// renewal. Clocks that run at different speeds make a lease change hands too
// early or too late; they never let two holders write.
package lease

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Errors of this package. Failures of the platform are wrapped, so that
// errors.Is finds platform.ErrUnavailable and platform.ErrUnknown.
var (
	// ErrHeld means that another process holds the lease.
	ErrHeld = errors.New("lease: held by another")
	// ErrLost means that this process no longer holds the lease.
	ErrLost = errors.New("lease: lost")
)

// HeldError tells who holds the lease. It is an ErrHeld.
type HeldError struct {
	Name   string
	Holder string
	// Until is the earliest time, by the contender's clock, at which it may
	// take the lease if it isn't renewed.
	Until time.Time
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease: %s is held by %s", e.Name, e.Holder)
}

// Is reports whether target is ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// Lease is a lease that was taken. It's safe for concurrent use.
type Lease struct {
	table    platform.Table
	clock    func() time.Time
	key      string
	token    uint64
	fence    platform.Condition
	length   time.Duration
	lasts    atomic.Pointer[time.Time]
	released atomic.Bool
}

// Token returns the fencing token. It's larger than those of all earlier
// holders.
func (l *Lease) Token() uint64 { return l.token }

// Condition returns the condition that every write of the holder must carry.
// It holds until another process takes the lease.
func (l *Lease) Condition() platform.Condition { return l.fence }

// Valid reports whether the lease lasts, as far as the holder's clock can
// tell. It spares the holder useless work; only Condition makes a write safe.
func (l *Lease) Valid() bool { return !l.released.Load() && l.clock().Before(l.Expiry()) }

// Expiry returns when the lease runs out by the holder's clock.
func (l *Lease) Expiry() time.Time { return *l.lasts.Load() }

// Renew makes the lease last for its length from now. After ErrLost the holder
// must stop. After any other error it still holds the lease until Expiry, and
// may renew again: a renewal that took effect twice does no harm.
func (l *Lease) Renew(ctx context.Context) error {
	if l.released.Load() {
		return ErrLost
	}
	sent := l.clock()
	err := l.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{l.fence},
		Writes:     []platform.Write{{Key: renewalKey(l.key)}},
	})
	if err := l.lostOr(err); err != nil {
		return err
	}
	l.extend(sent.Add(l.length))
	return nil
}

// Release gives the lease back, so that others need not wait. After an error
// it runs out by itself.
func (l *Lease) Release(ctx context.Context) error {
	if l.released.Swap(true) {
		return nil
	}
	free := record{Token: l.token, Length: l.length}
	err := l.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{l.fence},
		Writes: []platform.Write{
			{Key: l.key, Value: free.encode()},
			{Key: renewalKey(l.key), Delete: true},
		},
	})
	return l.lostOr(err)
}

// lostOr turns a conflict on the fence row into ErrLost.
func (l *Lease) lostOr(err error) error {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return ErrLost
	}
	if err != nil {
		return fmt.Errorf("lease: %s: %w", l.key, err)
	}
	return nil
}

// extend moves the expiry, never back: renewals may end out of order.
func (l *Lease) extend(to time.Time) {
	for {
		now := l.lasts.Load()
		if !to.After(*now) || l.lasts.CompareAndSwap(now, &to) {
			return
		}
	}
}
