package distribute

import (
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// feeding is what the node knows of the platform.
type feeding struct {
	busy     bool // a read is in flight
	after    time.Time
	fails    int
	heldThen uint64         // number held when ReadHead went out
	head     config.Version // newest head that the platform answered
	answered bool           // the platform answered since the start

	// The role, for the view it was worked out from.
	view   *membership.View
	feeder bool
}

// freshSnapshotAfter is the number of versions above which a node that holds
// nothing reads a snapshot from the platform rather than the deltas.
const freshSnapshotAfter = 16

// startReadWithin bounds the random wait before a starting node that has peers
// reads the platform's head. In a storm most nodes learn all they need from
// peers before it is over, and the platform is spared.
const startReadWithin = 3 * time.Second

// Feeder reports whether this node reads the platform's head on a timer.
func (s *State) Feeder() bool { return s.feed.feeder }

// PlatformHead returns the newest head that the platform answered.
func (s *State) PlatformHead() config.Version { return s.feed.head }

func (s *State) scheduleFeed() {
	f := &s.feed
	if f.view != s.view || s.view == nil {
		f.view = s.view
		f.feeder = isFeeder(s.view, s.set.Self, s.set.DataCentre)
	}
	if f.after.IsZero() {
		f.after = s.now.Add(s.firstRead())
	}
	wanted := f.feeder || !s.start.done || s.jump != nil
	if !wanted || f.busy || s.now.Before(f.after) {
		return
	}
	f.busy = true
	f.heldThen = s.Version().Number
	s.emit(ReadHead{})
}

// firstRead returns how long to wait before the first read of the head.
func (s *State) firstRead() time.Duration {
	if s.view == nil || len(s.view.Records) <= 1 {
		return 0
	}
	return s.jitter(startReadWithin)
}

func (s *State) headRead(e HeadRead) {
	f := &s.feed
	f.busy = false
	if e.Err != nil {
		s.readFailed()
		return
	}
	f.fails = 0
	f.after = s.now.Add(s.set.Profile.HeadEvery)
	f.answered = true
	if e.Version.Newer(f.head) {
		f.head = e.Version
	}
	switch {
	case s.chain.relation(e.Version) == relationOther:
		s.conflict(SourcePlatform, e.Version)
	case e.Version.Newer(s.Version()):
		s.catchUp(e.Version)
	case e.Version.Number < f.heldThen:
		s.report(&StaleHead{Held: s.Version(), Seen: e.Version}, SourcePlatform, e.Version)
	}
}

// catchUp reads what the platform has and this node has not.
func (s *State) catchUp(head config.Version) {
	if j := s.jump; j != nil && j.snapshot.Version() == head {
		s.jumped(j.snapshot, false)
		return
	}
	s.feed.busy = true
	if s.Version().Number == 0 && head.Number > freshSnapshotAfter {
		s.emit(ReadSnapshot{head})
		return
	}
	s.emit(ReadSince{s.Version()})
}

func (s *State) readFailed() {
	f := &s.feed
	f.fails++
	wait := min(s.set.Profile.HeadEvery<<min(f.fails, maxShift), 4*s.set.RetryCap)
	f.after = s.now.Add(s.jitter(wait))
}

func (s *State) platformRead(e PlatformRead) {
	f := &s.feed
	f.busy = false
	switch {
	case errors.Is(e.Err, ErrCompacted):
		f.busy = true
		s.emit(ReadSnapshot{f.head})
	case e.Err != nil:
		s.readFailed()
	case e.Snapshot != nil:
		if e.Snapshot.Version().Newer(s.Version()) {
			s.jumped(e.Snapshot, true)
		}
	default:
		s.applyDeltas(SourcePlatform, e.Deltas)
	}
}
