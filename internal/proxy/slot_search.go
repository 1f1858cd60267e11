package proxy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A call first searches for an endpoint with a free slot: it is offered to a few endpoints in turn,
// which start it at once or refuse it as busy, or decline it as slow (expected_run.go). Only if all
// refuse does it queue at one endpoint.
//
// Without the search, calls queue or are refused while slots are free elsewhere. In a mesh of
// hundreds of nodes an entry node sends a few calls a minute to each endpoint, so its load reports
// are out of date and its choice is close to random. A refusal costs one round trip, a few
// milliseconds; queueing for a slot costs hundreds. With 300 nodes and 85 of 100 slots busy, 5 of
// 100 calls queue or are refused, 66 without the search (TestCallsFindFreeSlots).
const (
	// maxDataCentreOffers limits the offers in the own data centre. If a third of the endpoints
	// have a free slot, four offers find one for four of five calls.
	maxDataCentreOffers = 4
	// maxRegionOffers limits the offers in the region's other data centres, whose links have a
	// cost beyond latency.
	maxRegionOffers = 2
	// minDataCentreShare and minRegionShare are the shares of offers that find a free slot below
	// which the search stops: it would find hardly any and only load nodes and links.
	minDataCentreShare = 0.1
	minRegionShare     = 0.3
	// freeShareWeight is the weight of one offer in the moving average of that share.
	freeShareWeight = 0.05
	// maxImmediateWait is the longest wait of a call that counts as having found a free slot.
	maxImmediateWait = time.Millisecond
	// maxSearchBody is the largest body in bytes of a call that searches. Sending a larger one
	// repeatedly costs more on the links than queueing costs the caller.
	maxSearchBody = 16 << 10
)

// slotSearch is one call's search for a free slot.
type slotSearch struct {
	rejected []string    // endpoints that had none
	remote   int         // number of them in other data centres
	scope    SearchScope // of the current offer
}

// initialScope returns the scope to try first for the next offer.
func (s *slotSearch) initialScope(free *freeSlotShare) SearchScope {
	if free.load() < minDataCentreShare {
		return NoSearch
	}
	if len(s.rejected)-s.remote < maxDataCentreOffers {
		return SearchDataCentre
	}
	return s.widen(SearchDataCentre, free)
}

// widen returns the scope to try when no endpoint is left in scope.
func (s *slotSearch) widen(scope SearchScope, free *freeSlotShare) SearchScope {
	if scope == SearchRegion || s.remote >= maxRegionOffers || free.load() < minRegionShare {
		return NoSearch
	}
	return SearchRegion
}

// foundNoSlot reports whether an offer was refused because no slot was free, or in a search because
// the call would run slowly or the link of the endpoint's VM had no room for a large answer. Such an
// offer doesn't count as an attempt.
func (s *slotSearch) foundNoSlot(a *answer) bool {
	return a.noFreeSlot() || s.scope != NoSearch && a.refusal != nil &&
		(a.refusal.Reason == call.ReasonSlow || a.refusal.Reason == call.ReasonLinkFull)
}

// reject records that the endpoint had no free slot.
func (s *slotSearch) reject(endpoint string) {
	s.rejected = append(s.rejected, endpoint)
	if s.scope == SearchRegion {
		s.remote++
	}
}

// maySearch reports whether c searches for a free slot before it queues.
//
// A keyed call doesn't, since each offer would claim its key by a write to the platform. Nor does a
// suspect request, whose endpoint is fixed.
func (c *entryCall) maySearch() bool {
	if c.attempts > 0 || c.isolated || !c.body.replayable() || c.body.length > maxSearchBody {
		return false
	}
	return c.target.Idempotent || first(c.r.Header, call.HeaderKey) == ""
}

// pickFreeSlot picks an endpoint for the next offer of the search, or returns nil if c is to queue.
func (e *Entry) pickFreeSlot(now time.Time, c *entryCall) Choice {
	if !c.maySearch() {
		return nil
	}
	free := e.freeSlots.of(c.target.Service)
	for scope := c.search.initialScope(free); scope != NoSearch; scope = c.search.widen(scope, free) {
		choice, err := e.Pickers.Pick(now, c.target, PickInfo{Tried: c.search.rejected, Scope: scope})
		if err == nil {
			c.search.scope = scope
			return choice
		}
	}
	return nil
}

// recordOffer records whether the endpoint had a free slot for c.
func (e *Entry) recordOffer(c *entryCall, a *answer) {
	free := e.freeSlots.of(c.target.Service)
	e.recordDeclined(c, a)
	switch {
	case a.resp != nil:
		free.add(a.took.wait < maxImmediateWait)
	case a.refusal == nil:
	case a.refusal.Reason == call.ReasonBusy, a.refusal.Reason == call.ReasonOverloaded, a.refusal.Reason == call.ReasonBackendRate:
		free.add(false)
	}
}

// noFreeSlot reports whether the endpoint refused the call as busy during a search.
func (a *answer) noFreeSlot() bool { return a.refusal != nil && a.refusal.Reason == call.ReasonBusy }

// freeSlotShares holds, by service, the share of offers that found a free slot.
type freeSlotShares struct{ byService sync.Map }

func (f *freeSlotShares) of(service string) *freeSlotShare {
	if s, ok := f.byService.Load(service); ok {
		return s.(*freeSlotShare)
	}
	s, _ := f.byService.LoadOrStore(service, new(freeSlotShare))
	return s.(*freeSlotShare)
}

// FreeSlotShares calls visit for each service with the recent share, 0 to 1, of offered calls that
// found a free slot.
func (e *Entry) FreeSlotShares(visit func(service string, share float64)) {
	e.freeSlots.byService.Range(func(service, s any) bool {
		visit(service.(string), s.(*freeSlotShare).load())
		return true
	})
}

// freeSlotShare is the moving average of offers that found a free slot. It stores the bits of the
// share that found none, so that the zero value is that of an idle service.
type freeSlotShare struct{ busyBits atomic.Uint64 }

func (s *freeSlotShare) load() float64 { return 1 - math.Float64frombits(s.busyBits.Load()) }

func (s *freeSlotShare) add(free bool) {
	sample := 1.0
	if free {
		sample = 0
	}
	for {
		old := s.busyBits.Load()
		mean := math.Float64frombits(old)
		if s.busyBits.CompareAndSwap(old, math.Float64bits(mean+freeShareWeight*(sample-mean))) {
			return
		}
	}
}
