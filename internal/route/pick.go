package route

import (
	"slices"
	"time"
)

// Spilling to the next tier begins when the cheaper of two near endpoints
// costs spillFrom (one is an endpoint whose last slot is taken) and is sure to be weighed at
// spillFull. A farther endpoint must be cheaper by spillMargin.
const (
	spillFrom   = 0.75
	spillFull   = 1.25
	spillMargin = 0.15
)

// drawTries bounds the random draws before a scan looks for an open endpoint.
const drawTries = 4

// overdueFactor is how many trial intervals an ejected endpoint waits for a
// call that may be repeated before any call may be its trial.
const overdueFactor = 4

// Pick picks an endpoint for an attempt. Endpoints in tried are avoided as long
// as there are others. The error is a *call.Refusal when no endpoint takes
// calls.
func (p *Picker) Pick(now time.Time, tried []string) (Choice, error) {
	return p.pick(p.millis(now), tried, overdueFactor)
}

// PickIdempotent is Pick for a call that may be sent again whatever happens to
// it, which makes it the better trial for an ejected endpoint.
func (p *Picker) PickIdempotent(now time.Time, tried []string) (Choice, error) {
	return p.pick(p.millis(now), tried, 1)
}

func (p *Picker) pick(now int64, tried []string, overdue int64) (Choice, error) {
	t := p.table.Load()
	if len(tried) == 0 {
		if s := t.dueTrial(now, overdue); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.canary(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.pickNear(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.firstOpen(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.firstOpen(t, now, nil); s != nil {
		return p.choose(s, false), nil
	}
	return Choice{}, noEndpoint()
}

// PickAnywhere picks a random open endpoint of any data centre. It is for calls
// that were refused for a reason that has nothing to do with load, where to
// prefer the near ones would be to ask the same few again.
func (p *Picker) PickAnywhere(now time.Time, tried []string) (Choice, error) {
	ms := p.millis(now)
	t := p.table.Load()
	if len(t.all) == 0 {
		return Choice{}, noEndpoint()
	}
	start := p.randomN(len(t.all))
	for i := range t.all {
		s := t.all[(start+i)%len(t.all)]
		if usable(s, ms, tried) && !s.ejected.Load() {
			return p.choose(s, false), nil
		}
	}
	return p.Pick(now, tried)
}

func (p *Picker) choose(s *state, trial bool) Choice {
	s.outstanding.Add(1)
	return Choice{p: p, s: s, ep: s.ep.Load(), trial: trial}
}

// pickNear goes through the tiers from near to far and stops at the first that
// is not short.
func (p *Picker) pickNear(t *table, now int64, tried []string) *state {
	var best *state
	var bestCost float64
	for _, near := range t.near {
		if best != nil && !p.spills(bestCost) {
			return best
		}
		s, cost := p.bestOfTwo(near, now, tried)
		if s == nil {
			continue
		}
		if best == nil || cost+spillMargin < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// spills draws whether the next tier is looked at. The chance grows with the
// cost, so that the nodes of a data centre which learn together that it is
// short don't all leave it together.
func (p *Picker) spills(cost float64) bool {
	if cost <= spillFrom {
		return false
	}
	return p.randomFloat() < (cost-spillFrom)/(spillFull-spillFrom)
}

// moreDraws bounds the further draws when the better of two still fails at
// least the share drawOn of its calls.
const (
	moreDraws = 4
	drawOn    = 0.15
)

// bestOfTwo compares the endpoint whose turn it is to a random one. Where many fail, both
// may be failing ones that the cap keeps from being ejected; then it draws on.
func (p *Picker) bestOfTwo(from []*state, now int64, tried []string) (*state, float64) {
	best := p.turn(from, now, tried)
	if best == nil {
		return nil, 0
	}
	cost := p.cost(best, now)
	for i := range 1 + moreDraws {
		failing := best.failing(now, p.forget)
		if i > 0 && failing < drawOn {
			break
		}
		s := p.draw(from, now, tried, best)
		if s == nil {
			break
		}
		margin := clearlyCheaper
		if failing > 0 {
			margin = 1
		}
		if c := p.cost(s, now); c < cost*margin {
			best, cost = s, c
		}
	}
	return best, cost
}

// clearlyCheaper is what the cost of the second endpoint must be below, as a
// part of that of the first, to take its turn. Costs are estimates, and going by
// the last bit of them spreads calls less evenly than taking turns.
// The margin falls away for an endpoint whose calls fail.
const clearlyCheaper = 0.8

// turn returns the endpoint whose turn it is, or a random one if that is not
// open or in its slow start.
func (p *Picker) turn(from []*state, now int64, tried []string) *state {
	if len(from) == 0 {
		return nil
	}
	s := from[p.turns.Add(1)%uint64(len(from))]
	if usable(s, now, tried) && p.stands(s, now) {
		return s
	}
	return p.draw(from, now, tried, nil)
}

// draw returns a random open endpoint other than not.
func (p *Picker) draw(from []*state, now int64, tried []string, not *state) *state {
	if len(from) == 0 {
		return nil
	}
	for range drawTries {
		s := from[p.randomN(len(from))]
		if s != not && usable(s, now, tried) && p.stands(s, now) {
			return s
		}
	}
	start := p.randomN(len(from))
	for i := range from {
		s := from[(start+i)%len(from)]
		if s != not && usable(s, now, tried) {
			return s
		}
	}
	return nil
}

// stands draws whether an endpoint in its slow start keeps its place in a draw.
func (p *Picker) stands(s *state, now int64) bool {
	r := s.ramp(now, p.slowStart)
	return r >= 1 || p.randomFloat() < r
}

func usable(s *state, now int64, tried []string) bool {
	return s.open(now) && !slices.Contains(tried, s.ep.Load().ID)
}

// firstOpen looks beyond the subset and at ejected endpoints too: going on
// with what was last known is better than refusing.
func (p *Picker) firstOpen(t *table, now int64, tried []string) *state {
	s, _ := p.bestOfTwo(t.all, now, tried)
	return s
}

// dueTrial takes the trial of an ejected endpoint that is due, if there is one.
func (t *table) dueTrial(now, overdue int64) *state {
	for _, s := range t.ejected {
		due := s.nextTrial.Load() + (overdue-1)*s.interval.Load()
		if now >= due && s.open(now) && s.onTrial.CompareAndSwap(false, true) {
			return s
		}
	}
	return nil
}

// PickByKey picks by key alone, so that nodes with the same view pick the same
// endpoint. It is for requests that must run at one place at a time. Endpoints in
// avoid are taken only if no other is open. They must be the same at all nodes,
// so what this call tried before doesn't belong there.
func (p *Picker) PickByKey(now time.Time, key uint64, avoid []string) (Choice, error) {
	s := p.fixed(now, key, avoid)
	if s == nil {
		return Choice{}, noEndpoint()
	}
	return p.choose(s, false), nil
}

// TriedAll reports whether tried holds every endpoint that takes calls. Pick then
// gives one of them again.
func (p *Picker) TriedAll(now time.Time, tried []string) bool {
	ms := p.millis(now)
	return !slices.ContainsFunc(p.table.Load().all, func(s *state) bool { return usable(s, ms, tried) })
}

// EndpointByKey returns the ID of the endpoint that PickByKey picks, or "" if there is
// none. No call is counted for it.
func (p *Picker) EndpointByKey(now time.Time, key uint64, avoid []string) string {
	if s := p.fixed(now, key, avoid); s != nil {
		return s.ep.Load().ID
	}
	return ""
}

func (p *Picker) fixed(now time.Time, key uint64, avoid []string) *state {
	ms := p.millis(now)
	all := p.table.Load().all
	if s := highest(all, ms, key, avoid); s != nil {
		return s
	}
	return highest(all, ms, key, nil)
}

// highest returns the open endpoint with the highest rank for key.
func highest(all []*state, now int64, key uint64, avoid []string) *state {
	var best *state
	var bestRank uint64
	for _, s := range all {
		if !usable(s, now, avoid) {
			continue
		}
		if r := rankKey(key, s.ep.Load().ID); best == nil || r > bestRank {
			best, bestRank = s, r
		}
	}
	return best
}
