package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
)

const length = 10 * time.Second

// clock is a clock that tests move.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1_000_000, 0)} }

func (c *clock) read() time.Time         { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func contend(s platform.Table, holder string, c *clock) *Contender {
	return New(s, Options{Name: "compaction", Holder: holder, Length: length, Clock: c.read})
}

func acquire(t *testing.T, c *Contender) *Lease {
	t.Helper()
	l, err := c.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func wantHeld(t *testing.T, c *Contender) {
	t.Helper()
	if _, err := c.Acquire(t.Context()); !errors.Is(err, ErrHeld) {
		t.Fatalf("got %v, want ErrHeld", err)
	}
}

func write(l *Lease, s *fake.Store) error {
	return s.Table().Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{l.Condition()},
		Writes:     []platform.Write{{Key: "work"}},
	})
}

// A holder stops for longer than its lease, say in a live migration of its VM,
// and wakes up in the middle of its work, sure that it still holds the lease.
// Meanwhile another has taken it. The first one's write must fail, and must
// not disturb the second.
func TestPausedHolderLosesHarmlessly(t *testing.T) {
	s, c := fake.New(), newClock()
	first, second := contend(s.Table(), "a", c), contend(s.Table(), "b", c)
	old := acquire(t, first)
	wantHeld(t, second)
	c.advance(length)
	now := acquire(t, second)
	if now.Token() != old.Token()+1 {
		t.Errorf("tokens %d and %d", old.Token(), now.Token())
	}
	var conflict *platform.ConflictError
	if err := write(old, s); !errors.As(err, &conflict) {
		t.Errorf("the old holder's write: %v", err)
	}
	if err := old.Renew(t.Context()); !errors.Is(err, ErrLost) {
		t.Errorf("the old holder's renewal: %v", err)
	}
	if err := old.Release(t.Context()); !errors.Is(err, ErrLost) {
		t.Errorf("the old holder's release: %v", err)
	}
	if err := write(now, s); err != nil || old.Valid() || !now.Valid() {
		t.Errorf("the new holder's write: %v", err)
	}
}

func TestRenewedLeaseStays(t *testing.T) {
	s, c := fake.New(), newClock()
	l, other := acquire(t, contend(s.Table(), "a", c)), contend(s.Table(), "b", c)
	condition := l.Condition()
	for range 10 {
		wantHeld(t, other)
		c.advance(length / 2)
		if err := l.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if l.Condition() != condition {
		t.Error("a renewal changed the condition of writes that are under way")
	}
	if err := write(l, s); err != nil || !l.Valid() {
		t.Errorf("got %v, valid %v", err, l.Valid())
	}
	if err := l.Release(t.Context()); err != nil || l.Valid() {
		t.Errorf("got %v", err)
	}
	if got := acquire(t, other); got.Token() != 2 {
		t.Errorf("token %d after the release", got.Token())
	}
}

// The contender has waited long enough and is about to commit. In that very
// moment the holder, which was only slow, renews. If the take-over won, a
// holder that is alive would lose its lease in the middle of its work.
func TestRenewalInTheLastMomentWins(t *testing.T) {
	s, c := fake.New(), newClock()
	l := acquire(t, contend(s.Table(), "a", c))
	other := contend(&hooked{Table: s.Table()}, "b", c)
	wantHeld(t, other)
	c.advance(length)
	other.table.(*hooked).before = func() {
		if err := l.Renew(t.Context()); err != nil {
			t.Error(err)
		}
	}
	wantHeld(t, other)
	if err := write(l, s); err != nil {
		t.Error(err)
	}
}

// hooked calls before ahead of each commit.
type hooked struct {
	platform.Table
	before func()
}

func (h *hooked) Commit(ctx context.Context, t platform.Txn) error {
	h.before()
	return h.Table.Commit(ctx, t)
}

// The answer to Acquire is lost. If the contender took that for a failure, it
// would wait out its own lease; if it took it for success without reading
// back, it could work without holding anything.
func TestLostAnswerOfAcquire(t *testing.T) {
	s, c := fake.New(), newClock()
	first := contend(s.Table(), "a", c)
	s.LoseNext(1)
	l := acquire(t, first)
	if err := write(l, s); err != nil || l.Token() != 1 {
		t.Errorf("token %d, %v", l.Token(), err)
	}
	if err := l.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Now the read that follows sees an old state as well.
	s.Change(func(w *fake.Switches) { w.LoseNext, w.StaleRevisions = 1, 1 })
	if _, err := first.Acquire(t.Context()); !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, ErrHeld) {
		t.Errorf("got %v", err)
	}
	s.Set(fake.Switches{})
	l = acquire(t, first)
	if err := write(l, s); err != nil || !l.Valid() {
		t.Errorf("valid %v, %v", l.Valid(), err)
	}
}

func TestAcquirePassesThePlatformsErrorsOn(t *testing.T) {
	s, c := fake.New(), newClock()
	s.Down(true)
	if _, err := contend(s.Table(), "a", c).Acquire(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
	s.Down(false)
	l := acquire(t, contend(s.Table(), "a", c))
	s.Down(true)
	if err := l.Renew(t.Context()); !errors.Is(err, platform.ErrUnavailable) || !l.Valid() {
		t.Errorf("got %v, valid %v", err, l.Valid())
	}
}
