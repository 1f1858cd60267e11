package distribute

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// starting is the work of a node that has no memory and may not carry traffic
// yet.
type starting struct {
	done  bool
	asks  map[string]*ask // by peer
	floor uint64          // highest version that a peer saw in force here
	by    string          // the peer that saw it
}

// maxForeign is how many peers of another history keep a starting node from
// carrying traffic. One may be a liar; with two, this node is the odd one out.
const maxForeign = 2

// ask is one peer asked for what it saw this node hold.
type ask struct {
	busy     bool
	answered bool
	ready    bool           // the peer carried traffic when it answered
	version  config.Version // that the peer held then
	other    bool           // the peer said that it runs another history
	fails    int
	after    time.Time
}

// runsOther reports whether the peer that answered runs another history than this node.
//
// It goes by the version held now. A node that asked while it held nothing may take
// another history from the platform after that, as of a table restored by mistake.
// Judged when they came, the answers would count for it, and it would serve callers
// from a configuration that no other node runs.
func (s *State) runsOther(a *ask) bool {
	return a.other || a.answered && s.chain.relation(a.version) == relationOther
}

// Ready reports whether the node may carry traffic, and if not, why.
//
// A node keeps nothing on disk. A restarted one must not serve an older version
// than it served before, so it asks several peers what they saw it hold, and
// the platform, and stays not ready until it runs at least that and at least
// what it hears of now. An answer from a peer that is starting itself proves
// nothing: in a herd, all could agree on the empty configuration.
func (s *State) Ready() (bool, string) {
	if s.start.done {
		return true, ""
	}
	return false, s.waitingFor()
}

func (s *State) judgeReady() {
	if !s.start.done && s.waitingFor() == "" {
		s.start.done = true
		clear(s.start.asks)
	}
}

// waitingFor returns why the node is not ready, or "".
func (s *State) waitingFor() string {
	switch {
	case s.inForce < s.start.floor:
		return fmt.Sprintf("version %d is in force, but %s saw version %d in force here before",
			s.inForce, s.start.by, s.start.floor)
	case s.inForce == 0 && s.Version().Number > 0:
		return fmt.Sprintf("version %d is held but not in force", s.Version().Number)
	}
	return s.uninformed()
}

// CaughtUp reports whether this node has heard enough to hold what the mesh
// holds, in force or not. Unlike Ready it does not ask that the version can run
// here: a mesh that cannot run its newest version has to take the change that
// mends it.
func (s *State) CaughtUp() bool {
	return s.start.done || (s.Version().Number >= s.start.floor && s.uninformed() == "")
}

// uninformed returns what the node has yet to hear or read, or "".
func (s *State) uninformed() string {
	switch {
	case len(s.claims) > 0 || s.jump != nil:
		return "peers hold a newer version"
	case s.feed.head.Newer(s.Version()):
		return "the platform holds a newer version"
	}
	if n, yes := s.foreignPeers(); yes {
		return fmt.Sprintf("%d peers run another history than version %d (%s) held here",
			n, s.Version().Number, s.Version().Hash.Short())
	}
	return s.waitingForAnswers()
}

// foreignPeers reports whether so many peers run another history that this node is the odd
// one out.
func (s *State) foreignPeers() (n int, yes bool) {
	n = s.foreignAsked()
	return n, n > 0 && n >= min(maxForeign, s.others())
}

// Orphaned reports whether neither the peers nor the platform have the history that this
// node holds, and has never carried traffic with.
//
// It guards against a node that started while the platform held a table that was restored by
// mistake. Once the right table is back, no change leads from what it holds to what all
// others run: it would refuse its callers until somebody starts it again. Its platform's head
// counts only when several answers in a row agree; see noteHead.
func (s *State) Orphaned() bool {
	_, foreign := s.foreignPeers()
	head := s.feed.head
	return !s.start.done && foreign && head.Number > 0 && s.chain.relation(head) == relationOther
}

// foreignAsked counts the peers asked that run another history.
func (s *State) foreignAsked() int {
	n := 0
	for _, a := range s.start.asks {
		if s.runsOther(a) {
			n++
		}
	}
	return n
}

func (s *State) waitingForAnswers() string {
	answered, ready := 0, 0
	for _, a := range s.start.asks {
		if s.runsOther(a) {
			continue
		}
		if a.answered {
			answered++
		}
		if a.ready {
			ready++
		}
	}
	want := min(s.set.QueryPeers, s.others())
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
func (s *State) others() int {
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

// scheduleAsks keeps as many peers asked as the node wants answers from.
func (s *State) scheduleAsks() {
	if s.start.done {
		return
	}
	need := s.set.QueryPeers
	for _, a := range s.start.asks {
		if a.busy || a.ready && !s.runsOther(a) {
			need--
		}
	}
	for ; need > 0; need-- {
		peer := s.randomPeer(s.mayAsk)
		if peer == "" {
			return
		}
		a := s.start.asks[peer]
		if a == nil {
			a = new(ask)
			s.start.asks[peer] = a
		}
		a.busy = true
		s.emit(Query{Peer: peer, Version: s.Version()})
	}
}

func (s *State) mayAsk(peer string) bool {
	a := s.start.asks[peer]
	return a == nil || !a.busy && (!a.ready || s.runsOther(a)) && !s.now.Before(a.after)
}

func (s *State) asked(e Queried) {
	a := s.start.asks[e.Peer]
	if a == nil || s.start.done {
		return
	}
	a.busy = false
	a.fails++
	a.after = s.now.Add(s.set.RetryBase + s.backoff(a.fails))
	if e.Err != nil {
		return
	}
	if e.Answer.YouHeld > s.start.floor {
		s.start.floor, s.start.by = e.Answer.YouHeld, e.Peer
	}
	a.answered, a.ready = true, e.Answer.Ready
	a.version, a.other = e.Answer.Version, e.Answer.OtherHistory
	if s.runsOther(a) {
		s.conflict(e.Peer, e.Answer.Version)
		return
	}
	s.heard(VersionReceived{Peer: e.Peer, Version: e.Answer.Version, Pushed: true})
}
