package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Update takes in the endpoints of a new membership view. What was observed of
// an endpoint is kept by its ID, and dropped with the endpoint.
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
	p.dropGone(len(eps))
	p.rebuild()
}

// stateOf returns the state of an endpoint, a fresh one at the end of the order if it has none.
func (p *Picker) stateOf(e *Endpoint) *state {
	s := p.states[e.ID]
	if s == nil {
		s = &state{preference: rank(p.opt.Self, e.ID)}
		p.states[e.ID] = s
		p.order = append(p.order, s)
	}
	return s
}

// dropGone forgets the endpoints that the last update did not hold.
func (p *Picker) dropGone(held int) {
	if len(p.order) == held {
		return
	}
	p.order = slices.DeleteFunc(p.order, func(s *state) bool { return s.update != p.update })
	maps.DeleteFunc(p.states, func(_ string, s *state) bool { return s.update != p.update })
}

// startRamp begins the slow start of an endpoint that became ready.
//
// ReadySince is by the clock of another node. A clock ahead of ours would hold
// the endpoint in its slow start for as long as it is ahead, so the start is
// never later than the moment this node learned of it.
func (p *Picker) startRamp(s *state, now time.Time, ms int64, e *Endpoint, first bool) {
	old := s.ep.Load()
	if !e.Ready || old == nil && e.ReadySince.IsZero() {
		return
	}
	if old != nil && old.Ready && old.ReadySince.Equal(e.ReadySince) {
		return
	}
	if old != nil {
		s.forgetProcess()
	}
	age := now.Sub(e.ReadySince)
	if age >= p.opt.SlowStart {
		return
	}
	if !first || age < 0 {
		age = 0
	}
	s.rampFrom.Store(ms - age.Milliseconds())
}

// forgetProcess drops what was observed of the process that ran before under the
// same ID. Kept, its load would keep calls away from an idle backend server, and its
// last word that it takes none would do so for seconds.
func (s *state) forgetProcess() {
	for _, a := range []*average{&s.failures, &s.latency, &s.others, &s.linkWait} {
		a.clear()
	}
	s.results.Store(0)
	s.refusedTil.Store(0)
	s.ejected.Store(false)
	s.trialsOK.Store(0)
}

// rebuild makes the table anew. The caller holds mu.
func (p *Picker) rebuild() {
	t := &table{all: slices.Clone(p.order)}
	var byTier [tiers][]*state
	for _, s := range t.all {
		e := s.ep.Load()
		if !e.Ready || e.Draining {
			continue
		}
		n := p.tierOf(e)
		if e.Canary {
			t.canaries[n], t.tries = append(t.canaries[n], s), true
			continue
		}
		byTier[n] = append(byTier[n], s)
	}
	for n, list := range byTier {
		t.take(tier(n), list, p.subsetSize(tier(n), len(list)), p.opt.Self)
	}
	p.table.Store(t)
}

// take puts the first size endpoints that are not ejected in the subset, and
// the ejected ones that came before them among those to be tried.
func (t *table) take(n tier, list []*state, size int, self string) {
	for _, s := range list {
		if len(t.near[n]) == size {
			return
		}
		if s.ejected.Load() {
			t.ejected = append(t.ejected, s)
			continue
		}
		t.near[n] = append(t.near[n], s)
		if s.ep.Load().VM == self {
			t.own = append(t.own, s)
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

// byPreference orders endpoints by this node's rendezvous hash, the ID
// breaking a tie.
func byPreference(a, b *state) int {
	if c := cmp.Compare(b.preference, a.preference); c != 0 {
		return c
	}
	return cmp.Compare(a.ep.Load().ID, b.ep.Load().ID)
}

// Endpoints returns what the Picker holds true of every endpoint, ordered by
// ID.
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
		InSubset:     slices.Contains(t.near[p.tierOf(&e)], s),
		Ejected:      s.ejected.Load(),
		SlowStarting: s.ramp(ms, p.slowStart) < 1,
		Outstanding:  int(s.outstanding.Load()),
		FailureRate:  s.failing(ms, p.forget),
	}
	if st.Ejected {
		st.NextTrial = p.moment(s.nextTrial.Load())
	}
	return st
}
