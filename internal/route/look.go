package route

import (
	"sync/atomic"
	"time"
)

// An endpoint that answers a call says how many of its slots are free by then. The node
// that gets the answer knows of a free slot that others don't, and its next call takes it.
// That the endpoint tells of a free slot, rather than the caller asking around, is the idea
// of "Join-Idle-Queue" (Lu, Xie, Kliot, Geller, Larus, Greenberg, 2011); here the word
// travels on answers alone.

const (
	// hintsKept is how many endpoints with a free slot are remembered: those of the last
	// answers. An older one is most likely taken.
	hintsKept = 8
	// hintFor is how long a free slot that was heard of is worth asking for, in ms. About
	// as long as a call takes, in which each slot is given away once.
	hintFor = 300
)

// hint is an endpoint that had a free slot when it answered. One that has left the mesh
// since then refuses the call, as any that is on its way when an endpoint leaves.
type hint struct {
	s  *state
	at int64 // ms
}

// hints are the last endpoints that answered with a free slot.
type hints struct {
	last [hintsKept]atomic.Pointer[hint]
	next atomic.Uint64
}

func (h *hints) add(s *state, now int64) {
	h.last[h.next.Add(1)%hintsKept].Store(&hint{s, now})
}

// take returns the endpoint heard of last that fits, and forgets it: one call is sent
// for one word.
func (h *hints) take(now int64, fits func(*state) bool) *state {
	newest := h.next.Load()
	for i := range uint64(hintsKept) {
		place := &h.last[(newest-i)%hintsKept]
		got := place.Load()
		if got == nil || now-got.at > hintFor || !fits(got.s) {
			continue
		}
		if place.CompareAndSwap(got, nil) {
			return got.s
		}
	}
	return nil
}

// noteFree remembers s if it said that it has a free slot.
func (p *Picker) noteFree(s *state, now int64, l Load) {
	if l.Present && l.Busy < l.Slots {
		p.free.add(s, now)
	}
}

// PickFreeSlot picks an endpoint that is likely to have a free slot, for a call that is refused
// where it would have to wait: one of the own data centre, or of the region's others. The
// one on this VM comes first, since it is asked without a way. The error is a
// *call.Refusal when all that take calls are in tried.
func (p *Picker) PickFreeSlot(now time.Time, near bool, tried []string) (Choice, error) {
	ms := p.millis(now)
	t := p.table.Load()
	if len(tried) == 0 {
		if s := t.dueTrial(ms, overdueFactor); s != nil {
			return p.choose(s, true), nil
		}
	}
	if s := p.canary(t, ms, tried); s != nil {
		return p.choose(s, false), nil
	}
	s := p.look(t, ms, near, tried)
	if s == nil {
		return Choice{}, noEndpoint()
	}
	return p.choose(s, false), nil
}

func (p *Picker) look(t *table, now int64, near bool, tried []string) *state {
	if !near {
		return p.lookAt(tierRegion, t, now, tried)
	}
	for _, s := range t.own {
		if usable(s, now, tried) && s.failing(now, p.forget) < drawOn {
			return s
		}
	}
	return p.lookAt(tierOwn, t, now, tried)
}

// lookAt returns the endpoint of a tier that told of a free slot last, or else the better
// of two.
func (p *Picker) lookAt(n tier, t *table, now int64, tried []string) *state {
	told := p.free.take(now, func(s *state) bool {
		return p.tierOf(s.ep.Load()) == n && usable(s, now, tried) && !s.ejected.Load() &&
			s.failing(now, p.forget) < drawOn && p.stands(s, now)
	})
	if told != nil {
		return told
	}
	s, _ := p.bestOfTwo(t.near[n], now, tried)
	return s
}
