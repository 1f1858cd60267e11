package retry

import (
	"sync/atomic"
	"time"
)

// Limits bounds a budget so that the retries of all nodes together stay bounded
// in every window.
type Limits struct {
	Ratio          float64 // retries that each call adds to the budget
	Burst          float64 // retries that calls can accumulate
	FloorPerSecond float64 // retries a second allowed regardless of calls
	FloorBurst     float64 // retries that the floor can accumulate
	// DepositLifetime is how long after a call its part of the budget may be
	// spent. Zero means no bound.
	DepositLifetime time.Duration
}

// MeshBound bounds the retries for one service over the whole mesh: in each
// window, at most Ratio times the calls plus Slack. The calls are those of the
// window, of the one before or of the one half a window before, whichever has
// the most.
type MeshBound struct {
	Ratio, Slack float64
	Window       time.Duration
	// InheritedKnown means that retries inherited from other services are
	// charged with RecordInherited.
	InheritedKnown bool
}

// Parts of the bound that the nodes use.
const (
	// unknownRatioPart is the part of the ratio that is used where inherited
	// retries are unknown. A retried run repeats its nested calls, which count at
	// the next service beside that service's own retries; the rest of the ratio
	// leaves room for them.
	unknownRatioPart = 0.5
	// unknownSlackPart is the part of the slack that the floor earns in a window
	// there; it accumulates the rest.
	unknownSlackPart = 0.5
	// unknownBurst is the number of retries up to which calls fill the budget of
	// a node there.
	unknownBurst = 4
	// wholeSlackPart is the part of the slack that is burst where the whole ratio
	// is used; the floor earns the rest in a window. The ratio leaves no room for
	// a larger burst: with as many calls in the second half of a window as before
	// the window, the burst comes on top of the ratio of the calls.
	wholeSlackPart = 0.75
	// minWholeBurst is the least burst with which the whole ratio is used. Below
	// one retry a budget allows none.
	minWholeBurst = 1.2
)

// Limits returns the limits of each of a number of nodes.
//
// Where the whole ratio is used, a node spends in a window at most its burst, what
// the floor earns and the ratio of its calls in the window; burst and floor of all
// nodes are the slack. Where half of the ratio is used, deposits end after half a
// window. A node then spends at most what the floor holds and earns, and half of
// the ratio of its calls in the window and in the half before it, of which both
// the window and the one half a window before hold at least a part: together they
// are at most twice the larger of the two.
func (m MeshBound) Limits(nodes int) Limits {
	share := m.Slack / float64(max(nodes, 1))
	if burst := share * wholeSlackPart; m.InheritedKnown && burst >= minWholeBurst {
		return Limits{
			Ratio: m.Ratio, Burst: burst, FloorBurst: burst,
			FloorPerSecond: share * (1 - wholeSlackPart) / m.Window.Seconds(),
		}
	}
	return Limits{
		Ratio: m.Ratio * unknownRatioPart, Burst: unknownBurst,
		FloorPerSecond: share * unknownSlackPart / m.Window.Seconds(), FloorBurst: share * (1 - unknownSlackPart),
		DepositLifetime: m.Window / 2,
	}
}

// SetLimits replaces the limits of the budget. Calls are then to be recorded with
// RecordCallAt.
func (p *Policy) SetLimits(l Limits) {
	b := &p.budget
	b.ratio.Store(int64(l.Ratio * wholeRetry))
	b.burst.Store(int64(l.Burst * wholeRetry))
	b.lifetime.Store(l.DepositLifetime.Milliseconds())
	b.setFloor(l.FloorPerSecond, l.FloorBurst)
}

// RecordCallAt adds a call's part to the budget, as RecordCall does.
func (p *Policy) RecordCallAt(now time.Time) {
	p.budget.deposit()
	p.budget.noteDeposit(now)
}

// RecordInherited charges a call made by a run that was itself a retry, which
// counts as a retry at the service that it goes to. It returns false if the budget
// doesn't allow it; the call must then not be sent. Such a call comes before the
// service's own retries, because work in progress is lost with it.
func (p *Policy) RecordInherited(now time.Time) bool {
	p.inheritedAt.Store(now.UnixMilli())
	return p.budget.withdraw(now, wholeRetry, 0)
}

// keptForInherited returns what the service's own retries leave for inherited ones.
func (p *Policy) keptForInherited(now time.Time, cost int64) int64 {
	if cost < wholeRetry || !recent(now.UnixMilli(), p.inheritedAt.Load()) {
		return 0
	}
	return min(wholeRetry, max(p.budget.burst.Load()-cost, 0))
}

// recentDeposits sums the deposits of the present and the previous half of a
// lifetime. A deposit made while a sum is reset may be lost, which allows less.
type recentDeposits [3]struct{ half, sum atomic.Int64 }

func (d *recentDeposits) add(half, amount int64) {
	s := &d[uint64(half)%uint64(len(d))]
	if old := s.half.Load(); old != half && s.half.CompareAndSwap(old, half) {
		s.sum.Store(0)
	}
	s.sum.Add(amount)
}

func (d *recentDeposits) total(half int64) (sum int64) {
	for i := range d {
		if h := d[i].half.Load(); h == half || h == half-1 {
			sum += d[i].sum.Load()
		}
	}
	return sum
}

func (b *Budget) noteDeposit(now time.Time) {
	if lifetime := b.lifetime.Load(); lifetime > 0 {
		b.deposits.add(now.UnixMilli()/(lifetime/2), b.ratio.Load())
	}
}

// expire lowers the balance to what the limits let it hold now.
func (b *Budget) expire(now time.Time) {
	most := max(b.burst.Load(), b.floorMax.Load())
	if lifetime := b.lifetime.Load(); lifetime > 0 {
		most = b.floorMax.Load() + b.deposits.total(now.UnixMilli()/(lifetime/2))
	}
	for {
		old := b.balance.Load()
		if old <= most || b.balance.CompareAndSwap(old, most) {
			return
		}
	}
}
