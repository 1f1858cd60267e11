package proxy

import (
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
	places [returnPlaces]atomic.Pointer[refusedCall]
}

const (
	// returnPlaces holds the refusals of some seconds: a node that refuses 500 calls a
	// second, as small VMs do at the most, is told of a return after 2 s in 8 of 10
	// cases, and of nearly all at a tenth of that.
	returnPlaces = 4096
	// returnSlack is how much later than told a caller may come back.
	returnSlack = time.Second
)

type refusedCall struct {
	fp    quarantine.Fingerprint
	asked time.Time
	until time.Time // after which nobody comes back
}

// refused notes that c was refused and its caller told to come back after a while.
func (t *returns) refused(now time.Time, c *entering, after time.Duration) {
	if c.fp == (quarantine.Fingerprint{}) {
		return // refused before it was read
	}
	t.place(c.fp).Store(&refusedCall{fp: c.fp, asked: c.asked, until: now.Add(2*after + returnSlack)})
}

// since returns when the caller of a request that comes in now first asked.
func (t *returns) since(now time.Time, fp quarantine.Fingerprint) time.Time {
	place := t.place(fp)
	r := place.Load()
	if r == nil || r.fp != fp || now.After(r.until) || !place.CompareAndSwap(r, nil) {
		return now
	}
	return r.asked
}

func (t *returns) place(fp quarantine.Fingerprint) *atomic.Pointer[refusedCall] {
	return &t.places[fp.Key()%returnPlaces]
}
