package route

import (
	"slices"
	"time"
)

// Spilling to the next tier becomes possible when the cheaper of two endpoints costs more than
// spillStartCost (an endpoint with its last slot taken costs 1), and is certain from
// spillCertainCost. An endpoint of a farther tier must be cheaper by spillMargin.
const (
	spillStartCost   = 0.75
	spillCertainCost = 1.25
	spillMargin      = 0.15
)

// maxRandomDraws bounds the random draws before a scan for an open endpoint.
const maxRandomDraws = 4

// overdueFactor is the number of trial intervals that an ejected endpoint waits for an idempotent
// call before any call may be its trial.
const overdueFactor = 4

// Pick picks an endpoint for an attempt. It avoids the endpoints in tried while there are others.
// The error is a *call.Refusal if no endpoint accepts calls.
func (p *Picker) Pick(now time.Time, tried []string) (Choice, error) {
	return p.pick(p.millis(now), tried, overdueFactor)
}

// PickIdempotent is Pick for a call that may safely be sent again, and so is a better trial for an
// ejected endpoint.
func (p *Picker) PickIdempotent(now time.Time, tried []string) (Choice, error) {
	return p.pick(p.millis(now), tried, 1)
}

func (p *Picker) pick(now int64, tried []string, overdue int64) (Choice, error) {
	t := p.table.Load()
	if len(tried) == 0 {
		if s := t.claimDueTrial(now, overdue); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.pickCanary(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.pickByTier(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.pickBeyondSubset(t, now, tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.pickBeyondSubset(t, now, nil); s != nil {
		return p.choose(s, false), nil
	}
	return Choice{}, p.refusal(t, now)
}

// PickAnywhere picks a random open endpoint of any data centre. It is for calls refused for a
// reason unrelated to load, where preferring local endpoints would try the same few again.
func (p *Picker) PickAnywhere(now time.Time, tried []string) (Choice, error) {
	ms := p.millis(now)
	t := p.table.Load()
	if len(t.all) == 0 {
		return Choice{}, noEndpointRefusal()
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

// pickByTier goes through the tiers from near to far and stops at the first with enough capacity.
func (p *Picker) pickByTier(t *table, now int64, tried []string) *state {
	var best *state
	var bestCost float64
	for _, subset := range t.subset {
		if best != nil && !p.spills(bestCost) {
			return best
		}
		s, cost := p.bestOfTwo(subset, now, tried)
		if s == nil {
			continue
		}
		if best == nil || cost+spillMargin < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// spills decides at random whether to try the next tier. The probability grows with the cost, so
// that the nodes of a data centre that detect a shortage together don't all spill at once.
func (p *Picker) spills(cost float64) bool {
	if cost <= spillStartCost {
		return false
	}
	return p.randomFloat() < (cost-spillStartCost)/(spillCertainCost-spillStartCost)
}

// maxExtraDraws bounds the further draws while the better of two endpoints has a failure rate of at
// least redrawFailureRate.
const (
	maxExtraDraws     = 4
	redrawFailureRate = 0.15
)

// bestOfTwo returns the cheaper of the next endpoint in round-robin order and a random one, and its
// cost. If many endpoints fail, both may be failing ones that the ejection cap keeps in; it then
// draws further ones.
func (p *Picker) bestOfTwo(from []*state, now int64, tried []string) (*state, float64) {
	best, factor := p.firstOfTwo(from, now, tried)
	if best == nil {
		return nil, 0
	}
	cost := p.costAt(best, now, factor(p, best, now))
	for i := range 1 + maxExtraDraws {
		failureRate := best.failureRate(now, p.halfLife)
		if i > 0 && failureRate < redrawFailureRate {
			break
		}
		s := p.drawRandom(from, now, tried, best)
		if s == nil {
			break
		}
		margin := switchCostRatio
		if failureRate > 0 {
			margin = 1
		}
		if c := p.costAt(s, now, factor(p, s, now)); c < cost*margin {
			best, cost = s, c
		}
	}
	return best, cost
}

// switchCostRatio is the cost of the random endpoint, relative to that of the next one in turn,
// below which it is preferred. Costs are estimates, and following small differences spreads calls
// less evenly than round robin does. The margin does not apply to an endpoint whose calls fail.
const switchCostRatio = 0.8

// nextInTurn returns the next endpoint in round-robin order, or a random one if that is not open or
// held back by its slow start.
func (p *Picker) nextInTurn(from []*state, now int64, tried []string) *state {
	if len(from) == 0 {
		return nil
	}
	s := from[p.turns.Add(1)%uint64(len(from))]
	if usable(s, now, tried) && p.passesSlowStart(s, now) {
		return s
	}
	return p.drawRandom(from, now, tried, nil)
}

// drawRandom returns a random open endpoint other than except.
func (p *Picker) drawRandom(from []*state, now int64, tried []string, except *state) *state {
	if len(from) == 0 {
		return nil
	}
	for range maxRandomDraws {
		s := from[p.randomN(len(from))]
		if s != except && usable(s, now, tried) && p.passesSlowStart(s, now) {
			return s
		}
	}
	start := p.randomN(len(from))
	for i := range from {
		s := from[(start+i)%len(from)]
		if s != except && usable(s, now, tried) {
			return s
		}
	}
	return nil
}

// passesSlowStart decides at random whether an endpoint in its slow start stays picked.
func (p *Picker) passesSlowStart(s *state, now int64) bool {
	r := s.ramp(now, p.slowStart)
	return r >= 1 || p.randomFloat() < r
}

func usable(s *state, now int64, tried []string) bool {
	return !s.paused(now) && accepts(s, now, tried)
}

// accepts is usable regardless of rate limits, of which nodes learn at different times.
func accepts(s *state, now int64, avoid []string) bool {
	return s.open(now) && !slices.Contains(avoid, s.ep.Load().ID)
}

// pickBeyondSubset considers all endpoints, including ejected ones and those outside the subset:
// sending a call on outdated information is better than refusing it.
func (p *Picker) pickBeyondSubset(t *table, now int64, tried []string) *state {
	s, _ := p.bestOfTwo(t.all, now, tried)
	return s
}

// claimDueTrial claims the trial of an ejected endpoint that is due, or returns nil.
func (t *table) claimDueTrial(now, overdue int64) *state {
	for _, s := range t.ejected {
		due := s.nextTrial.Load() + (overdue-1)*s.interval.Load()
		if now >= due && s.open(now) && s.trialRunning.CompareAndSwap(false, true) {
			return s
		}
	}
	return nil
}

// PickByKey picks by key alone (rendezvous hashing), so that nodes with the same view pick the same
// endpoint. It is for requests that must run at one endpoint at a time. Endpoints in avoid are used
// only if no other is open. avoid must be the same at all nodes, so it must not hold the endpoints
// that only this call has tried.
func (p *Picker) PickByKey(now time.Time, key uint64, avoid []string) (Choice, error) {
	s := p.byKey(now, key, avoid)
	if s == nil {
		return Choice{}, noEndpointRefusal()
	}
	return p.choose(s, false), nil
}

// TriedAll reports whether tried holds every endpoint that accepts calls. Pick then returns one of
// them again.
func (p *Picker) TriedAll(now time.Time, tried []string) bool {
	ms := p.millis(now)
	return !slices.ContainsFunc(p.table.Load().all, func(s *state) bool { return usable(s, ms, tried) })
}

// EndpointByKey returns the ID of the endpoint that PickByKey picks, or "" if there is none. It
// counts no call.
func (p *Picker) EndpointByKey(now time.Time, key uint64, avoid []string) string {
	if s := p.byKey(now, key, avoid); s != nil {
		return s.ep.Load().ID
	}
	return ""
}

func (p *Picker) byKey(now time.Time, key uint64, avoid []string) *state {
	ms := p.millis(now)
	all := p.table.Load().all
	if s := highestRanked(all, ms, key, avoid); s != nil {
		return s
	}
	return highestRanked(all, ms, key, nil)
}

// highestRanked returns the open endpoint with the highest rank for key.
func highestRanked(all []*state, now int64, key uint64, avoid []string) *state {
	var best *state
	var bestRank uint64
	for _, s := range all {
		if !accepts(s, now, avoid) {
			continue
		}
		if r := rankKey(key, s.ep.Load().ID); best == nil || r > bestRank {
			best, bestRank = s, r
		}
	}
	return best
}
