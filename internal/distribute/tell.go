package distribute

import (
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// telling is what the node still has to tell, and whom it told last.
type telling struct {
	due     bool
	at      time.Time
	from    config.Version // what the told nodes are taken to hold
	origin  bool
	version config.Version  // told last
	deltas  []*config.Delta // that went with it
	adopted map[string]bool // lost nodes whose children were told
}

// maxAdopted bounds the lost nodes that one node stands in for, per version.
const maxAdopted = 16

// planTell has the versions after from told once PushDelay has passed.
func (s *State) planTell(from config.Version, origin bool) {
	t := &s.tell
	t.origin = t.origin || origin
	if t.due {
		return
	}
	t.due = true
	t.from = from
	t.at = s.now.Add(s.set.Profile.PushDelay)
}

func (s *State) scheduleTell() {
	t := &s.tell
	if !t.due || s.now.Before(t.at) {
		return
	}
	t.due = false
	t.version = s.Version()
	t.deltas = s.pushable(t.from)
	t.adopted = make(map[string]bool)
	peers := newTree(&s.set, s.view, t.version).targets(t.origin, s.set.Profile.PushAcrossDCs)
	t.origin = false
	s.emitTell(peers)
}

func (s *State) emitTell(peers []string) {
	if len(peers) > 0 {
		s.emit(Push{Peers: peers, Version: s.tell.version, Deltas: s.tell.deltas})
	}
}

// pushable returns the deltas after from if they are small enough to push.
func (s *State) pushable(from config.Version) []*config.Delta {
	ds, ok := s.chain.since(from)
	if !ok {
		return nil
	}
	size := 0
	for _, d := range ds {
		size += deltaSize(d)
	}
	if size > s.set.Profile.MaxInlineBytes {
		return nil
	}
	return ds
}

// told stands in for a node that could not be reached. Without that, the loss
// of one node near the top of the tree would leave its whole branch to learn
// of the version from membership messages, seconds later.
func (s *State) told(e PushDone) {
	t := &s.tell
	if e.Err == nil || e.Version != t.version || t.adopted[e.Peer] || len(t.adopted) >= maxAdopted {
		return
	}
	t.adopted[e.Peer] = true
	s.emitTell(newTree(&s.set, s.view, t.version).adopted(e.Peer))
}
