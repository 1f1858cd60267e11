package fake

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

func set(t *testing.T, s *Store, key, value string) {
	t.Helper()
	if err := commit(s, key, value); err != nil {
		t.Fatal(err)
	}
}

func commit(s *Store, key, value string) error {
	return s.Table().Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}})
}

func want(t *testing.T, s *Store, key, value string) {
	t.Helper()
	row, err := s.Table().Get(context.Background(), key)
	if errors.Is(err, platform.ErrNotFound) {
		row.Value = []byte("none")
	} else if err != nil {
		t.Fatal(err)
	}
	if string(row.Value) != value {
		t.Errorf("%s is %s, want %s", key, row.Value, value)
	}
}

func TestSwitchesOnWrites(t *testing.T) {
	tests := []struct {
		name  string
		turn  func(*Store)
		err   error
		after string // the row afterwards
	}{
		{"works", func(*Store) {}, nil, "new"},
		{"down", func(s *Store) { s.Down(true) }, platform.ErrUnavailable, "old"},
		{"answer lost", func(s *Store) { s.LoseNext(1) }, platform.ErrUnknown, "new"},
		{"every answer lost", func(s *Store) { s.LoseAnswers(1) }, platform.ErrUnknown, "new"},
		{"fails before", func(s *Store) { s.FailNext(1) }, platform.ErrUnavailable, "old"},
		{"always fails before", func(s *Store) { s.FailBefore(1) }, platform.ErrUnavailable, "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			set(t, s, "k", "old")
			test.turn(s)
			if err := commit(s, "k", "new"); !errors.Is(err, test.err) {
				t.Errorf("got %v, want %v", err, test.err)
			}
			s.Set(Switches{})
			want(t, s, "k", test.after)
		})
	}
}

// A caller's write waits in a slow store, the caller gives up and is told
// "unknown", and only then does the write land. Whoever read in between saw no
// row and must not have taken that for "did not happen".
func TestSlowWriteLandsAfterItsCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.Slow(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := s.Table().Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "k", Value: []byte("v")}}})
		if !errors.Is(err, platform.ErrUnknown) {
			t.Errorf("got %v", err)
		}
		s.Slow(0)
		want(t, s, "k", "none")
		time.Sleep(2*time.Second + time.Millisecond)
		want(t, s, "k", "v")
	})
}

func TestFreezeHoldsCallsUntilThawed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.Freeze(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.Table().Get(ctx, "k"); !errors.Is(err, platform.ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		done := make(chan error)
		go func() { done <- commit(s, "k", "v") }()
		synctest.Wait()
		s.Freeze(false)
		if err := <-done; err != nil {
			t.Error(err)
		}
		want(t, s, "k", "v")
	})
}

func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		set(t, s, "a", "1")
		time.Sleep(10 * time.Second)
		set(t, s, "a", "2")
		set(t, s, "b", "2")
		s.StaleReads(5 * time.Second)
		want(t, s, "a", "1")
		want(t, s, "b", "none")
		rows, err := s.Table().Scan(t.Context(), "", "", 1)
		if err != nil || len(rows) != 1 || string(rows[0].Value) != "1" {
			t.Errorf("scan gave %v, %v", rows, err)
		}
		time.Sleep(5 * time.Second)
		want(t, s, "a", "2")
		s.StaleReads(0)
		s.StaleRevisions(1)
		want(t, s, "a", "2")
		want(t, s, "b", "none")
	})
}

func TestLimitAnswersLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.Limit(0, 2)
		set(t, s, "k", "1")
		set(t, s, "k", "2")
		if err := commit(s, "k", "3"); !errors.Is(err, platform.ErrLimited) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Second)
		set(t, s, "k", "4")
		if c := s.Counts(); c.Writes != 4 || c.Limited != 1 {
			t.Errorf("got %+v", c)
		}
	})
}

func TestRestoreMakesTwoHistoriesWithTheSameRevisions(t *testing.T) {
	s := New()
	set(t, s, "k", "1")
	backup := s.Fork()
	set(t, s, "k", "2")
	first, _ := s.Table().Get(t.Context(), "k")
	s.Restore(backup)
	want(t, s, "k", "1")
	set(t, s, "k", "other 2")
	second, _ := s.Table().Get(t.Context(), "k")
	if first.Revision != second.Revision {
		t.Errorf("revisions %d and %d", first.Revision, second.Revision)
	}
	want(t, backup, "k", "1")
}

func TestSeedDecidesWhatIsLost(t *testing.T) {
	pattern := func(seed uint64) (lost []bool) {
		s := NewSeeded(seed)
		s.LoseAnswers(0.5)
		for range 64 {
			lost = append(lost, commit(s, "k", "v") != nil)
		}
		return lost
	}
	a, b, c := pattern(7), pattern(7), pattern(8)
	same := true
	for i := range a {
		if a[i] != b[i] {
			t.Fatal("one seed gave two patterns")
		}
		same = same && a[i] == c[i]
	}
	if same {
		t.Error("two seeds gave one pattern")
	}
}

// Switches are turned while calls run: with the race detector this shows that
// they may be.
func TestConcurrentUse(t *testing.T) {
	s := New()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for i := range 50 {
				_ = commit(s, "k", "v")
				_, _ = s.Table().Scan(t.Context(), "", "", 9)
				s.StaleRevisions(i % 3)
				s.Freeze(i%2 == 0)
				s.Freeze(false)
				s.Restore(s.Fork())
			}
		})
	}
	all.Wait()
}
