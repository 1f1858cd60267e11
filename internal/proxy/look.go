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
	looksNear = 4
	// looksFar is the same for the region's other data centres, whose links cost more
	// than time.
	looksFar = 2
	// nearLeast and farLeast are the shares of endpoints with a free slot below which a
	// look is not worth its way: calls find hardly any, and only add to the load of
	// nodes and links.
	nearLeast = 0.1
	farLeast  = 0.3
	// offerWeight is the weight of one offer in that share.
	offerWeight = 0.05
	// startedAtOnce is the longest wait of a call that got a free slot.
	startedAtOnce = time.Millisecond
	// lookBodyMost is the longest body in bytes that is sent along to look. A larger one
	// costs the links more than a wait costs its caller.
	lookBodyMost = 16 << 10
)

// search is one call's search for a free slot.
type search struct {
	looked []string    // the endpoints that had none
	far    int         // how many of them are in other data centres
	look   SearchScope // the offer under way
}

// first returns how the next offer looks for a free slot, at first.
func (s *search) first(free *freeShare) SearchScope {
	if free.load() < nearLeast {
		return NoSearch
	}
	if len(s.looked)-s.far < looksNear {
		return SearchDataCentre
	}
	return s.farther(SearchDataCentre, free)
}

// farther returns how it looks where the endpoints that look takes in were all looked at.
func (s *search) farther(look SearchScope, free *freeShare) SearchScope {
	if look == SearchRegion || s.far >= looksFar || free.load() < farLeast {
		return NoSearch
	}
	return SearchRegion
}

// failed reports whether a look has found no room: no free slot, or none for a large answer
// on the link of the endpoint's VM. A look asks nothing of an endpoint, so the next one is
// asked as if nothing had been.
func (s *search) failed(a *answer) bool {
	return a.busy() || s.look != NoSearch && a.refusal != nil && a.refusal.Reason == call.ReasonLinkFull
}

// missed notes that the endpoint looked at has no room.
func (s *search) missed(endpoint string) {
	s.looked = append(s.looked, endpoint)
	if s.look == SearchRegion {
		s.far++
	}
}

// mayLook reports whether c looks for a free slot before it waits.
//
// A keyed call claims its key before it may wait, which is a write to the platform, and
// a suspect has to go where it is sent.
func (c *entering) mayLook() bool {
	if c.n > 0 || c.isolated || !c.body.reusable() || c.body.length > lookBodyMost {
		return false
	}
	return c.target.Idempotent || first(c.r.Header, call.HeaderKey) == ""
}

// lookUp picks an endpoint to look at, or returns nil when c is to wait.
func (e *Entry) lookUp(now time.Time, c *entering) Choice {
	if !c.mayLook() {
		return nil
	}
	free := e.free.of(c.target.Service)
	for look := c.search.first(free); look != NoSearch; look = c.search.farther(look, free) {
		choice, err := e.Pickers.Pick(now, c.target, PickInfo{Tried: c.search.looked, Scope: look})
		if err == nil {
			c.search.look = look
			return choice
		}
	}
	return nil
}

// noteOffer takes in whether an offer of c found a free slot.
func (e *Entry) noteOffer(c *entering, a *answer) {
	free := e.free.of(c.target.Service)
	switch {
	case a.resp != nil:
		free.add(a.took.wait < startedAtOnce)
	case a.refusal == nil:
	case a.refusal.Reason == call.ReasonBusy, a.refusal.Reason == call.ReasonOverloaded:
		free.add(false)
	}
}

// busy reports whether the endpoint had no free slot for a call that looked for one.
func (a *answer) busy() bool { return a.refusal != nil && a.refusal.Reason == call.ReasonBusy }

// freeShares knows, for each service, how often an endpoint that is offered a call has a
// free slot.
type freeShares struct{ byService sync.Map }

func (f *freeShares) of(service string) *freeShare {
	if s, ok := f.byService.Load(service); ok {
		return s.(*freeShare)
	}
	s, _ := f.byService.LoadOrStore(service, new(freeShare))
	return s.(*freeShare)
}

// FreeSlotShares calls visit with how often an endpoint of each service that was offered a
// call had a free slot lately, 0 to 1.
func (e *Entry) FreeSlotShares(visit func(service string, share float64)) {
	e.free.byService.Range(func(service, s any) bool {
		visit(service.(string), s.(*freeShare).load())
		return true
	})
}

// freeShare is a moving mean of offers that found a free slot. It is kept as the bits of
// the share that found none, so that the zero value is that of an idle service.
type freeShare struct{ full atomic.Uint64 }

func (s *freeShare) load() float64 { return 1 - math.Float64frombits(s.full.Load()) }

func (s *freeShare) add(free bool) {
	sample := 1.0
	if free {
		sample = 0
	}
	for {
		old := s.full.Load()
		mean := math.Float64frombits(old)
		if s.full.CompareAndSwap(old, math.Float64bits(mean+offerWeight*(sample-mean))) {
			return
		}
	}
}
