package node

import (
	"math"
	"sync"
	"sync/atomic"
)

// remoteCostBytes is the answer size at which a transfer between data centres costs as much as
// one full set of slots in use at the endpoint. At the users' prices for that traffic, the
// transfer of 100 to 200 KB costs as much as the answer is worth. A call with an answer of that
// size should leave its data centre only when the local endpoints could not answer in time,
// with two or more full sets of slots waiting.
const remoteCostBytes = 48 << 10

// sizeWeight is the weight of one answer in the moving mean of its class.
const sizeWeight = 0.1

// answerSizes holds the mean answer size of each class.
type answerSizes struct{ byClass sync.Map }

func (a *answerSizes) forClass(class string) *answerSize {
	if s, ok := a.byClass.Load(class); ok {
		return s.(*answerSize)
	}
	s, _ := a.byClass.LoadOrStore(class, new(answerSize))
	return s.(*answerSize)
}

// answerSize is a moving mean in bytes, stored as the bits of a float64.
type answerSize struct{ bits atomic.Uint64 }

func (s *answerSize) add(n int64) {
	for {
		old := s.bits.Load()
		mean := math.Float64frombits(old)
		next := mean + sizeWeight*(float64(n)-mean)
		if old == 0 {
			next = float64(n)
		}
		if s.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// minRemoteCost is the cost of another data centre for the smallest answer, in full sets of
// slots: the remote endpoint has to be less busy by two slots of five. While both sides have
// room, a remote call gains nothing. At normal load, 0.4 caused a third of the bytes between
// data centres that 0.08 did and served as many calls in time; from 0.9 on, overloaded data
// centres served fewer. Where the local endpoints are full, their refusals send calls to others.
const minRemoteCost = 0.4

// remoteCost returns the cost of another data centre; see route.PickInfo.
func (s *answerSize) remoteCost() float64 {
	return minRemoteCost + math.Float64frombits(s.bits.Load())/remoteCostBytes
}
