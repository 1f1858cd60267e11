package distribute

import (
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// State decides what one node does to hold the newest version and to pass it
// on. It is not safe for concurrent use, and does no I/O.
type State struct {
	set   Settings
	chain *chain

	started time.Time
	inForce uint64 // number of the version that the config.Store runs
	// confirmed and heardAt say how old what the node knows is.
	confirmed Confirmation
	heardAt   time.Time // the last message of any peer
	// ticked says that the membership has made first contact, or given up.
	ticked bool

	claims      map[string]*claim    // newer versions, by the peer that told
	discredited map[string]time.Time // peers not to believe until then
	held        map[string]uint64    // highest version seen in force, by peer
	foreign     map[string]uint64    // highest version of another history, by peer
	pull        pulling
	jump        *jump

	tell  telling
	feed  feeding
	start starting

	reported  map[string]config.Version // last Finding by kind and source
	conflicts []*Conflict

	// The arguments of the step under way.
	now  time.Time
	rng  *rand.Rand
	view *membership.View
	out  []Action
}

// New returns the state of a node that has just started and holds nothing.
func New(set Settings, now time.Time) *State {
	return &State{
		set:         set,
		chain:       newChain(set.MaxDeltas, set.MaxDeltaBytes),
		started:     now,
		claims:      make(map[string]*claim),
		discredited: make(map[string]time.Time),
		held:        make(map[string]uint64),
		foreign:     make(map[string]uint64),
		reported:    make(map[string]config.Version),
		start:       starting{asks: make(map[string]*ask)},
	}
}

// Step takes one event and returns what to do. The view is the membership as
// this node knows it.
func (s *State) Step(now time.Time, rng *rand.Rand, view *membership.View, ev Event) []Action {
	s.now, s.rng, s.view, s.out = now, rng, view, nil
	switch e := ev.(type) {
	case Tick:
		s.ticked = true
	case HeadRead:
		s.headRead(e)
	case PlatformRead:
		s.platformRead(e)
	case VersionReceived:
		s.heard(e)
	case Pulled:
		s.pulled(e)
	case Queried:
		s.asked(e)
	case PushDone:
		s.told(e)
	case Accepted:
		s.accepted(e.Delta)
	case Offered:
		s.offered(e)
	}
	s.confirmRead()
	s.scheduleTell()
	s.scheduleFeed()
	s.scheduleAsks()
	s.scheduleJump()
	s.schedulePull()
	s.judgeReady()
	return s.out
}

// Version returns the newest verified version held.
func (s *State) Version() config.Version { return s.chain.version() }

// InForce returns the number of the version that the config.Store runs.
func (s *State) InForce() uint64 { return s.inForce }

// Conflicts returns the latest conflicts, oldest first.
func (s *State) Conflicts() []*Conflict { return append([]*Conflict(nil), s.conflicts...) }

// Serve answers a peer that holds version and asks for what follows it, or
// with headOnly just for the rest of the answer.
func (s *State) Serve(view *membership.View, peer string, version config.Version, headOnly bool) Answer {
	a := Answer{Version: s.Version(), YouHeld: s.seenAt(view, peer), Ready: s.start.done}
	a.OtherHistory = s.chain.relation(version) == relationOther
	if headOnly || a.OtherHistory || version.Number >= a.Version.Number {
		return a
	}
	if ds, ok := s.chain.since(version); ok {
		a.Deltas = ds
	} else {
		a.Snapshot = s.chain.head
	}
	return a
}

// InHistory reports whether v is certain to be in the history of the version held.
func (s *State) InHistory(v config.Version) bool { return s.chain.relation(v) == relationHeld }

// seenAt returns the highest version seen in force at a peer.
//
// A peer that ran another history, as of a table that was restored by mistake,
// is started again to mend that. What it ran of the other history may be higher
// than any version that there is, and must not keep it out of service then.
func (s *State) seenAt(view *membership.View, peer string) uint64 {
	n := s.held[peer]
	if view != nil {
		if r := view.Records[peer]; r != nil {
			n = max(n, r.AppliedVersion)
		}
	}
	if n <= s.foreign[peer] {
		return min(n, s.Version().Number)
	}
	return n
}

// noteForeign remembers that a peer ran a version of another history.
func (s *State) noteForeign(source string, seen config.Version) {
	if source == SourcePlatform || source == s.set.Self {
		return
	}
	if _, known := s.foreign[source]; known || len(s.foreign) < s.set.MaxPeers {
		s.foreign[source] = max(s.foreign[source], seen.Number)
	}
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// maxConflicts bounds the conflicts kept for the handover.
const maxConflicts = 8

// maxReported bounds the findings remembered so as not to repeat them.
const maxReported = 256

// report emits a finding unless it is the last one of its kind and source.
func (s *State) report(f Finding, source string, seen config.Version) bool {
	key := f.Kind() + " " + source
	if last, ok := s.reported[key]; ok && last == seen {
		return false
	}
	if len(s.reported) >= maxReported {
		clear(s.reported)
	}
	s.reported[key] = seen
	s.emit(Report{f})
	return true
}

// conflict takes in that a source has a version of another history.
func (s *State) conflict(source string, seen config.Version) {
	s.noteForeign(source, seen)
	s.reportConflict(source, seen)
}

func (s *State) reportConflict(source string, seen config.Version) {
	c := &Conflict{Source: source, Held: s.Version(), Seen: seen, At: s.now}
	if !s.report(c, source, seen) {
		return
	}
	s.conflicts = append(s.conflicts, c)
	if len(s.conflicts) > maxConflicts {
		s.conflicts = s.conflicts[1:]
	}
}

// jitter returns a time in [0, d): full jitter.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// backoff returns the full-jitter wait after a number of failures in a row.
func (s *State) backoff(fails int) time.Duration {
	d := s.set.RetryBase << min(fails, maxShift)
	return s.jitter(min(d, s.set.RetryCap))
}

// maxShift keeps a backoff from overflowing.
const maxShift = 16
