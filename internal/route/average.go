package route

import (
	"math"
	"sync/atomic"
)

// average is a moving average and the time of its last sample, packed into one word so that both
// are read and replaced without a lock. The zero value has no samples.
type average struct{ word atomic.Uint64 }

func pack(v float64, at int64) uint64 {
	return uint64(math.Float32bits(float32(v)))<<32 | uint64(uint32(at))
}

// unpack returns the value and the low 32 bits of the sample time, in milliseconds since the
// Picker's epoch. A zero word means no sample.
func unpack(w uint64) (v float64, at uint32, ok bool) {
	return float64(math.Float32frombits(uint32(w >> 32))), uint32(w), w != 0
}

// load returns the average and the age of its last sample in milliseconds.
//
// The 32-bit sample time wraps around after 49.7 days. Ages are 32-bit differences, which stay
// correct across the wrap. A negative difference comes from a caller with a slightly older clock
// reading, and counts as zero.
func (a *average) load(now int64) (v float64, age int64, ok bool) {
	v, at, ok := unpack(a.word.Load())
	return v, max(0, int64(int32(uint32(now)-at))), ok
}

// set replaces the average with one sample.
func (a *average) set(v float64, at int64) { a.word.Store(pack(v, at)) }

func (a *average) clear() { a.word.Store(0) }

// add adds a sample with the given weight. The first sample becomes the average.
func (a *average) add(v, weight float64, at int64) {
	for {
		old := a.word.Load()
		next := v
		if prev, _, ok := unpack(old); ok {
			next = prev + weight*(v-prev)
		}
		if a.word.CompareAndSwap(old, pack(next, at)) {
			return
		}
	}
}

// decay returns the weight of a sample of the given age: 1 when new, 0.5 at age half.
func decay(age, half int64) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}
