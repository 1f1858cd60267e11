package route

import (
	"math"
	"sync/atomic"
)

// average is a moving average with the moment of its last sample, in one word
// so that it is read and replaced without a lock. The zero value has no
// samples.
type average struct{ word atomic.Uint64 }

func pack(v float64, at int64) uint64 {
	return uint64(math.Float32bits(float32(v)))<<32 | uint64(uint32(at))
}

// unpack returns the value and the moment. Moments are in milliseconds since
// the Picker began and never zero, so a zero word means no sample.
func unpack(w uint64) (v float64, at int64, ok bool) {
	if w == 0 {
		return 0, 0, false
	}
	return float64(math.Float32frombits(uint32(w >> 32))), int64(uint32(w)), true
}

func (a *average) load() (v float64, at int64, ok bool) { return unpack(a.word.Load()) }

// set replaces the average by one sample.
func (a *average) set(v float64, at int64) { a.word.Store(pack(v, at)) }

func (a *average) clear() { a.word.Store(0) }

// add takes in a sample with the given weight. The first sample counts whole.
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

// fade returns how much of something of the given age still counts: one when
// new, a half at age half.
func fade(age, half int64) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}
