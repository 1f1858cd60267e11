package command

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/lease"
)

// standIn is a committer with the default options on a platform that fails on
// demand.
func standIn(s *fake.Store) (*Reader, *Committer) {
	r := NewReader(s.Table(), s.Objects(), SnapshotFunc(config.Empty))
	return r, NewCommitter(r, s.Table(), Options{})
}

// Ten operators race at once on ten nodes while the platform loses one answer
// in five and fails one call in ten. Each repeats its command under its id
// until it knows. In the end each counter was raised exactly as often as its
// operators were told "accepted".
func TestRacingWithDefaultOptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New()
		s.Slow(3 * time.Millisecond)
		s.LoseAnswers(0.2)
		s.FailBefore(0.1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		told := map[string]config.Version{}
		for w := range 10 {
			wg.Go(func() {
				_, c := standIn(s)
				for i := range 5 {
					id := fmt.Sprintf("w%d-%d", w, i)
					res := insist(c, set(id, 0, service(fmt.Sprint("s", i%3), id)))
					mu.Lock()
					told[id] = res.Version
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		s.Set(fake.Switches{})
		r, _ := standIn(s)
		ds, err := r.Since(ctx, config.Empty().Version(), 100)
		if err != nil || len(ds) != len(told) {
			t.Fatalf("%d versions for %d commands: %v", len(ds), len(told), err)
		}
		for _, d := range ds {
			if told[d.Command] != d.To {
				t.Errorf("version %s holds %s, whose operator was told %s", d.To, d.Command, told[d.Command])
			}
		}
		head, err := r.Head(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if snap, err := r.Snapshot(ctx, head); err != nil || snap.Version() != ds[len(ds)-1].To {
			t.Error(err)
		}
	})
}

// insist sends cmd until its outcome is final.
func insist(c *Committer, cmd Command) Result {
	for {
		res := c.Submit(ctx, cmd)
		if res.Outcome == Accepted || res.Outcome == Refused && !res.Reason.Retryable() {
			return res
		}
		time.Sleep(time.Second)
	}
}

// The platform's table is restored from last night's backup while the nodes run
// today's version. An operator's change must not be built on the older version,
// which would take back today's; and when another node that knew nothing has
// gone on from the backup, the two histories must not be mixed.
func TestRestoredBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New()
		_, c := standIn(s)
		insist(c, set("c1", 0, service("a", "1")))
		backup := s.Fork()
		insist(c, set("c2", 0, service("a", "2")))
		s.Restore(backup)
		if res := c.Submit(ctx, set("c3", 0, service("b", ""))); res.Reason != ReasonOlderHead {
			t.Errorf("an older head: %+v", res)
		}
		_, fresh := standIn(s)
		insist(fresh, set("d2", 0, service("a", "other")))
		if res := c.Submit(ctx, set("c4", 0, service("b", ""))); res.Reason != ReasonOtherHistory {
			t.Errorf("another history: %+v", res)
		}
		insist(fresh, set("d3", 0, service("a", "more")))
		if res := c.Submit(ctx, set("c5", 0, service("b", ""))); res.Reason != ReasonOtherHistory {
			t.Errorf("another history that is ahead: %+v", res)
		}
	})
}

// The platform hangs without an answer. The operator must hear within bounded
// time that nothing was done, or that it is not known.
func TestHangingPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New()
		_, c := standIn(s)
		insist(c, set("c1", 0, service("a", "1")))
		s.Freeze(true)
		start := time.Now()
		res := c.Submit(ctx, set("c2", 0, service("a", "2")))
		if res.Reason != ReasonUnavailable || time.Since(start) > 6*time.Second {
			t.Errorf("after %v: %+v", time.Since(start), res)
		}
		s.Freeze(false)
		if res := insist(c, set("c2", 0, service("a", "2"))); res.Version.Number != 2 {
			t.Errorf("%+v", res)
		}
	})
}

// As TestPausedCompactorLosesHarmlessly, with the lease that nodes use.
func TestCompactorWithALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New()
		r, c := standIn(s)
		for i := range 12 {
			insist(c, set(fmt.Sprint("c", i), 0, service("a", fmt.Sprint(i))))
		}
		hold := func(holder string) *lease.Lease {
			contender := lease.New(s.Table(), lease.Options{Name: "compact", Holder: holder, Length: 10 * time.Second, Clock: time.Now})
			for {
				if l, err := contender.Acquire(ctx); err == nil {
					return l
				}
				time.Sleep(time.Second)
			}
		}
		paused := hold("a")
		next := hold("b") // once the first has lapsed
		compactor := NewCompactor(r, s.Table(), s.Objects(), CompactOptions{KeepLog: 3, Batch: 4})
		var conflict *platform.ConflictError
		if _, err := compactor.Step(ctx, paused, time.Now()); !errors.As(err, &conflict) {
			t.Errorf("the paused holder: %v", err)
		}
		if rep, err := compactor.Step(ctx, next, time.Now()); err != nil || rep.LogDeleted == 0 {
			t.Errorf("the next holder: %+v %v", rep, err)
		}
	})
}
