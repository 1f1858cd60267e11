package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Options say which lease to contend for and as whom.
type Options struct {
	// Name of the lease, without a slash.
	Name string
	// Holder names this process and must be its own: no other process, nor
	// this one after a restart, may ever use it. Add a random part.
	Holder string
	// Length is how long the lease lasts without a renewal.
	Length time.Duration
	// Clock may be the standard time.Now; it must not run backwards.
	Clock func() time.Time
}

// Contender tries to take one lease. It's not safe for concurrent use.
type Contender struct {
	table platform.Table
	o     Options
	key   string
	seen  sighting
}

// sighting is a state of the two rows and when it was first seen.
type sighting struct {
	fence, renewal uint64
	first          time.Time
}

// New returns a contender for the lease that o names.
func New(t platform.Table, o Options) *Contender {
	return &Contender{table: t, o: o, key: platform.LeasePrefix + o.Name}
}

// Acquire takes the lease if it's free, or if it has not been renewed for its
// length while this contender watched. Call it again and again, several times
// per length: each call takes one look. It returns a *HeldError (an ErrHeld)
// while another holds the lease.
//
// When the answer to the commit is lost, Acquire reads the row back. If that
// settles nothing it returns platform.ErrUnknown; a later call finds the
// contender's own name in the row and takes up the lease.
func (c *Contender) Acquire(ctx context.Context) (*Lease, error) {
	looked := c.o.Clock()
	fence, rec, err := c.readFence(ctx)
	if err != nil {
		return nil, err
	}
	if rec.Holder == c.o.Holder {
		return c.takeUp(ctx, fence, rec)
	}
	renewal, err := c.readRow(ctx, renewalKey(c.key))
	if err != nil {
		return nil, err
	}
	if until, held := c.heldUntil(rec, fence.Revision, renewal.Revision); held && looked.Before(until) {
		return nil, &HeldError{Name: c.o.Name, Holder: rec.Holder, Until: until}
	}
	return c.take(ctx, rec.Token+1, fence.Revision, renewal.Revision)
}

// heldUntil notes what was seen and returns when the lease may be taken, or
// false if nobody holds it.
//
// A first sighting counts from after its read and Acquire compares with the
// time from before the read, so slow reads never make the wait too short.
func (c *Contender) heldUntil(rec record, fence, renewal uint64) (time.Time, bool) {
	if rec.Holder == "" {
		return time.Time{}, false
	}
	if c.seen.first.IsZero() || c.seen.fence != fence || c.seen.renewal != renewal {
		c.seen = sighting{fence: fence, renewal: renewal, first: c.o.Clock()}
	}
	return c.seen.first.Add(rec.Length), true
}

// take commits this contender as the holder with a new token.
func (c *Contender) take(ctx context.Context, token, fence, renewal uint64) (*Lease, error) {
	sent := c.o.Clock()
	rec := record{Holder: c.o.Holder, Token: token, Length: c.o.Length}
	err := c.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{
			{Key: c.key, Revision: fence},
			{Key: renewalKey(c.key), Revision: renewal},
		},
		Writes: []platform.Write{
			{Key: c.key, Value: rec.encode()},
			{Key: renewalKey(c.key), Delete: true},
		},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil, c.faster()
	}
	if err != nil && !errors.Is(err, platform.ErrUnknown) {
		return nil, fmt.Errorf("lease: %s: %w", c.key, err)
	}
	return c.readBack(ctx, token, sent, err)
}

// readBack finds the revision that the commit gave the fence row, and whether
// the commit took effect if its answer was lost. Only this contender writes
// its name, so finding it there with this token proves that it did.
func (c *Contender) readBack(ctx context.Context, token uint64, sent time.Time, outcome error) (*Lease, error) {
	row, rec, err := c.readFence(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w, and reading back failed: %w", platform.ErrUnknown, err)
	}
	if rec.Holder == c.o.Holder && rec.Token == token {
		return c.lease(row, rec, sent), nil
	}
	if outcome == nil {
		// The read was stale, or another has taken it since. The next call
		// sees which.
		outcome = platform.ErrUnknown
	}
	return nil, fmt.Errorf("lease: %s: %w", c.key, outcome)
}

// takeUp resumes a lease that an earlier commit of this contender took, whose
// answer was lost. Its age is not known, so it's renewed at once.
func (c *Contender) takeUp(ctx context.Context, row platform.Row, rec record) (*Lease, error) {
	l := c.lease(row, rec, time.Time{})
	err := l.Renew(ctx)
	if errors.Is(err, ErrLost) {
		return nil, c.faster()
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// faster is for a row that is newer than the one that was read.
func (c *Contender) faster() error {
	return &HeldError{Name: c.o.Name, Holder: "another that was faster", Until: c.o.Clock()}
}

func (c *Contender) lease(row platform.Row, rec record, sent time.Time) *Lease {
	l := &Lease{
		table:  c.table,
		clock:  c.o.Clock,
		key:    c.key,
		token:  rec.Token,
		fence:  platform.Condition{Key: c.key, Revision: row.Revision},
		length: rec.Length,
	}
	lasts := sent.Add(rec.Length)
	l.lasts.Store(&lasts)
	return l
}

// readFence returns the fence row; Revision is platform.Absent if there is none.
func (c *Contender) readFence(ctx context.Context) (platform.Row, record, error) {
	row, err := c.readRow(ctx, c.key)
	if err != nil || row.Revision == platform.Absent {
		return row, record{}, err
	}
	rec, err := decode(row)
	return row, rec, err
}

func (c *Contender) readRow(ctx context.Context, key string) (platform.Row, error) {
	row, err := c.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, nil
	}
	if err != nil {
		return platform.Row{}, fmt.Errorf("lease: %s: %w", key, err)
	}
	return row, nil
}
