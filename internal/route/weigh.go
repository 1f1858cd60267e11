package route

import "time"

// PickInfo says what a pick is for.
type PickInfo struct {
	// Tried are the endpoints that have had the call already.
	Tried []string
	// Idempotent says that the call may be sent again whatever happens to it.
	Idempotent bool
	// RemoteCost is what an endpoint in another data centre costs more, in the measure
	// of the cost: 1 is as much as all of its slots taken. It only counts where
	// Options.RegionWide is set.
	RemoteCost float64
}

// nearPart is the part of PickInfo.RemoteCost that an endpoint on another VM of the own data
// centre costs more: its answer crosses two links, though no data centre's border.
const nearPart = 0.25

// largeFar is the PickInfo.RemoteCost from which an answer counts as large, so that the wait
// for the endpoint's link counts too.
const largeFar = 0.4

// linkWaitUnit is the wait for a link that weighs as much as all slots taken: about
// the time in which a full set of slots is free again.
const linkWaitUnit = 200 // ms

// linkCost is what waiting for the endpoint's link adds to the cost of a large
// answer. What was heard of it fades as quickly as the wait itself does.
func (p *Picker) linkCost(s *state, now int64) float64 {
	ms, age, ok := s.linkWait.load(now)
	if !ok {
		return 0
	}
	return ms * fade(age, linkWaitUnit) / linkWaitUnit
}

// PickFor picks an endpoint for what a says. See Pick.
func (p *Picker) PickFor(now time.Time, a PickInfo) (Choice, error) {
	if !p.opt.RegionWide {
		if a.Idempotent {
			return p.PickIdempotent(now, a.Tried)
		}
		return p.Pick(now, a.Tried)
	}
	ms := p.millis(now)
	t := p.table.Load()
	if len(a.Tried) == 0 {
		overdue := int64(overdueFactor)
		if a.Idempotent {
			overdue = 1
		}
		if s := t.dueTrial(ms, overdue); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.canary(t, ms, a.Tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.weigh(t, ms, a); s != nil {
		return p.choose(s, false), nil
	}
	return p.pick(ms, a.Tried, overdueFactor)
}

// weigh compares the best of two endpoints of the own data centre to the best of
// two of the region's others. Where the way counts, the endpoint on the own VM is
// compared as well.
func (p *Picker) weigh(t *table, now int64, a PickInfo) *state {
	var best *state
	var bestCost float64
	take := func(s *state, cost float64) {
		if s == nil {
			return
		}
		if a.RemoteCost > largeFar && s.ep.Load().VM != p.opt.Self {
			cost += p.linkCost(s, now)
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	near, cost := p.bestOfTwo(t.near[tierOwn], now, a.Tried)
	take(near, cost+nearPart*a.RemoteCost)
	region, cost := p.bestOfTwo(t.near[tierRegion], now, a.Tried)
	take(region, cost+a.RemoteCost)
	if a.RemoteCost > 0 {
		for _, s := range t.own {
			if usable(s, now, a.Tried) {
				take(s, p.cost(s, now))
			}
		}
	}
	return best
}
