package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// Settings bound how a node learns from its peers.
type Settings struct {
	Self string
	// DataCentre is that of this node.
	DataCentre string
	// PullDelay is how long a version that a peer's message mentioned may take to
	// come from the source, or to be told, before it is pulled from the peer.
	PullDelay time.Duration
	// AskEvery is the mean time between two peers asked while the source fails.
	AskEvery time.Duration
	// PullGap is the least time between two pulls that brought nothing.
	PullGap time.Duration
	// MaxClaims bounds the peers whose newer versions are remembered.
	MaxClaims int
}

// Defaults returns the settings of a node.
//
// PullDelay is the pause that a feeder makes between two versions from the source
// (sourcePause), several answers of a healthy store, of about 10 ms, and a tell.
// AskEvery makes a node that is cut off from the store learn of a version within
// about a second, half of what it has to be in force.
func Defaults(self, dataCentre string) Settings {
	return Settings{
		Self: self, DataCentre: dataCentre, PullDelay: 900 * time.Millisecond, AskEvery: 500 * time.Millisecond,
		PullGap: 200 * time.Millisecond, MaxClaims: 64,
	}
}

// claim is a newer version that a peer told of.
type claim struct {
	version config.Version
	since   time.Time
}

// State decides what one node does to hold the newest version. It is not safe for
// concurrent use, and does no I/O.
type State struct {
	set      Settings
	held     config.Version
	claims   map[string]claim
	failing  bool      // the source did not answer last time
	nextAsk  time.Time // while the source fails
	pulling  bool
	nextPull time.Time
}

// NewState returns the state of a node that holds nothing. Until the source has
// answered once it counts as failing.
func NewState(set Settings, now time.Time) *State {
	return &State{
		set: set, held: config.Empty().Version(), claims: make(map[string]claim),
		failing: true, nextAsk: now.Add(set.AskEvery),
	}
}

// Feeds reports whether this node follows the source for its data centre. One
// that holds nothing yet does in any case: it has just started, and what it needs
// is a version, soon.
func (s *State) Feeds(view *membership.View) bool {
	return s.held.Number == 0 || distribute.Feeds(view, s.set.Self, s.set.DataCentre)
}

// Held returns the newest version that this node has seen whole.
func (s *State) Held() config.Version { return s.held }

// Failing reports whether the source did not answer last time.
func (s *State) Failing() bool { return s.failing }

// Take notes that a version was seen whole, and reports whether it is newer than
// the one held.
func (s *State) Take(v config.Version) bool {
	if !v.Newer(s.held) {
		return false
	}
	s.held = v
	for peer, c := range s.claims {
		if !c.version.Newer(v) {
			delete(s.claims, peer)
		}
	}
	return true
}

// Source notes whether the source answered.
func (s *State) Source(now time.Time, ok bool) {
	if !ok && !s.failing {
		s.nextAsk = now
	}
	s.failing = !ok
}

// Told notes that a peer told of a version outright, and not in passing: whatever
// it sent could not be used, so the version is pulled at once.
func (s *State) Told(now time.Time, peer string, v config.Version) {
	s.Heard(now.Add(-s.set.PullDelay), peer, v)
	s.nextPull = now
}

// Heard notes what a peer holds.
func (s *State) Heard(now time.Time, peer string, v config.Version) {
	if !v.Newer(s.held) {
		return
	}
	old, known := s.claims[peer]
	if !known && len(s.claims) >= s.set.MaxClaims {
		return
	}
	since := now
	if known {
		// The peer has held something newer all the while.
		since = old.since
	}
	s.claims[peer] = claim{version: v, since: since}
}

// Pull returns the peer to pull from now, if one is due. Pulled must follow.
func (s *State) Pull(now time.Time, rng *rand.Rand, view *membership.View) (peer string, due bool) {
	if s.pulling || now.Before(s.nextPull) {
		return "", false
	}
	if peer, due = s.claimed(now, rng, view); !due {
		peer, due = s.unasked(now, rng, view)
	}
	s.pulling = due
	return peer, due
}

// claimed returns a peer that told of a newer version long enough ago.
func (s *State) claimed(now time.Time, rng *rand.Rand, view *membership.View) (string, bool) {
	delay := s.set.PullDelay
	if s.failing {
		delay = 0
	}
	var due []string
	for peer, c := range s.claims {
		if view.Records[peer] == nil {
			delete(s.claims, peer)
			continue
		}
		if now.Sub(c.since) >= delay {
			due = append(due, peer)
		}
	}
	return draw(due, rng)
}

// unasked returns a peer to ask while the source fails.
func (s *State) unasked(now time.Time, rng *rand.Rand, view *membership.View) (string, bool) {
	if !s.failing || now.Before(s.nextAsk) {
		return "", false
	}
	s.nextAsk = now.Add(s.set.AskEvery/2 + time.Duration(rng.Int64N(int64(s.set.AskEvery))))
	var peers []string
	for id, r := range view.Records {
		if id != s.set.Self && r.State != membership.VMSuspect {
			peers = append(peers, id)
		}
	}
	return draw(peers, rng)
}

// draw returns one of the list at random. The list comes out of a map, so it is
// put in order first for the draw to follow rng alone.
func draw(list []string, rng *rand.Rand) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	slices.Sort(list)
	return list[rng.IntN(len(list))], true
}

// Pulled notes that a pull ended. A peer that did not bring what it told of is
// not asked again before it tells once more.
func (s *State) Pulled(now time.Time, peer string) {
	s.pulling = false
	if c, ok := s.claims[peer]; ok && c.version.Newer(s.held) {
		delete(s.claims, peer)
		s.nextPull = now.Add(s.set.PullGap)
	}
}
