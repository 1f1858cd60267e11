package fake

import "time"

// Switches are the failures that a Store shows. The zero value is a platform
// that works. Rates are shares of calls, from 0 to 1.
type Switches struct {
	// Down refuses every call at once with ErrUnavailable.
	Down bool
	// Frozen holds every call until it's off, and then goes on with it. A call
	// whose context ends while it's held has no effect.
	Frozen bool
	// Slow is a wait before each operation. A write whose context ends during
	// the wait takes effect all the same when the wait is over, as it would
	// in a store that has already taken the request.
	Slow time.Duration
	// LoseRate and LoseNext pick writes that are carried out (or not, if a
	// condition doesn't hold) but answered with ErrUnknown.
	LoseRate float64
	LoseNext int
	// FailRate and FailNext pick calls that have no effect and are answered
	// with ErrUnavailable.
	FailRate float64
	FailNext int
	// StaleAge and StaleRevisions make table reads see the rows as they were
	// this long, or this many commits, ago. The older of the two counts.
	// Objects are written once and never change, so reads of them are not
	// affected; nor are the conditions of a commit.
	StaleAge       time.Duration
	StaleRevisions int
	// ReadsPerSecond and WritesPerSecond answer calls over these rates with
	// ErrLimited; 0 is no limit. A burst of one second's worth is let through.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Switches returns the switches as they are now; LoseNext and FailNext count
// down.
func (s *Store) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Set replaces all switches.
func (s *Store) Set(w Switches) {
	s.Change(func(now *Switches) { *now = w })
}

// Change calls f with the switches while no call can see them.
func (s *Store) Change(f func(*Switches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.switches
	f(&s.switches)
	if before.Frozen && !s.switches.Frozen {
		close(s.thawed)
	}
	if !before.Frozen && s.switches.Frozen {
		s.thawed = make(chan struct{})
	}
	if before.ReadsPerSecond != s.switches.ReadsPerSecond {
		s.reads = limiter(s.switches.ReadsPerSecond)
	}
	if before.WritesPerSecond != s.switches.WritesPerSecond {
		s.writes = limiter(s.switches.WritesPerSecond)
	}
}

// Down turns an outage on or off.
func (s *Store) Down(on bool) { s.Change(func(w *Switches) { w.Down = on }) }

// Freeze holds all calls, or lets them go on.
func (s *Store) Freeze(on bool) { s.Change(func(w *Switches) { w.Frozen = on }) }

// Slow sets the wait before each operation.
func (s *Store) Slow(d time.Duration) { s.Change(func(w *Switches) { w.Slow = d }) }

// LoseAnswers sets the share of writes whose answer is lost.
func (s *Store) LoseAnswers(rate float64) { s.Change(func(w *Switches) { w.LoseRate = rate }) }

// LoseNext makes the answers of the next n writes be lost.
func (s *Store) LoseNext(n int) { s.Change(func(w *Switches) { w.LoseNext = n }) }

// FailBefore sets the share of calls that fail without effect.
func (s *Store) FailBefore(rate float64) { s.Change(func(w *Switches) { w.FailRate = rate }) }

// FailNext makes the next n calls fail without effect.
func (s *Store) FailNext(n int) { s.Change(func(w *Switches) { w.FailNext = n }) }

// StaleReads makes table reads see the rows as they were age ago.
func (s *Store) StaleReads(age time.Duration) { s.Change(func(w *Switches) { w.StaleAge = age }) }

// StaleRevisions makes table reads miss the n newest commits.
func (s *Store) StaleRevisions(n int) { s.Change(func(w *Switches) { w.StaleRevisions = n }) }

// Limit sets how many reads and writes a second are let through; 0 is no limit.
func (s *Store) Limit(reads, writes float64) {
	s.Change(func(w *Switches) { w.ReadsPerSecond, w.WritesPerSecond = reads, writes })
}
