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
	// LinkMbps is how fast the VM's link is; zero if that is not known.
	LinkMbps uint32
	// PullDelay is how long a version that a peer's message mentioned may take to
	// come from the source, or to be told, before it is pulled from the peer.
	PullDelay time.Duration
	// AskEvery is the mean time between two peers asked while the source fails.
	AskEvery time.Duration
	// AskFirst is the same of a node that holds nothing yet.
	AskFirst time.Duration
	// PullGap is the least time between two pulls that brought nothing.
	PullGap time.Duration
	// MaxClaims bounds the peers whose newer versions are remembered.
	MaxClaims int
	// JoinFirst is how long a node that has just started looks for peers that hold a
	// version before it reads the source.
	JoinFirst time.Duration
	// PeersFirst is how long it leaves the source to peers that hold a version, or have
	// faster links.
	PeersFirst time.Duration
	// InForceWithin is how soon after it was accepted a version is to be in force.
	InForceWithin time.Duration
	// MaxAssuranceAge is how old an assurance that the version held is the newest may grow
	// before it is of no use; zero where nobody goes by it.
	MaxAssuranceAge time.Duration
}

// Defaults returns the settings of a node.
//
// AskEvery makes a node that is cut off from the store learn of a version within
// about a second, half of what it has to be in force. AskFirst is a tenth of what a small VM
// takes to start; its questions are some hundred bytes.
//
// JoinFirst is some answers of the store, and the first wait before a join, on a sixth of a
// core. PeersFirst is the most that a node which nobody answers is kept from the source.
func Defaults(self, dataCentre string, linkMbps uint32) Settings {
	s := Settings{
		Self: self, DataCentre: dataCentre, LinkMbps: linkMbps, AskEvery: 500 * time.Millisecond,
		AskFirst: 100 * time.Millisecond, PullGap: 200 * time.Millisecond, MaxClaims: 64,
		JoinFirst: 250 * time.Millisecond, PeersFirst: 1500 * time.Millisecond,
	}
	return s.WithInForceBound(DefaultInForceWithin)
}

// tellTime is what a healthy source and a tell may take after the pause that a feeder makes
// between two versions.
const tellTime = 300 * time.Millisecond

// WithInForceBound returns s for versions that are to be in force so soon after they were accepted.
func (s Settings) WithInForceBound(bound time.Duration) Settings {
	s.InForceWithin = bound
	s.PullDelay = s.confirmEvery() + tellTime
	return s
}

// DefaultInForceWithin is how soon a version is to be in force where users state nothing.
const DefaultInForceWithin = 2 * time.Second

// confirmEvery is the longest time between two answers that a node takes from the source while
// others depend on its reading: the source holds a question for so long, and the node pauses for
// so long after a version.
func (s Settings) confirmEvery() time.Duration {
	return time.Duration(confirmPart * float64(s.InForceWithin))
}

// staleAfter is the age from which on a confirmation shows that whoever reads the source gets no
// answer.
func (s Settings) staleAfter() time.Duration { return s.confirmEvery() + answerTime }

// claim is a newer version that a peer told of.
type claim struct {
	version config.Version
	since   time.Time
}

// State decides what one node does to hold the newest version. It is not safe for
// concurrent use, and does no I/O.
type State struct {
	set      Settings
	started  time.Time
	none     bool // the source said that there is no version yet
	held     config.Version
	claims   map[string]claim
	failing  bool      // the source did not answer last time
	nextAsk  time.Time // while the source fails
	pulling  bool
	nextPull time.Time
	contact  contact
	// confirmed tells how far what is held can be trusted to be the newest.
	confirmed distribute.Confirmation
	answered  time.Time // when the source last answered this node
	// assuredAt is when the version held was certainly the newest, since the boot.
	assured   bool
	assuredAt time.Duration
	// place is the node's in the view placed.
	place  distribute.Position
	placed *membership.View
	// leads says that the feeders of all data centres depend on this node's reading, and reader
	// that it reads the source while that answers.
	leads, reader bool
}

// NewState returns the state of a node that holds nothing. Until the source has
// answered once, or a peer gave a version, it counts as failing.
func NewState(set Settings, now time.Time) *State {
	return &State{
		set: set, started: now, held: config.Empty().Version(), claims: make(map[string]claim),
		failing: true, nextAsk: now.Add(set.AskFirst),
	}
}

// fastLink is a link over which a document of 2,600 routes, 0.8 MB, comes in 0.13 s, in
// Mbit/s: its reading is no reason to wait for others.
const fastLink = 50

// Feeds reports whether this node is to follow the source. The readers of the mesh are, a node
// whose feeders don't answer, and one that holds nothing while no peer could give it a version.
//
// On a slow link such a node asks its peers first. The source holds the whole document,
// uncompressed, and what a peer gives takes a twentieth of the bytes and a third of the work. When
// all VMs were killed at once, each small one read a document of 2,600 routes for 0.95 s, on
// a sixth of a core and 10 Mbit/s, and refused its callers until then.
func (s *State) Feeds(now time.Time, view *membership.View) bool {
	age := now.Sub(s.started)
	switch {
	case s.fed():
		s.placeIn(view)
		return s.contact.lost || s.reader
	case s.set.LinkMbps == 0 || s.set.LinkMbps >= fastLink:
		return true
	case age < s.set.JoinFirst:
		return false
	case age < s.set.PeersFirst:
		return len(s.claims) == 0 && !s.knowsFaster(view)
	}
	return true
}

// knowsFaster reports whether a node with a faster link than this one's is there, which
// reads the source sooner.
func (s *State) knowsFaster(view *membership.View) bool {
	for _, r := range view.Records {
		if r.VM.LinkMbps > s.set.LinkMbps && r.State == membership.VMAlive {
			return true
		}
	}
	return false
}

// Held returns the newest version that this node has seen whole.
func (s *State) Held() config.Version { return s.held }

// Failing reports whether the source did not answer last time.
func (s *State) Failing() bool { return s.failing }

// sourceless reports whether the node gets no answer of the source that it is to read. A feeder
// takes it from the age of its confirmation before its question fails.
func (s *State) sourceless(now time.Time, view *membership.View) bool {
	if !s.fed() {
		return s.failing
	}
	if s.placeIn(view); !s.reader {
		return s.failing && s.contact.lost
	}
	if s.answered.IsZero() {
		return s.failing
	}
	age, _ := s.ConfirmedAge(now)
	return s.failing || age > s.set.staleAfter()
}

// Take notes that a version was seen whole, and reports whether it is newer than
// the one held.
func (s *State) Take(v config.Version) bool {
	if !v.Newer(s.held) {
		return false
	}
	if s.held.Number == 0 {
		s.failing = false // nothing speaks against the source yet
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

// None notes that the source holds no version yet. The first one then comes as every other
// does, by the feeders: asking for it by itself, each node would keep a question open at the
// source that all answer at the same moment with the whole document.
func (s *State) None(now time.Time) {
	s.Source(now, true)
	s.none = true
}

// Told notes that a peer told of a version outright, and not in passing: whatever
// it sent could not be used, so the version is pulled at once.
func (s *State) Told(now time.Time, peer string, v config.Version) {
	if !v.Newer(s.held) {
		return
	}
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
	if s.sourceless(now, view) || s.held.Number == 0 {
		delay = 0
	}
	var due []string
	for peer, c := range s.claims {
		if view.Records[peer] == nil {
			// A node that has just started is known to others before it knows them.
			if now.Sub(s.started) >= s.set.PeersFirst {
				delete(s.claims, peer)
			}
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
	if !s.sourceless(now, view) || now.Before(s.nextAsk) {
		return "", false
	}
	every := s.set.AskEvery
	if s.held.Number == 0 {
		every = s.set.AskFirst
	}
	s.nextAsk = now.Add(every/2 + time.Duration(rng.Int64N(int64(every))))
	return draw(s.askable(view), rng)
}

// askable returns the peers that may hold a version. To a node that has just started these
// are first of all those with the fastest links: after a loss of all VMs they are the first
// to hold one. Those of the own data centre go before others as fast.
func (s *State) askable(view *membership.View) []string {
	var peers, fastest []string
	var best rank
	for id, r := range view.Records {
		if id == s.set.Self || r.State == membership.VMSuspect {
			continue
		}
		peers = append(peers, id)
		its := rank{r.VM.LinkMbps, r.VM.DataCentre == s.set.DataCentre}
		if its.over(best) {
			best, fastest = its, nil
		}
		if its == best {
			fastest = append(fastest, id)
		}
	}
	if s.held.Number == 0 {
		return fastest
	}
	return peers
}

// rank orders the peers that a node asks which has just started.
type rank struct {
	link uint32 // Mbit/s
	near bool   // of the own data centre
}

func (r rank) over(o rank) bool { return r.link > o.link || r.link == o.link && r.near && !o.near }

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
