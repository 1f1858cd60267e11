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
type returns struct {
	places  [returnPlaces]atomic.Pointer[refusedCall]
	classes sync.Map // name to *classReturns
}

const (
	// returnPlaces holds the refusals of some seconds: of 500 refusals a second, each
	// with a place of its own by chance, 8 in 10 are still there 2 s later.
	returnPlaces = 4096
	// returnSlack is how much later than told a caller may come back.
	returnSlack = time.Second
)

// refusedCall is one refusal whose caller may come back.
type refusedCall struct {
	fp    quarantine.Fingerprint
	asked time.Time // when the caller first asked
	until time.Time // after which nobody comes back
	back  atomic.Bool
}

// refused notes that c was refused and its caller told to come back after a while.
func (t *returns) refused(now time.Time, c *entering, after time.Duration) {
	if c.fp == (quarantine.Fingerprint{}) {
		return // refused before it was read
	}
	r := &refusedCall{fp: c.fp, asked: c.asked, until: now.Add(2*after + returnSlack)}
	// A deadline before the class's timeout is the caller's own: it has left by then.
	own := c.deadline.Sub(c.start) < c.target.Timeout()
	if own && c.deadline.Before(r.until) {
		r.until = c.deadline
	}
	t.place(c.fp).Store(r)
	t.class(c.target.Name).add(now, r)
}

// since returns when the caller of a request that comes in now first asked.
func (t *returns) since(now time.Time, fp quarantine.Fingerprint) time.Time {
	place := t.place(fp)
	r := place.Load()
	if r == nil || r.fp != fp || now.After(r.until) || !place.CompareAndSwap(r, nil) {
		return now
	}
	r.back.Store(true)
	return r.asked
}

func (t *returns) place(fp quarantine.Fingerprint) *atomic.Pointer[refusedCall] {
	return &t.places[fp.Key()%returnPlaces]
}

// never reports whether callers of the class don't come back after a refusal. Calls
// that backend servers make for a call of their own are such: refused, they fail the
// work that was done for it, and a caller that waits for it.
func (t *returns) never(class string) bool { return t.class(class).never.Load() }

func (t *returns) class(name string) *classReturns {
	if c, ok := t.classes.Load(name); ok {
		return c.(*classReturns)
	}
	c, _ := t.classes.LoadOrStore(name, new(classReturns))
	return c.(*classReturns)
}

const (
	// returnsSeen is how many refusals of a class are looked at.
	returnsSeen = 32
	// returnsLeast is how many of them must be so old that nobody comes back any more
	// before they tell something.
	returnsLeast = 6
	// returnsFew is the share of returns below which callers count as never coming
	// back. Of those who do, some leave before; a class where nine in ten leave is as
	// good as lost when it is refused.
	returnsFew = 0.1
)

// classReturns are the last refusals of one class.
type classReturns struct {
	last  [returnsSeen]atomic.Pointer[refusedCall]
	next  atomic.Uint64
	never atomic.Bool
}

// add takes in a refusal, and judges the class by those that are old enough.
func (c *classReturns) add(now time.Time, r *refusedCall) {
	c.last[c.next.Add(1)%returnsSeen].Store(r)
	old, back := 0, 0
	for i := range c.last {
		r := c.last[i].Load()
		if r == nil || now.Before(r.until) && !r.back.Load() {
			continue
		}
		old++
		if r.back.Load() {
			back++
		}
	}
	if old >= returnsLeast {
		c.never.Store(float64(back) < returnsFew*float64(old))
	}
}
