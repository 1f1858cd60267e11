package distribute

import (
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// State decides how one node obtains the newest version and distributes it. It is not safe for
// concurrent use, and does no I/O.
type State struct {
	set   Settings
	chain *chain

	started time.Time
	inForce uint64 // number of the version that the config.Store runs
	// confirmed and lastMessageAt tell how old this node's information is.
	confirmed     Confirmation
	lastMessageAt time.Time // last message of any peer
	// ticked is set once the membership has made first contact, or given up.
	ticked bool

	claims      map[string]*claim    // newer versions, by the peer that reported them
	bannedUntil map[string]time.Time // end of the ban, by peer
	peerInForce map[string]uint64    // highest version seen in force, by peer
	peerForeign map[string]uint64    // highest version of another history, by peer
	pull        activePull
	pending     *pendingSnapshot

	push    pushState
	feed    platformFeed
	startup startupState

	reported  map[string]config.Version // last finding, by kind and source
	conflicts []*Conflict

	// The arguments of the current step.
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
		bannedUntil: make(map[string]time.Time),
		peerInForce: make(map[string]uint64),
		peerForeign: make(map[string]uint64),
		reported:    make(map[string]config.Version),
		startup:     startupState{queries: make(map[string]*peerQuery)},
	}
}

// Step handles one event and returns the actions to perform. The view is the membership as known to
// this node.
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
		s.versionReceived(e)
	case Pulled:
		s.pulled(e)
	case Queried:
		s.queried(e)
	case PushDone:
		s.pushDone(e)
	case Accepted:
		s.accepted(e.Delta)
	case Offered:
		s.offered(e)
	}
	s.confirmFromRead()
	s.schedulePush()
	s.schedulePlatformRead()
	s.scheduleQueries()
	s.scheduleWitness()
	s.schedulePull()
	s.updateReady()
	return s.out
}

// Version returns the newest verified version held.
func (s *State) Version() config.Version { return s.chain.version() }

// InForce returns the number of the version that the config.Store runs.
func (s *State) InForce() uint64 { return s.inForce }

// Conflicts returns the latest conflicts, oldest first.
func (s *State) Conflicts() []*Conflict { return append([]*Conflict(nil), s.conflicts...) }

// Serve answers a peer that holds version and requests what follows it; with headOnly the answer
// has no changes.
func (s *State) Serve(view *membership.View, peer string, version config.Version, headOnly bool) Answer {
	a := Answer{Version: s.Version(), YouHeld: s.seenInForce(view, peer), Ready: s.startup.done}
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

// InHistory reports whether v is known to be in the history of the version held.
func (s *State) InHistory(v config.Version) bool { return s.chain.relation(v) == relationHeld }

// seenInForce returns the highest version seen in force at a peer.
//
// A peer that ran another history, for example of a table restored by mistake, is restarted to fix
// that. The version it ran of that history may be higher than any existing one, and must not keep
// it from becoming ready.
func (s *State) seenInForce(view *membership.View, peer string) uint64 {
	n := s.peerInForce[peer]
	if view != nil {
		if r := view.Records[peer]; r != nil {
			n = max(n, r.AppliedVersion)
		}
	}
	if n <= s.peerForeign[peer] {
		return min(n, s.Version().Number)
	}
	return n
}

// recordForeign records that a peer ran a version of another history.
func (s *State) recordForeign(source string, seen config.Version) {
	if source == SourcePlatform || source == s.set.Self {
		return
	}
	if _, known := s.peerForeign[source]; known || len(s.peerForeign) < s.set.MaxPeers {
		s.peerForeign[source] = max(s.peerForeign[source], seen.Number)
	}
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// maxConflicts bounds the conflicts kept for the handover.
const maxConflicts = 8

// maxReported bounds the findings kept for deduplication.
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

// recordConflict handles a source's version of another history.
func (s *State) recordConflict(source string, seen config.Version) {
	s.recordForeign(source, seen)
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

// jitter returns a random duration in [0, d): full jitter.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// backoff returns the full-jitter delay after a number of failures in a row.
func (s *State) backoff(fails int) time.Duration {
	d := s.set.RetryBase << min(fails, maxShift)
	return s.jitter(min(d, s.set.RetryCap))
}

// maxShift keeps backoff from overflowing.
const maxShift = 16
