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
	// floorBurst is what a node may spend after a quiet time.
	floorBurst = 3
)

// Amounts in thousandths of a retry.
const (
	priceWhole = 1000
	// priceGone is the price of a retry after a refusal by an endpoint that
	// takes no calls.
	priceGone = 50
	// priceRate is the price of a retry after a refusal by an endpoint whose
	// part of a rate is used up. Two of them cost less than half of what a
	// call pays in.
	priceRate = 20
)

// BudgetOptions sets up a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	// Ratio is how many retries the node may make for each call.
	Ratio float64
	// Floor is how many retries a second it may make in any case. It is small
	// because every node has one for every service: 1,200 nodes with 61
	// services make 7,320 retries a second at 0.1, next to 110,000 calls.
	Floor float64
	// Burst is the most that may be saved up.
	Burst int
}

// Budget bounds the retries of one node for one service to a part of its
// calls. Nodes need not agree on anything: where each holds to the ratio, the
// mesh does.
type Budget struct {
	ratio   int64        // thousandths of a retry for each call
	perSec  atomic.Int64 // thousandths of a retry for each second
	floor   atomic.Int64 // the most that is saved up of them
	burst   int64
	balance atomic.Int64
	// filled is when the floor was last paid in. It goes by the monotonic
	// clock: after a jump of the time of day back, nothing would be paid in for
	// as long as the jump was wide.
	filled atomic.Pointer[time.Time]
}

func (b *Budget) init(o BudgetOptions) {
	setDefault(&o.Ratio, DefaultRatio)
	setDefault(&o.Floor, DefaultFloor)
	setDefault(&o.Burst, DefaultBurst)
	b.ratio = int64(o.Ratio * priceWhole)
	b.perSec.Store(int64(o.Floor * priceWhole))
	b.floor.Store(floorBurst * priceWhole)
	b.burst = int64(o.Burst) * priceWhole
	b.balance.Store(min(b.burst, floorBurst*priceWhole))
}

func (b *Budget) setFloor(perSecond, burst float64) {
	b.perSec.Store(int64(perSecond * priceWhole))
	b.floor.Store(int64(burst * priceWhole))
}

func (b *Budget) deposit() { b.add(b.ratio, b.burst) }

// add pays in, up to limit. A balance already above it stays as it is.
func (b *Budget) add(amount, limit int64) {
	for {
		old := b.balance.Load()
		next := max(old, min(old+amount, limit))
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *Budget) withdraw(now time.Time, price int64) bool {
	b.payFloor(now)
	for {
		old := b.balance.Load()
		if old < price {
			return false
		}
		if b.balance.CompareAndSwap(old, old-price) {
			return true
		}
	}
}

// payFloor pays in what the floor earned since the last time. Only one of
// several concurrent callers pays it.
func (b *Budget) payFloor(now time.Time) {
	last := b.filled.Load()
	if last == nil {
		b.filled.CompareAndSwap(nil, &now)
		return
	}
	earned := int64(now.Sub(*last).Seconds() * float64(b.perSec.Load()))
	if earned <= 0 || !b.filled.CompareAndSwap(last, &now) {
		return
	}
	b.add(earned, b.floor.Load())
}

// left returns how many retries are left.
func (b *Budget) left() float64 { return float64(b.balance.Load()) / priceWhole }

// emptiness returns how much of the budget is spent, 0 to 1.
func (b *Budget) emptiness() float64 {
	return 1 - float64(b.balance.Load())/float64(b.burst)
}
