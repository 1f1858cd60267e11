package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// Settings are the settings of a node that follows a source.
type Settings struct {
	Self string
	// DataCentre is the data centre of this node.
	DataCentre string
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, or zero if unknown.
	LinkMbps uint32
	// PullDelay is how long a node that learns of a newer version from a peer's message waits for
	// the source or a push, before it pulls the version from the peer.
	PullDelay time.Duration
	// PeerPullInterval is the mean time between pulls from peers while the source fails.
	PeerPullInterval time.Duration
	// InitialPullInterval is PeerPullInterval for a node that holds no version yet.
	InitialPullInterval time.Duration
	// FailedPullPause is the minimum time between pulls that brought no version.
	FailedPullPause time.Duration
	// MaxClaims bounds the peers whose newer versions are kept.
	MaxClaims int
	// JoinWait is how long a node that has just started waits for peers that hold a version, before
	// it reads the source.
	JoinWait time.Duration
	// PeerWait is how long it leaves the source to peers that hold a version, or have faster links.
	PeerWait time.Duration
	// InForceWithin is the maximum time from the acceptance of a version until it is in force.
	InForceWithin time.Duration
	// MaxAssuranceAge is the age at which an assurance that the version held is the newest becomes
	// useless, or zero if no assurance is needed.
	MaxAssuranceAge time.Duration
}

// Defaults returns the default settings of a node.
//
// With PeerPullInterval a node that is cut off from the source learns of a version within about a
// second, half of the time in which it has to be in force. InitialPullInterval is a tenth of the
// time that a small VM takes to start; its requests are some hundred bytes.
//
// JoinWait covers some answers of the source and the first wait before a join, on a sixth of a
// core. PeerWait is the longest time that a node which no peer answers waits before it reads the
// source.
func Defaults(self, dataCentre string, linkMbps uint32) Settings {
	s := Settings{
		Self: self, DataCentre: dataCentre, LinkMbps: linkMbps, PeerPullInterval: 500 * time.Millisecond,
		InitialPullInterval: 100 * time.Millisecond, FailedPullPause: 200 * time.Millisecond, MaxClaims: 64,
		JoinWait: 250 * time.Millisecond, PeerWait: 1500 * time.Millisecond,
	}
	return s.WithInForceBound(DefaultInForceWithin)
}

// pushAllowance is the time for a healthy source and a push after the pause of a feeder between two
// versions.
const pushAllowance = 300 * time.Millisecond

// WithInForceBound returns s for versions that must be in force within bound of their acceptance.
func (s Settings) WithInForceBound(bound time.Duration) Settings {
	s.InForceWithin = bound
	s.PullDelay = s.confirmInterval() + pushAllowance
	return s
}

// DefaultInForceWithin is the default of Settings.InForceWithin.
const DefaultInForceWithin = 2 * time.Second

// confirmInterval is the maximum time between two answers that a node accepts from the source while
// it confirms for others. The source holds a request for this long, and the node pauses for this
// long after a version.
func (s Settings) confirmInterval() time.Duration {
	return time.Duration(confirmFraction * float64(s.InForceWithin))
}

// staleAfter is the age at which a confirmation shows that the node that reads the source gets no
// answer.
func (s Settings) staleAfter() time.Duration { return s.confirmInterval() + answerAllowance }

// claim is a newer version that a peer reports.
type claim struct {
	version config.Version
	since   time.Time
}

// State decides what a node does to hold the newest version. It is not safe for concurrent use, and
// does no I/O.
type State struct {
	set          Settings
	started      time.Time
	noVersion    bool // the source reported that there is no version yet
	held         config.Version
	inForce      uint64 // the number of the version in force, at most that of held
	claims       map[string]claim
	failing      bool      // the last read of the source failed
	nextPeerPull time.Time // while the source fails
	pulling      bool
	nextPull     time.Time
	contact      contact
	// confirmed is the newest confirmation that the version held is the newest.
	confirmed  distribute.Confirmation
	answeredAt time.Time // when the source last answered this node
	// assuredAt is the last time, since boot, at which the version in force was certainly the newest.
	assured   bool
	assuredAt time.Duration
	// position is that of this node in positionView.
	position     distribute.Position
	positionView *membership.View
	// leads is set on the leading reader, whose reads all data centres depend on, and reader on
	// both readers.
	leads, reader bool
}

// NewState returns the state of a node that holds no version. Until the source has answered once,
// or a peer has supplied a version, the source counts as failing.
func NewState(set Settings, now time.Time) *State {
	return &State{
		set: set, started: now, held: config.Empty().Version(), claims: make(map[string]claim),
		failing: true, nextPeerPull: now.Add(set.InitialPullInterval),
	}
}

// fastLinkMbps is a link that transfers a document of 2,600 routes, 0.8 MB, in 0.13 s, in Mbit/s.
// At this speed there is no reason to leave the read to other nodes.
const fastLinkMbps = 50

// ReadsSource reports whether this node has to read the source. The readers of the mesh do, a node
// whose feeders don't confirm its version, and a node that holds no version if no peer could supply
// one.
//
// On a slow link a node that has just started pulls from its peers first. The source sends the
// whole document uncompressed; a pull from a peer takes a twentieth of the bytes and a third of the
// CPU time. When all VMs were killed at once, each small one took 0.95 s to read a document of
// 2,600 routes, on a sixth of a core and 10 Mbit/s, and refused its callers until then.
func (s *State) ReadsSource(now time.Time, view *membership.View) bool {
	age := now.Sub(s.started)
	switch {
	case s.receivesVersions():
		s.positionIn(view)
		return s.contact.lost || s.reader
	case s.set.LinkMbps == 0 || s.set.LinkMbps >= fastLinkMbps:
		return true
	case age < s.set.JoinWait:
		return false
	case age < s.set.PeerWait:
		return len(s.claims) == 0 && !s.hasFasterPeer(view)
	}
	return true
}

// hasFasterPeer reports whether an alive node has a faster link, and so reads the source sooner.
func (s *State) hasFasterPeer(view *membership.View) bool {
	for _, r := range view.Records {
		if r.VM.LinkMbps > s.set.LinkMbps && r.State == membership.VMAlive {
			return true
		}
	}
	return false
}

// Held returns the newest version that this node has seen whole.
func (s *State) Held() config.Version { return s.held }

// Failing reports whether the last read of the source failed.
func (s *State) Failing() bool { return s.failing }

// sourceUnavailable reports whether a node that has to read the source gets no answer. A reader
// detects it by the age of its confirmation before its request fails.
func (s *State) sourceUnavailable(now time.Time, view *membership.View) bool {
	if !s.receivesVersions() {
		return s.failing
	}
	if s.positionIn(view); !s.reader {
		return s.failing && s.contact.lost
	}
	if s.answeredAt.IsZero() {
		return s.failing
	}
	age, _ := s.ConfirmedAge(now)
	return s.failing || age > s.set.staleAfter()
}

// Advance records a version that was seen whole, and reports whether it is newer than the one held.
func (s *State) Advance(v config.Version) bool {
	if !v.Newer(s.held) {
		return false
	}
	if s.held.Number == 0 {
		s.failing = false // the source has not failed since
	}
	s.held = v
	for peer, c := range s.claims {
		if !c.version.Newer(v) {
			delete(s.claims, peer)
		}
	}
	return true
}

// RecordInForce records the version that was put in force.
func (s *State) RecordInForce(v config.Version) { s.inForce = max(s.inForce, v.Number) }

// RecordSourceResult records whether the source answered with a version that can be decoded.
func (s *State) RecordSourceResult(now time.Time, ok bool) {
	if !ok && !s.failing {
		s.nextPeerPull = now
	}
	s.failing = !ok
}

// RecordNoVersion records that the source holds no version yet. The first version then arrives
// through the feeders like every other. If each node kept a long poll open instead, the source
// would answer all of them at the same moment with the whole document.
func (s *State) RecordNoVersion(now time.Time) {
	s.RecordSourceResult(now, true)
	s.noVersion = true
}

// RecordUrgentClaim records a newer version of a peer that is pulled at once, because the peer
// pushed it and the push could not be applied, or because it answered a query.
func (s *State) RecordUrgentClaim(now time.Time, peer string, v config.Version) {
	if !v.Newer(s.held) {
		return
	}
	s.RecordClaim(now.Add(-s.set.PullDelay), peer, v)
	s.nextPull = now
}

// RecordClaim records the version that a peer holds.
func (s *State) RecordClaim(now time.Time, peer string, v config.Version) {
	if !v.Newer(s.held) {
		return
	}
	old, known := s.claims[peer]
	if !known && len(s.claims) >= s.set.MaxClaims {
		return
	}
	since := now
	if known {
		// The peer has held a newer version since then.
		since = old.since
	}
	s.claims[peer] = claim{version: v, since: since}
}

// NextPull returns the peer to pull from now, if a pull is due. PullEnded must follow.
func (s *State) NextPull(now time.Time, rng *rand.Rand, view *membership.View) (peer string, due bool) {
	if s.pulling || now.Before(s.nextPull) {
		return "", false
	}
	if peer, due = s.dueClaim(now, rng, view); !due {
		peer, due = s.duePeerPull(now, rng, view)
	}
	s.pulling = due
	return peer, due
}

// dueClaim returns a peer that reported a newer version long enough ago.
func (s *State) dueClaim(now time.Time, rng *rand.Rand, view *membership.View) (string, bool) {
	delay := s.set.PullDelay
	if s.sourceUnavailable(now, view) || s.held.Number == 0 {
		delay = 0
	}
	var due []string
	for peer, c := range s.claims {
		if view.Records[peer] == nil {
			// Peers know a node that has just started before it knows them.
			if now.Sub(s.started) >= s.set.PeerWait {
				delete(s.claims, peer)
			}
			continue
		}
		if now.Sub(c.since) >= delay {
			due = append(due, peer)
		}
	}
	return pickRandom(due, rng)
}

// duePeerPull returns a peer to pull from without a claim while the source fails.
func (s *State) duePeerPull(now time.Time, rng *rand.Rand, view *membership.View) (string, bool) {
	if !s.sourceUnavailable(now, view) || now.Before(s.nextPeerPull) {
		return "", false
	}
	every := s.set.PeerPullInterval
	if s.held.Number == 0 {
		every = s.set.InitialPullInterval
	}
	s.nextPeerPull = now.Add(every/2 + time.Duration(rng.Int64N(int64(every))))
	return pickRandom(s.pullCandidates(view), rng)
}

// pullCandidates returns the peers that may hold a version. For a node that has just started these
// are the peers with the fastest links, which are the first to hold one after a loss of all VMs.
// Among equally fast peers those of its own data centre come first.
func (s *State) pullCandidates(view *membership.View) []string {
	var peers, fastest []string
	var bestRank peerRank
	for id, r := range view.Records {
		if id == s.set.Self || r.State == membership.VMSuspect {
			continue
		}
		peers = append(peers, id)
		candidate := peerRank{r.VM.LinkMbps, r.VM.DataCentre == s.set.DataCentre}
		if candidate.better(bestRank) {
			bestRank, fastest = candidate, nil
		}
		if candidate == bestRank {
			fastest = append(fastest, id)
		}
	}
	if s.held.Number == 0 {
		return fastest
	}
	return peers
}

// peerRank orders the peers that a node pulls from after its start.
type peerRank struct {
	linkMbps uint32
	sameDC   bool // in the data centre of this node
}

func (r peerRank) better(o peerRank) bool {
	return r.linkMbps > o.linkMbps || r.linkMbps == o.linkMbps && r.sameDC && !o.sameDC
}

// pickRandom returns a random element. The ids come from a map, so they are sorted first to make
// the choice depend on rng alone.
func pickRandom(ids []string, rng *rand.Rand) (string, bool) {
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return ids[rng.IntN(len(ids))], true
}

// PullEnded records the end of a pull. The claim of a peer that did not supply its version is
// dropped, so that the peer is not pulled from until it reports the version again.
func (s *State) PullEnded(now time.Time, peer string) {
	s.pulling = false
	if c, ok := s.claims[peer]; ok && c.version.Newer(s.held) {
		delete(s.claims, peer)
		s.nextPull = now.Add(s.set.FailedPullPause)
	}
}
