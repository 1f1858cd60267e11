package membership

import (
	"maps"
	"time"
)

// View returns the current picture. It is built anew only after a change; the
// records that did not change are shared with the picture before.
func (s *State) View(now time.Time) *View {
	s.advance(now)
	if s.view != nil && !s.viewDirty && !s.heldDirty {
		return s.view
	}
	s.viewDirty, s.heldDirty = false, false
	s.stats.Views++
	v := &View{
		Self:    s.self.VM.ID,
		Records: make(map[string]*ObservedRecord, s.live+1),
		CutOff:  maps.Clone(s.cutOff),
	}
	v.Records[v.Self] = &ObservedRecord{Record: s.self, UpdatedAt: s.now}
	for id, e := range s.entries {
		if !e.dead {
			v.Records[id] = s.seen(e)
		}
	}
	s.view = v
	return v
}

// Stale tells whether the last View is out of date, and whether in more than
// the versions that nodes hold.
func (s *State) Stale() (any, records bool) {
	return s.viewDirty || s.heldDirty || s.view == nil, s.viewDirty || s.view == nil
}

func (s *State) seen(e *entry) *ObservedRecord {
	state := e.rec.State
	if state == VMAlive && (e.suspicion != nil || s.unheard(e)) {
		state = VMSuspect
	}
	if e.published != nil && e.published.State == state {
		return e.published
	}
	e.published = &ObservedRecord{Record: e.rec, UpdatedAt: e.heard}
	e.published.State = state
	if e.held > e.rec.AppliedVersion {
		// Only the number of the newer version is known.
		e.published.AppliedVersion, e.published.AppliedHash = e.held, [8]byte{}
	}
	return e.published
}

// unheard tells whether e is behind a cut and was not itself reached since.
func (s *State) unheard(e *entry) bool {
	since, cut := s.cutOff[e.centre.name]
	return cut && !e.ok.After(since)
}
