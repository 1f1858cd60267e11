package route

import "time"

// PickInfo describes the call that an endpoint is picked for.
type PickInfo struct {
	// Tried holds the IDs of the endpoints that already had the call.
	Tried []string
	// Idempotent means that the call may safely be sent again.
	Idempotent bool
	// RemoteCost is the extra cost of an endpoint in another data centre, in units of load per
	// slot: 1 is as much as having all slots taken. It is used only with Options.RegionWide.
	RemoteCost float64
}

// otherVMCostShare is the share of PickInfo.RemoteCost added for an endpoint on another VM of the
// own data centre: its answer crosses two links, but no data centre border.
const otherVMCostShare = 0.25

// largeAnswerCost is the PickInfo.RemoteCost above which an answer counts as large, so that the
// wait for the endpoint's link counts too.
const largeAnswerCost = 0.4

// linkWaitUnitMillis is the link wait that costs as much as having all slots taken: about the time
// in which a full set of slots is free again.
const linkWaitUnitMillis = 200 // ms

// linkCost returns the cost of waiting for the endpoint's link, for a large answer. A reported wait
// decays as fast as the wait itself does.
func (p *Picker) linkCost(s *state, now int64) float64 {
	ms, age, ok := s.linkWait.load(now)
	if !ok {
		return 0
	}
	return ms * decay(age, linkWaitUnitMillis) / linkWaitUnitMillis
}

// PickFor picks an endpoint for the call that a describes. See Pick.
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
		if s := t.claimDueTrial(ms, overdue); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.pickCanary(t, ms, a.Tried); s != nil {
		return p.choose(s, false), nil
	}
	if s := p.pickRegionWide(t, ms, a); s != nil {
		return p.choose(s, false), nil
	}
	return p.pick(ms, a.Tried, overdueFactor)
}

// pickRegionWide returns the cheaper of the best of two endpoints of the own data centre and the
// best of two of the region's others. If RemoteCost is set, the endpoint on the own VM is compared
// too.
func (p *Picker) pickRegionWide(t *table, now int64, a PickInfo) *state {
	var best *state
	var bestCost float64
	consider := func(s *state, cost float64) {
		if s == nil {
			return
		}
		if a.RemoteCost > largeAnswerCost && s.ep.Load().VM != p.opt.Self {
			cost += p.linkCost(s, now)
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	local, cost := p.bestOfTwo(t.subset[tierOwn], now, a.Tried)
	consider(local, cost+otherVMCostShare*a.RemoteCost)
	remote, cost := p.bestOfTwo(t.subset[tierRegion], now, a.Tried)
	consider(remote, cost+a.RemoteCost)
	if a.RemoteCost > 0 {
		for _, s := range t.sameVM {
			if usable(s, now, a.Tried) {
				consider(s, p.cost(s, now))
			}
		}
	}
	return best
}
