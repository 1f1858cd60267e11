package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/quarantine"
)

// returns knows the callers who come back after a refusal, and when each first asked.
//
// A caller that comes back sends the same request, under a new id, to the same node
// as a rule. Without this the time that it has waited would be lost with each refusal,
// and its call would pass for one that can still be answered in time.
//
// It holds one refusal for each of its places, the newest. Two requests of the same
// content, or the same place, are taken for one another at worst: one of them is then
// believed to have waited when it has not. It takes no lock.
type returningCallers struct {
	table   [returnTableSize]atomic.Pointer[refusedCall]
	classes sync.Map // name to *classReturns
}

const (
	// returnPlaces holds the refusals of some seconds: of 500 refusals a second, each
	// with a place of its own by chance, 8 in 10 are still there 2 s later.
	returnTableSize = 4096
	// returnSlack is how much later than told a caller may come back.
	returnGrace = time.Second
)

// refusedCall is one refusal whose caller may come back.
type refusedCall struct {
	fp           quarantine.Fingerprint
	firstAttempt time.Time // when the caller first asked
	returnBy     time.Time // after which nobody comes back
	returned     atomic.Bool
}

// refused notes that c was refused and its caller told to come back after a while.
func (t *returningCallers) recordRefusal(now time.Time, c *entryCall, after time.Duration) {
	if c.fp == (quarantine.Fingerprint{}) {
		return // refused before it was read
	}
	r := &refusedCall{fp: c.fp, firstAttempt: c.firstAttempt, returnBy: now.Add(2*after + returnGrace)}
	// A deadline before the class's timeout is the caller's own: it has left by then.
	own := c.deadline.Sub(c.start) < c.target.Timeout()
	if own && c.deadline.Before(r.returnBy) {
		r.returnBy = c.deadline
	}
	t.cell(c.fp).Store(r)
	t.class(c.target.Name).add(now, r)
}

// since returns when the caller of a request that comes in now first asked.
func (t *returningCallers) firstAttempt(now time.Time, fp quarantine.Fingerprint) time.Time {
	place := t.cell(fp)
	r := place.Load()
	if r == nil || r.fp != fp || now.After(r.returnBy) || !place.CompareAndSwap(r, nil) {
		return now
	}
	r.returned.Store(true)
	return r.firstAttempt
}

func (t *returningCallers) cell(fp quarantine.Fingerprint) *atomic.Pointer[refusedCall] {
	return &t.table[fp.Key()%returnTableSize]
}

// never reports whether callers of the class don't come back after a refusal. Calls
// that backend servers make for a call of their own are such: refused, they fail the
// work that was done for it, and a caller that waits for it.
func (t *returningCallers) oneShot(class string) bool { return t.class(class).oneShot.Load() }

func (t *returningCallers) class(name string) *classReturns {
	if c, ok := t.classes.Load(name); ok {
		return c.(*classReturns)
	}
	c, _ := t.classes.LoadOrStore(name, new(classReturns))
	return c.(*classReturns)
}

const (
	// returnsSeen is how many refusals of a class are looked at.
	returnsWindow = 32
	// returnsLeast is how many of them must be so old that nobody comes back any more
	// before they tell something.
	minExpiredReturns = 6
	// returnsFew is the share of returns below which callers count as never coming
	// back. Of those who do, some leave before; a class where nine in ten leave is as
	// good as lost when it is refused.
	minReturnShare = 0.1
)

// classReturns are the last refusals of one class.
type classReturns struct {
	recent  [returnsWindow]atomic.Pointer[refusedCall]
	next    atomic.Uint64
	oneShot atomic.Bool
}

// add takes in a refusal, and judges the class by those that are old enough.
func (c *classReturns) add(now time.Time, r *refusedCall) {
	c.recent[c.next.Add(1)%returnsWindow].Store(r)
	old, back := 0, 0
	for i := range c.recent {
		r := c.recent[i].Load()
		if r == nil || now.Before(r.returnBy) && !r.returned.Load() {
			continue
		}
		old++
		if r.returned.Load() {
			back++
		}
	}
	if old >= minExpiredReturns {
		c.oneShot.Store(float64(back) < minReturnShare*float64(old))
	}
}
