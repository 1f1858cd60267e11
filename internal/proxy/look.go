package proxy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A call first looks for an endpoint with a free slot: it is offered to a few, one after
// the other, that are to start it now or refuse it at once. Only then does it wait, at
// one of them.
//
// It guards against calls that wait, or are refused in the end, while slots are free
// elsewhere. In a mesh of hundreds of nodes an entry node sends a few calls a minute to
// each endpoint, and what it knows of their load is out of date, so its choice is as good
// as chance. A refusal takes a way there and back, a few milliseconds, where the wait for
// a slot takes hundreds. With 300 nodes and 85 in 100 slots busy, 5 calls in 100 then wait
// or are refused where 66 did (TestCallsFindFreeSlots).
const (
	// looksNear is how many endpoints of the own data centre a call is offered to without
	// waiting. With a third of them free, four find one for four calls in five.
	maxDataCentreOffers = 4
	// looksFar is the same for the region's other data centres, whose links cost more
	// than time.
	maxRegionOffers = 2
	// nearLeast and farLeast are the shares of endpoints with a free slot below which a
	// look is not worth its way: calls find hardly any, and only add to the load of
	// nodes and links.
	minDataCentreShare = 0.1
	minRegionShare     = 0.3
	// offerWeight is the weight of one offer in that share.
	freeShareWeight = 0.05
	// startedAtOnce is the longest wait of a call that got a free slot.
	maxImmediateWait = time.Millisecond
	// lookBodyMost is the longest body in bytes that is sent along to look. A larger one
	// costs the links more than a wait costs its caller.
	maxSearchBody = 16 << 10
)

// search is one call's search for a free slot.
type slotSearch struct {
	rejected []string    // the endpoints that had none
	remote   int         // how many of them are in other data centres
	scope    SearchScope // the offer under way
}

// first returns how the next offer looks for a free slot, at first.
func (s *slotSearch) initialScope(free *freeSlotShare) SearchScope {
	if free.load() < minDataCentreShare {
		return NoSearch
	}
	if len(s.rejected)-s.remote < maxDataCentreOffers {
		return SearchDataCentre
	}
	return s.widen(SearchDataCentre, free)
}

// farther returns how it looks where the endpoints that look takes in were all looked at.
func (s *slotSearch) widen(look SearchScope, free *freeSlotShare) SearchScope {
	if look == SearchRegion || s.remote >= maxRegionOffers || free.load() < minRegionShare {
		return NoSearch
	}
	return SearchRegion
}

// failed reports whether a look has found no room: no free slot, or none for a large answer
// on the link of the endpoint's VM. A look asks nothing of an endpoint, so the next one is
// asked as if nothing had been.
func (s *slotSearch) foundNoSlot(a *answer) bool {
	return a.noFreeSlot() || s.scope != NoSearch && a.refusal != nil && a.refusal.Reason == call.ReasonLinkFull
}

// missed notes that the endpoint looked at has no room.
func (s *slotSearch) reject(endpoint string) {
	s.rejected = append(s.rejected, endpoint)
	if s.scope == SearchRegion {
		s.remote++
	}
}

// mayLook reports whether c looks for a free slot before it waits.
//
// A keyed call claims its key before it may wait, which is a write to the platform, and
// a suspect has to go where it is sent.
func (c *entryCall) maySearch() bool {
	if c.attempts > 0 || c.isolated || !c.body.replayable() || c.body.length > maxSearchBody {
		return false
	}
	return c.target.Idempotent || first(c.r.Header, call.HeaderKey) == ""
}

// lookUp picks an endpoint to look at, or returns nil when c is to wait.
func (e *Entry) pickFreeSlot(now time.Time, c *entryCall) Choice {
	if !c.maySearch() {
		return nil
	}
	free := e.freeSlots.of(c.target.Service)
	for look := c.search.initialScope(free); look != NoSearch; look = c.search.widen(look, free) {
		choice, err := e.Pickers.Pick(now, c.target, PickInfo{Tried: c.search.rejected, Scope: look})
		if err == nil {
			c.search.scope = look
			return choice
		}
	}
	return nil
}

// noteOffer takes in whether an offer of c found a free slot.
func (e *Entry) recordOffer(c *entryCall, a *answer) {
	free := e.freeSlots.of(c.target.Service)
	switch {
	case a.resp != nil:
		free.add(a.took.wait < maxImmediateWait)
	case a.refusal == nil:
	case a.refusal.Reason == call.ReasonBusy, a.refusal.Reason == call.ReasonOverloaded:
		free.add(false)
	}
}

// busy reports whether the endpoint had no free slot for a call that looked for one.
func (a *answer) noFreeSlot() bool { return a.refusal != nil && a.refusal.Reason == call.ReasonBusy }

// freeShares knows, for each service, how often an endpoint that is offered a call has a
// free slot.
type freeSlotShares struct{ byService sync.Map }

func (f *freeSlotShares) of(service string) *freeSlotShare {
	if s, ok := f.byService.Load(service); ok {
		return s.(*freeSlotShare)
	}
	s, _ := f.byService.LoadOrStore(service, new(freeSlotShare))
	return s.(*freeSlotShare)
}

// FreeSlotShares calls visit with how often an endpoint of each service that was offered a
// call had a free slot lately, 0 to 1.
func (e *Entry) FreeSlotShares(visit func(service string, share float64)) {
	e.freeSlots.byService.Range(func(service, s any) bool {
		visit(service.(string), s.(*freeSlotShare).load())
		return true
	})
}

// freeShare is a moving mean of offers that found a free slot. It is kept as the bits of
// the share that found none, so that the zero value is that of an idle service.
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
