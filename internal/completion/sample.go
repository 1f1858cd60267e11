package completion

import (
	"math"
	"sync/atomic"
)

// sample is a value and its time in milliseconds, packed into one word so that both are read and
// replaced without a lock. The zero value holds none.
type sample struct{ word atomic.Uint64 }

func (s *sample) set(v float64, now int64) { s.word.Store(pack(v, now)) }

// load returns the value and its age in milliseconds. The stored time wraps around after 49.7 days;
// 32-bit differences stay correct across the wrap, up to maxSkew below that age.
func (s *sample) load(now int64) (v float64, age int64, ok bool) {
	return unpack(s.word.Load(), now)
}

// mix moves the value towards v by the weight that weigh returns for the old value and its age. The
// first value is stored as it is.
func (s *sample) mix(v float64, now int64, weigh func(old float64, age int64) (bounded, weight float64)) {
	for {
		word := s.word.Load()
		next := v
		if old, age, ok := unpack(word, now); ok {
			bounded, weight := weigh(old, age)
			next = old + weight*(bounded-old)
		}
		if s.word.CompareAndSwap(word, pack(next, now)) {
			return
		}
	}
}

func pack(v float64, now int64) uint64 {
	return uint64(math.Float32bits(float32(v)))<<32 | uint64(uint32(now))
}

// maxSkew is how much older a caller's clock reading may be than that of the stored value, in
// milliseconds. Taking every age beyond 2^31 ms for such a difference would bring a slowdown of 25 days
// ago into effect again.
const maxSkew = 60_000

func unpack(word uint64, now int64) (v float64, age int64, ok bool) {
	age = int64(uint32(now) - uint32(word))
	if age > math.MaxUint32-maxSkew {
		age = 0
	}
	return float64(math.Float32frombits(uint32(word >> 32))), age, word != 0
}
