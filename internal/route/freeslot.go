package route

import (
	"sync/atomic"
	"time"
)

// Answers report how many slots of the endpoint are busy. The node that receives an answer may know
// of a free slot that other nodes don't, and sends its next call there. The endpoint reporting a
// free slot, instead of the caller polling endpoints, is the idea of "Join-Idle-Queue" (Lu, Xie,
// Kliot, Geller, Larus, Greenberg, 2011). Here the reports travel on answers only.

const (
	// maxHints is how many endpoints with a free slot are remembered. Slots of older answers are
	// most likely taken.
	maxHints = 8
	// hintTTLMillis is how long a reported free slot is worth a call. It is about the length of a
	// call, in which each slot is assigned once.
	hintTTLMillis = 300
)

// hint is an endpoint that had a free slot when it answered. If it has left the mesh since, it
// refuses the call, like any call in flight when an endpoint leaves.
type hint struct {
	s  *state
	at int64 // ms
}

// hints holds the last endpoints that answered with a free slot.
type hints struct {
	ring [maxHints]atomic.Pointer[hint]
	next atomic.Uint64
}

func (h *hints) add(s *state, now int64) {
	h.ring[h.next.Add(1)%maxHints].Store(&hint{s, now})
}

// take returns and removes the newest endpoint that accept allows, so that one call is sent per
// report. If better is set, it takes the best endpoint instead of the newest.
func (h *hints) take(now int64, accept func(*state) bool, better func(a, b *state) bool) *state {
	if better != nil {
		return h.takeBest(now, accept, better)
	}
	newest := h.next.Load()
	for i := range uint64(maxHints) {
		entry := &h.ring[(newest-i)%maxHints]
		candidate := entry.Load()
		if candidate == nil || now-candidate.at > hintTTLMillis || !accept(candidate.s) {
			continue
		}
		if entry.CompareAndSwap(candidate, nil) {
			return candidate.s
		}
	}
	return nil
}

// recordFreeSlot adds a hint if the endpoint reported a free slot.
func (p *Picker) recordFreeSlot(s *state, now int64, l Load) {
	if l.Present && l.Busy < l.Slots {
		p.freeSlots.add(s, now)
	}
}

// PickFreeSlot picks an endpoint that is likely to have a free slot, for a call that is refused
// instead of queued. The endpoint is in the own data centre, or in another one of the region if
// ownDataCentre is false. The endpoint on this VM comes first, since it needs no network hop. The
// error is a *call.Refusal if all endpoints that accept calls are in tried.
func (p *Picker) PickFreeSlot(now time.Time, ownDataCentre bool, tried []string) (Choice, error) {
	ms := p.millis(now)
	t := p.table.Load()
	if len(tried) == 0 {
		if s := t.claimDueTrial(ms, overdueFactor); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.pickCanary(t, ms, tried); s != nil {
		return p.choose(s, false), nil
	}
	s := p.freeSlotEndpoint(t, ms, ownDataCentre, tried)
	if s == nil {
		return Choice{}, noEndpointRefusal()
	}
	return p.choose(s, false), nil
}

func (p *Picker) freeSlotEndpoint(t *table, now int64, ownDataCentre bool, tried []string) *state {
	if !ownDataCentre {
		return p.freeSlotInTier(tierRegion, t, now, tried)
	}
	for _, s := range t.sameVM {
		if usable(s, now, tried) && s.failureRate(now, p.halfLife) < redrawFailureRate && p.fastEnough(s, now) {
			return s
		}
	}
	return p.freeSlotInTier(tierOwn, t, now, tried)
}

// freeSlotInTier returns the endpoint of a tier that last reported a free slot, or else the better
// of two.
func (p *Picker) freeSlotInTier(n tier, t *table, now int64, tried []string) *state {
	hinted := p.freeSlots.take(now, func(s *state) bool {
		return p.tierOf(s.ep.Load()) == n && usable(s, now, tried) && !s.ejected.Load() &&
			s.failureRate(now, p.halfLife) < redrawFailureRate && p.passesSlowStart(s, now)
	}, p.fasterFirst(now))
	if hinted != nil {
		return hinted
	}
	s, _ := p.bestOfTwo(t.subset[n], now, tried)
	return s
}
