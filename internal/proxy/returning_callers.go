package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// returningCallers recognises callers that retry after a refusal, and holds the time of their first
// attempt.
//
// A caller usually retries with the same request, under a new ID, at the same node. Without this
// table the time it has waited would be lost with each refusal, and its call would count as one that
// can still be answered in time.
//
// It is a lock-free hash table that keeps the newest refusal per cell. If two callers send identical
// requests, one may be credited with the other's waiting time.
type returningCallers struct {
	table   [returnTableSize]atomic.Pointer[refusedCall]
	classes sync.Map // name to *classReturns
}

const (
	// returnTableSize is enough for a few seconds of refusals: at 500 refusals a second, 8 of 10
	// are still in the table after 2 s.
	returnTableSize = 4096
	// returnGrace is added to twice Retry-After for the time within which a retry is expected.
	returnGrace = time.Second
)

// refusedCall is a refusal whose caller may retry.
type refusedCall struct {
	fp           quarantine.Fingerprint
	firstAttempt time.Time // of the caller
	returnBy     time.Time // after which no retry is expected
	returned     atomic.Bool
}

// recordRefusal records that c was refused.
func (t *returningCallers) recordRefusal(now time.Time, c *entryCall, refusal *call.Refusal) {
	if c.fp == (quarantine.Fingerprint{}) {
		return // refused before the body was read
	}
	r := &refusedCall{fp: c.fp, firstAttempt: c.firstAttempt, returnBy: now.Add(2*refusal.RetryAfter + returnGrace)}
	if refusal.Reason == call.ReasonOverQuota {
		// The caller may be told to return after its deadline. Whether it does says nothing about
		// the class.
		t.cell(c.fp).Store(r)
		return
	}
	// A deadline shorter than the class's timeout was set by the caller, which leaves then.
	ownDeadline := c.deadline.Sub(c.start) < c.target.Timeout()
	if ownDeadline && c.deadline.Before(r.returnBy) {
		r.returnBy = c.deadline
	}
	t.cell(c.fp).Store(r)
	t.class(c.target.Name).add(now, r)
}

// firstAttempt returns when the caller of a request received now first sent it.
func (t *returningCallers) firstAttempt(now time.Time, fp quarantine.Fingerprint) time.Time {
	cell := t.cell(fp)
	r := cell.Load()
	if r == nil || r.fp != fp || now.After(r.returnBy) || !cell.CompareAndSwap(r, nil) {
		return now
	}
	r.returned.Store(true)
	return r.firstAttempt
}

func (t *returningCallers) cell(fp quarantine.Fingerprint) *atomic.Pointer[refusedCall] {
	return &t.table[fp.Key()%returnTableSize]
}

// oneShot reports whether callers of the class don't retry after a refusal. That holds for calls
// that backend servers make while serving another call: a refusal fails that call and wastes the
// work done for it.
func (t *returningCallers) oneShot(class string) bool { return t.class(class).oneShot.Load() }

func (t *returningCallers) class(name string) *classReturns {
	if c, ok := t.classes.Load(name); ok {
		return c.(*classReturns)
	}
	c, _ := t.classes.LoadOrStore(name, new(classReturns))
	return c.(*classReturns)
}

const (
	// returnsWindow is the number of recent refusals of a class that are considered.
	returnsWindow = 32
	// minDecidedRefusals is how many of them must be decided, by a retry or by returnBy, before
	// the class is rated.
	minDecidedRefusals = 6
	// minReturnShare is the share of retries below which a class counts as one-shot. Callers
	// that retry in principle may leave too; if nine of ten do, a refused call is as good as
	// lost.
	minReturnShare = 0.1
)

// classReturns holds the recent refusals of one class.
type classReturns struct {
	recent  [returnsWindow]atomic.Pointer[refusedCall]
	next    atomic.Uint64
	oneShot atomic.Bool
}

// add records a refusal and rates the class by the refusals that are decided.
func (c *classReturns) add(now time.Time, r *refusedCall) {
	c.recent[c.next.Add(1)%returnsWindow].Store(r)
	decided, retried := 0, 0
	for i := range c.recent {
		r := c.recent[i].Load()
		if r == nil || now.Before(r.returnBy) && !r.returned.Load() {
			continue
		}
		decided++
		if r.returned.Load() {
			retried++
		}
	}
	if decided >= minDecidedRefusals {
		c.oneShot.Store(float64(retried) < minReturnShare*float64(decided))
	}
}
