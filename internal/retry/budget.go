package retry

import (
	"sync/atomic"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRatio = 0.1
	DefaultFloor = 0.1
	DefaultBurst = 10
	// floorBurst is how many retries the floor alone can accumulate.
	floorBurst = 3
)

// Costs, in thousandths of a retry.
const (
	wholeRetry = 1000
	// costNotAccepting is charged for a retry after a refusal by an endpoint
	// that takes no calls.
	costNotAccepting = 50
	// costRateLimited is charged for a retry after a refusal by an endpoint
	// that has used up its part of a rate. Two such retries cost less than
	// half of what one call deposits.
	costRateLimited = 20
)

// BudgetOptions sets up a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	// Ratio is the number of retries that each call adds to the budget.
	Ratio float64
	// Floor is the number of retries per second allowed regardless of calls.
	// It is small because every node has one for every service: at 0.1, 1,200
	// nodes with 61 services make 7,320 retries per second, beside 110,000 calls.
	Floor float64
	// Burst is the largest number of retries that calls can accumulate.
	Burst int
}

// Budget limits the retries of one node for one service to a ratio of its
// calls. It needs no coordination: if every node keeps the ratio, so does the
// mesh.
type Budget struct {
	ratio          atomic.Int64 // thousandths of a retry per call
	floorPerSecond atomic.Int64 // thousandths of a retry per second
	floorMax       atomic.Int64 // largest balance that the floor fills up to
	burst          atomic.Int64
	balance        atomic.Int64
	lifetime       atomic.Int64 // of a deposit, in milliseconds; zero means no bound
	deposits       recentDeposits
	// floorPaidAt is when the floor was last credited. It uses the monotonic
	// clock: when the wall clock is set back, the floor would credit nothing
	// until the wall clock has caught up.
	floorPaidAt atomic.Pointer[time.Time]
}

func (b *Budget) init(o BudgetOptions) {
	setDefault(&o.Ratio, DefaultRatio)
	setDefault(&o.Floor, DefaultFloor)
	setDefault(&o.Burst, DefaultBurst)
	b.ratio.Store(int64(o.Ratio * wholeRetry))
	b.floorPerSecond.Store(int64(o.Floor * wholeRetry))
	b.floorMax.Store(floorBurst * wholeRetry)
	b.burst.Store(int64(o.Burst) * wholeRetry)
	b.balance.Store(min(b.burst.Load(), floorBurst*wholeRetry))
}

// setFloor sets the retries allowed regardless of calls to perSecond, which
// accumulate up to burst.
func (b *Budget) setFloor(perSecond, burst float64) {
	b.floorPerSecond.Store(int64(perSecond * wholeRetry))
	b.floorMax.Store(int64(burst * wholeRetry))
}

func (b *Budget) deposit() { b.credit(b.ratio.Load(), b.burst.Load()) }

// credit adds amount to the balance, up to limit. A balance above limit is kept.
func (b *Budget) credit(amount, limit int64) {
	for {
		old := b.balance.Load()
		next := max(old, min(old+amount, limit))
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// withdraw charges cost if keep remains in the balance.
func (b *Budget) withdraw(now time.Time, cost, keep int64) bool {
	b.creditFloor(now)
	b.expire(now)
	for {
		old := b.balance.Load()
		if old < cost+keep {
			return false
		}
		if b.balance.CompareAndSwap(old, old-cost) {
			return true
		}
	}
}

// creditFloor credits what the floor has earned since it was last credited. Of
// several concurrent calls only one credits it.
func (b *Budget) creditFloor(now time.Time) {
	last := b.floorPaidAt.Load()
	if last == nil {
		b.floorPaidAt.CompareAndSwap(nil, &now)
		return
	}
	earned := int64(now.Sub(*last).Seconds() * float64(b.floorPerSecond.Load()))
	if earned <= 0 || !b.floorPaidAt.CompareAndSwap(last, &now) {
		return
	}
	b.credit(earned, b.floorMax.Load())
}

// remaining returns the balance in retries.
func (b *Budget) remaining() float64 { return float64(b.balance.Load()) / wholeRetry }

// spentFraction returns the spent part of the budget, 0 to 1.
func (b *Budget) spentFraction() float64 {
	return 1 - float64(b.balance.Load())/float64(b.burst.Load())
}
