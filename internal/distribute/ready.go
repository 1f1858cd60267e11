package distribute

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// startupState is the state of a node that has no stored state and must not carry traffic yet.
type startupState struct {
	done             bool
	queries          map[string]*peerQuery // by peer
	minVersion       uint64                // highest version that a peer saw in force here
	minVersionSeenBy string                // the peer that saw it
}

// foreignPeerLimit is how many peers of another history keep a starting node from becoming ready. A
// single one may be malicious; with two, this node is more likely to be wrong.
const foreignPeerLimit = 2

// peerQuery is the query of one peer for the version it saw in force at this node.
type peerQuery struct {
	inFlight     bool
	answered     bool
	ready        bool           // the peer was ready when it answered
	version      config.Version // the version that the peer held then
	otherHistory bool           // the peer reported that its history differs
	failures     int
	retryAt      time.Time
}

// runsOtherHistory reports whether the peer that answered runs another history than this node.
//
// It compares with the version held now, not at the time of the answer. A node that queried while
// it held nothing may later read another history from the platform, for example of a table restored
// by mistake. Evaluated on arrival, the answers would count as agreement, and the node would serve
// callers from a configuration that no other node runs.
func (s *State) runsOtherHistory(q *peerQuery) bool {
	return q.otherHistory || q.answered && s.chain.relation(q.version) == relationOther
}

// Ready reports whether the node may carry traffic, and if not, why.
//
// A node stores nothing on disk. After a restart it must not serve an older version than before, so
// it queries several peers for the version they saw in force here, and the platform. It stays not
// ready until it runs at least that version and every newer one reported since. An answer from a
// peer that is itself starting proves nothing: nodes that start together could all agree on the
// empty configuration.
func (s *State) Ready() (bool, string) {
	if s.startup.done {
		return true, ""
	}
	return false, s.notReadyReason()
}

func (s *State) updateReady() {
	if !s.startup.done && s.notReadyReason() == "" {
		s.startup.done = true
		clear(s.startup.queries)
	}
}

// notReadyReason returns why the node is not ready, or "".
func (s *State) notReadyReason() string {
	switch {
	case s.inForce < s.startup.minVersion:
		return fmt.Sprintf("version %d is in force, but %s saw version %d in force here before",
			s.inForce, s.startup.minVersionSeenBy, s.startup.minVersion)
	case s.inForce == 0 && s.Version().Number > 0:
		return fmt.Sprintf("version %d is held but not in force", s.Version().Number)
	}
	return s.notCaughtUpReason()
}

// CaughtUp reports whether this node has enough answers to hold the mesh's newest version, in force
// or not. Unlike Ready it does not require that the version can run here: a mesh that cannot run
// its newest version has to accept the change that fixes it.
func (s *State) CaughtUp() bool {
	return s.startup.done || (s.Version().Number >= s.startup.minVersion && s.notCaughtUpReason() == "")
}

// notCaughtUpReason returns the answers or versions that the node still lacks, or "".
func (s *State) notCaughtUpReason() string {
	switch {
	case len(s.claims) > 0 || s.pending != nil:
		return "peers hold a newer version"
	case s.feed.head.Newer(s.Version()):
		return "the platform holds a newer version"
	}
	if n, decisive := s.foreignPeers(); decisive {
		return fmt.Sprintf("%d peers run another history than version %d (%s) held here",
			n, s.Version().Number, s.Version().Hash.Short())
	}
	return s.pendingQueriesReason()
}

// foreignPeers returns the number of peers on another history, and whether they are enough to show
// that this node's own history is the wrong one.
func (s *State) foreignPeers() (n int, decisive bool) {
	n = s.countForeignQueried()
	return n, n > 0 && n >= min(foreignPeerLimit, s.livePeers())
}

// Orphaned reports whether neither the peers nor the platform have the history that this node holds
// and has never carried traffic with.
//
// It guards against a node that started while the platform held a table restored by mistake. Once
// the right table is back, no change leads from the version held to the one that all others run,
// and the node would refuse its callers until an operator restarts it. The platform's head counts
// only when several answers in a row agree; see recordHead.
func (s *State) Orphaned() bool {
	_, foreign := s.foreignPeers()
	head := s.feed.head
	return !s.startup.done && foreign && head.Number > 0 && s.chain.relation(head) == relationOther
}

// countForeignQueried counts the queried peers that run another history.
func (s *State) countForeignQueried() int {
	n := 0
	for _, q := range s.startup.queries {
		if s.runsOtherHistory(q) {
			n++
		}
	}
	return n
}

func (s *State) pendingQueriesReason() string {
	answered, ready := 0, 0
	for _, q := range s.startup.queries {
		if s.runsOtherHistory(q) {
			continue
		}
		if q.answered {
			answered++
		}
		if q.ready {
			ready++
		}
	}
	want := min(s.set.QueryPeers, s.livePeers())
	waited := s.now.Sub(s.started) >= s.set.AloneAfter
	switch {
	case want > 0 && ready >= want:
		return ""
	case s.feed.answered && (waited || (want > 0 && answered >= want)):
		return ""
	case ready > 0 && waited:
		return ""
	}
	return fmt.Sprintf("%d of %d peers answered, %d of them ready; platform answered: %t",
		answered, want, ready, s.feed.answered)
}

// others counts the live peers.
func (s *State) livePeers() int {
	if s.view == nil {
		return 0
	}
	n := 0
	for id, r := range s.view.Records {
		if id != s.set.Self && r.State == membership.VMAlive {
			n++
		}
	}
	return n
}

// scheduleQueries keeps queries in flight until Settings.QueryPeers ready peers have answered.
func (s *State) scheduleQueries() {
	if s.startup.done {
		return
	}
	need := s.set.QueryPeers
	for _, q := range s.startup.queries {
		if q.inFlight || q.ready && !s.runsOtherHistory(q) {
			need--
		}
	}
	for ; need > 0; need-- {
		peer := s.randomPeer(s.mayQuery)
		if peer == "" {
			return
		}
		q := s.startup.queries[peer]
		if q == nil {
			q = new(peerQuery)
			s.startup.queries[peer] = q
		}
		q.inFlight = true
		s.emit(Query{Peer: peer, Version: s.Version()})
	}
}

func (s *State) mayQuery(peer string) bool {
	q := s.startup.queries[peer]
	return q == nil || !q.inFlight && (!q.ready || s.runsOtherHistory(q)) && !s.now.Before(q.retryAt)
}

func (s *State) queried(e Queried) {
	q := s.startup.queries[e.Peer]
	if q == nil || s.startup.done {
		return
	}
	q.inFlight = false
	q.failures++
	q.retryAt = s.now.Add(s.set.RetryBase + s.backoff(q.failures))
	if e.Err != nil {
		return
	}
	if e.Answer.YouHeld > s.startup.minVersion {
		s.startup.minVersion, s.startup.minVersionSeenBy = e.Answer.YouHeld, e.Peer
	}
	q.answered, q.ready = true, e.Answer.Ready
	q.version, q.otherHistory = e.Answer.Version, e.Answer.OtherHistory
	if s.runsOtherHistory(q) {
		s.recordConflict(e.Peer, e.Answer.Version)
		return
	}
	s.versionReceived(VersionReceived{Peer: e.Peer, Version: e.Answer.Version, Pushed: true})
}
