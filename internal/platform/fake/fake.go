// Package fake is a platform that fails on demand. Tests use it directly and
// the stand-in program serves it over HTTP.
//
// A Store keeps rows and objects in memory and has switches for outages,
// slowness, lost answers, stale reads and rate limits. The choices it makes
// by chance come from a seed, so a test that makes its calls in one order sees
// the same failures in every run.
package fake

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/wait"
)

// Store is a platform that fails on demand. It's safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	memory   *memory.Store
	journal  journal
	switches Switches
	thawed   chan struct{} // closed when Frozen goes off
	reads    *rate.Limiter
	writes   *rate.Limiter
	random   *rand.Rand
	counts   Counts
}

// Counts says how many calls a Store has had, failed ones included.
type Counts struct {
	Reads   int // table and objects
	Writes  int // table and objects
	Lost    int // writes whose answer was lost
	Limited int // calls over a rate limit
	Failed  int // calls refused without effect for another reason
}

// New returns an empty store that works, with seed 1.
func New() *Store { return NewSeeded(1) }

// NewSeeded returns an empty store that works. The seed decides what LoseRate
// and FailRate pick.
func NewSeeded(seed uint64) *Store { return wrap(memory.New(), seed) }

func wrap(m *memory.Store, seed uint64) *Store {
	return &Store{
		memory: m,
		reads:  limiter(0),
		writes: limiter(0),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond)))
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Fork returns a store with the same rows and objects, all switches off. From
// then on the two have separate histories, with the same revisions on both
// sides, as after a backup has been restored beside a platform that goes on.
func (s *Store) Fork() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wrap(s.memory.Clone(), s.random.Uint64())
}

// Restore replaces rows and objects by those of backup, which Fork made. The
// switches and counts stay.
func (s *Store) Restore(backup *Store) {
	backup.mu.Lock()
	m := backup.memory.Clone()
	backup.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory, s.journal = m, journal{}
}

// read runs f unless a switch stops it. An ended context always gives
// ErrUnavailable.
func (s *Store) read(ctx context.Context, f func(view) error) error {
	delay, err := s.admit(ctx, false)
	if err != nil {
		return err
	}
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(s.viewNow())
}

// write runs f, which changes the memory, unless a switch stops it.
func (s *Store) write(ctx context.Context, f func() error) error {
	delay, err := s.admit(ctx, true)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := sleep(ctx, delay); err != nil {
		// The store already has the request: it lands later, unseen.
		time.AfterFunc(delay-time.Since(start), func() { _ = s.apply(f) })
		return unknown(ctx)
	}
	err = s.apply(f)
	if s.loses() {
		return platform.ErrUnknown
	}
	return err
}

func (s *Store) apply(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

// admit counts a call and lets it through, or refuses it. It returns how long
// the operation has to wait.
func (s *Store) admit(ctx context.Context, write bool) (time.Duration, error) {
	if ctx.Err() != nil {
		return 0, unavailable(ctx)
	}
	if err := s.refuse(write); err != nil {
		return 0, err
	}
	s.mu.Lock()
	frozen, thawed, delay := s.switches.Frozen, s.thawed, s.switches.Slow
	s.mu.Unlock()
	if !frozen {
		return delay, nil
	}
	select {
	case <-thawed:
		return delay, nil
	case <-ctx.Done():
		if write {
			return 0, unknown(ctx)
		}
		return 0, unavailable(ctx)
	}
}

func (s *Store) refuse(write bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, count := s.reads, &s.counts.Reads
	if write {
		limit, count = s.writes, &s.counts.Writes
	}
	*count++
	if s.switches.Down || s.picks(&s.switches.FailNext, s.switches.FailRate) {
		s.counts.Failed++
		return platform.ErrUnavailable
	}
	if !limit.Allow() {
		s.counts.Limited++
		return platform.ErrLimited
	}
	return nil
}

func (s *Store) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.picks(&s.switches.LoseNext, s.switches.LoseRate) {
		return false
	}
	s.counts.Lost++
	return true
}

// picks reports whether a failure strikes this call.
func (s *Store) picks(next *int, share float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && s.random.Float64() < share
}

// sleep waits for d, or returns ErrUnavailable when ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if wait.For(ctx, d) != nil {
		return unavailable(ctx)
	}
	return nil
}
