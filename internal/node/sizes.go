package node

import (
	"math"
	"sync"
	"sync/atomic"
)

// remoteCostBytes is the size of an answer whose way to another data centre weighs as
// much as one full set of slots at the endpoint. Bytes between the users' data
// centres are dear: at their prices the way of 100 to 200 KB costs as much as the
// answer brings. One of that size should go there only when the near endpoints could
// not give it in time, with two or more full sets of slots waiting.
const remoteCostBytes = 48 << 10

// sizeWeight is the weight of one answer in the mean size of its class.
const sizeWeight = 0.1

// answerSizes keep the mean size of the answers of each class.
type answerSizes struct{ byClass sync.Map }

func (a *answerSizes) forClass(class string) *answerSize {
	if s, ok := a.byClass.Load(class); ok {
		return s.(*answerSize)
	}
	s, _ := a.byClass.LoadOrStore(class, new(answerSize))
	return s.(*answerSize)
}

// answerSize is a moving mean in bytes, as the bits of a float64.
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

// minRemoteCost is what the way to another data centre weighs for the smallest answer, in
// full sets of slots: the far endpoint has to be less busy by two slots of five. Where
// both sides have room the way buys nothing. On a calm day 0.4 took a third of the bytes that
// 0.08 did and served as many calls in time; from 0.9 on, overloaded sites served fewer. Where
// the near side is full, its refusal sends the call across.
const minRemoteCost = 0.4

// remoteCost returns what the way to another data centre weighs; see route.PickInfo.
func (s *answerSize) remoteCost() float64 {
	return minRemoteCost + math.Float64frombits(s.bits.Load())/remoteCostBytes
}
