package distribute

import (
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// pushState is the pending push and the last one sent.
type pushState struct {
	due      bool
	dueAt    time.Time
	base     config.Version // what the targets are assumed to hold
	origin   bool
	version  config.Version  // last pushed
	deltas   []*config.Delta // included in that push
	bypassed map[string]bool // unreachable nodes whose children were served
}

// maxBypassed bounds the unreachable nodes that one node bypasses, per version.
const maxBypassed = 16

// planPush schedules a push of the versions after base, once PushDelay has passed.
func (s *State) planPush(base config.Version, origin bool) {
	p := &s.push
	p.origin = p.origin || origin
	if p.due {
		return
	}
	p.due = true
	p.base = base
	p.dueAt = s.now.Add(s.set.Profile.PushDelay)
}

func (s *State) schedulePush() {
	p := &s.push
	if !p.due || s.now.Before(p.dueAt) {
		return
	}
	p.due = false
	p.version = s.Version()
	p.deltas = s.inlineDeltas(p.base)
	p.bypassed = make(map[string]bool)
	peers := newTree(&s.set, s.view, p.version).targets(p.origin, s.set.Profile.PushAcrossDCs)
	p.origin = false
	s.emitPush(peers)
}

func (s *State) emitPush(peers []string) {
	if len(peers) > 0 {
		s.emit(Push{Peers: peers, Version: s.push.version, Deltas: s.push.deltas})
	}
}

// inlineDeltas returns the deltas after from if they are small enough to include in a push.
func (s *State) inlineDeltas(from config.Version) []*config.Delta {
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

// pushDone bypasses a node that could not be reached, by pushing to its children. Otherwise the
// loss of one node near the root of the tree would delay its whole subtree by seconds, until it
// learns of the version from membership messages.
func (s *State) pushDone(e PushDone) {
	p := &s.push
	if e.Err == nil || e.Version != p.version || p.bypassed[e.Peer] || len(p.bypassed) >= maxBypassed {
		return
	}
	p.bypassed[e.Peer] = true
	s.emitPush(newTree(&s.set, s.view, p.version).bypassTargets(e.Peer))
}
