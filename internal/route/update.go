package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Update replaces the endpoints with those of a new membership view. Observations are kept by
// endpoint ID and dropped when the endpoint is gone.
func (p *Picker) Update(now time.Time, eps []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	epoch := now.Add(-time.Millisecond)
	first := p.epoch.CompareAndSwap(nil, &epoch)
	ms := p.millis(now)
	p.update++
	known := len(p.order)
	for i := range eps {
		s := p.stateOf(&eps[i])
		s.update = p.update
		if old := s.ep.Load(); old != nil && *old == eps[i] {
			continue
		}
		e := eps[i]
		p.startRamp(s, now, ms, &e, first)
		s.ep.Store(&e)
	}
	if len(p.order) > known {
		slices.SortFunc(p.order, byPreference)
	}
	p.removeAbsent(len(eps))
	p.rebuild()
}

// stateOf returns the state of an endpoint, appending a new one to the order if there is none.
func (p *Picker) stateOf(e *Endpoint) *state {
	s := p.states[e.ID]
	if s == nil {
		s = &state{preference: rank(p.opt.Self, e.ID)}
		p.states[e.ID] = s
		p.order = append(p.order, s)
	}
	return s
}

// removeAbsent removes the endpoints that were not in the last update, which had count of them.
func (p *Picker) removeAbsent(count int) {
	if len(p.order) == count {
		return
	}
	p.order = slices.DeleteFunc(p.order, func(s *state) bool { return s.update != p.update })
	maps.DeleteFunc(p.states, func(_ string, s *state) bool { return s.update != p.update })
}

// startRamp starts the slow start of an endpoint that became ready.
//
// ReadySince is by another node's clock. If that clock is ahead, the endpoint would stay in its
// slow start for as long as the clock is ahead, so the start is never later than the time at which
// this node received the record.
func (p *Picker) startRamp(s *state, now time.Time, ms int64, e *Endpoint, first bool) {
	old := s.ep.Load()
	if !e.Ready || old == nil && e.ReadySince.IsZero() {
		return
	}
	if old != nil && old.Ready && old.ReadySince.Equal(e.ReadySince) {
		return
	}
	if old != nil {
		s.resetObservations()
	}
	age := now.Sub(e.ReadySince)
	if age >= p.opt.SlowStart {
		return
	}
	if !first || age < 0 {
		age = 0
	}
	s.rampStart.Store(ms - age.Milliseconds())
}

// resetObservations clears the observations of the previous process under the same ID. Otherwise
// its load would keep calls away from an idle backend server, and a refusal of all calls would do
// so for seconds.
func (s *state) resetObservations() {
	for _, a := range []*average{&s.failures, &s.latency, &s.otherLoad, &s.linkWait, &s.rateLimit} {
		a.clear()
	}
	s.runTime.Clear()
	s.results.Store(0)
	s.refusedUntil.Store(0)
	s.pausedUntil.Store(0)
	s.ejected.Store(false)
	s.trialSuccesses.Store(0)
}

// rebuild builds a new table. The caller holds mu.
func (p *Picker) rebuild() {
	t := &table{all: slices.Clone(p.order)}
	var byTier [numTiers][]*state
	for _, s := range t.all {
		e := s.ep.Load()
		if !e.Ready || e.Draining {
			continue
		}
		n := p.tierOf(e)
		if e.Canary {
			t.canaries[n], t.hasCanaries = append(t.canaries[n], s), true
			continue
		}
		byTier[n] = append(byTier[n], s)
	}
	for n, list := range byTier {
		t.addTier(tier(n), list, p.subsetSize(tier(n), len(list)), p.opt.Self)
	}
	p.table.Store(t)
}

// addTier puts the first size endpoints that are not ejected into the subset, and the ejected ones
// before them into the trial list.
func (t *table) addTier(n tier, list []*state, size int, self string) {
	for _, s := range list {
		if len(t.subset[n]) == size {
			return
		}
		if s.ejected.Load() {
			t.ejected = append(t.ejected, s)
			continue
		}
		t.subset[n] = append(t.subset[n], s)
		if s.ep.Load().VM == self {
			t.sameVM = append(t.sameVM, s)
		}
	}
}

func (p *Picker) tierOf(e *Endpoint) tier {
	switch {
	case e.DataCentre == p.opt.DataCentre:
		return tierOwn
	case e.Region == p.opt.Region:
		return tierRegion
	}
	return tierFar
}

// byPreference orders endpoints by descending preference, then by ID.
func byPreference(a, b *state) int {
	if c := cmp.Compare(b.preference, a.preference); c != 0 {
		return c
	}
	return cmp.Compare(a.ep.Load().ID, b.ep.Load().ID)
}

// Endpoints returns the status of every endpoint, ordered by ID.
func (p *Picker) Endpoints(now time.Time) []EndpointStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	ms := p.millis(now)
	t := p.table.Load()
	out := make([]EndpointStatus, 0, len(p.states))
	for _, s := range p.states {
		out = append(out, p.status(s, t, ms))
	}
	slices.SortFunc(out, func(a, b EndpointStatus) int {
		return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID)
	})
	return out
}

func (p *Picker) status(s *state, t *table, ms int64) EndpointStatus {
	e := *s.ep.Load()
	st := EndpointStatus{
		Endpoint:     e,
		InSubset:     slices.Contains(t.subset[p.tierOf(&e)], s),
		Ejected:      s.ejected.Load(),
		SlowStarting: s.ramp(ms, p.slowStart) < 1,
		Outstanding:  int(s.outstanding.Load()),
		FailureRate:  s.failureRate(ms, p.halfLife),
	}
	if relative, ok := p.runTimes.Relative(ms, &s.runTime); ok {
		st.RelativeRun = relative
	}
	if st.Ejected {
		st.NextTrial = p.timeAt(s.nextTrial.Load())
	}
	return st
}
