package membership

import (
	"maps"
	"time"
)

// View returns the current view. It is rebuilt only after a change; unchanged records are shared
// with the previous view.
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
			v.Records[id] = s.observed(e)
		}
	}
	s.view = v
	return v
}

// Stale reports whether the last View is out of date, and whether in more than the versions that
// nodes hold.
func (s *State) Stale() (any, records bool) {
	return s.viewDirty || s.heldDirty || s.view == nil, s.viewDirty || s.view == nil
}

func (s *State) observed(e *entry) *ObservedRecord {
	state := e.rec.State
	if state == VMAlive && (e.suspicion != nil || s.cutOffSinceExchange(e)) {
		state = VMSuspect
	}
	if e.published != nil && e.published.State == state {
		return e.published
	}
	e.published = &ObservedRecord{Record: e.rec, UpdatedAt: e.updatedAt}
	e.published.State = state
	if e.heldVersion > e.rec.AppliedVersion {
		// The hash of the newer version is unknown.
		e.published.AppliedVersion, e.published.AppliedHash = e.heldVersion, [8]byte{}
	}
	return e.published
}

// cutOffSinceExchange reports whether the data centre of e is cut off and e itself was not
// reached since.
func (s *State) cutOffSinceExchange(e *entry) bool {
	since, cut := s.cutOff[e.centre.name]
	return cut && !e.lastExchange.After(since)
}
