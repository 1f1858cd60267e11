package quarantine

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

// answeredSlots bounds the memory of answered requests: 8 bytes a slot.
const answeredSlots = 4096

// answeredTick is the unit of time kept in a slot; 32 bits of it last 497 days.
const answeredTick = 10 * time.Millisecond

// answered remembers when requests were last answered, so that a popular
// request beside a bad one is not taken for it. It is a table with one slot for
// a hash, replaced by whoever came last: a lost entry only makes a request look
// new. Reading and writing is one atomic step, as it is on each call's path.
type answered struct {
	base  time.Time
	slots [answeredSlots]atomic.Uint64 // tag of the fingerprint, time in ticks
}

func (a *answered) ticks(now time.Time) uint32 {
	return uint32(max(1, now.Sub(a.base)/answeredTick+1))
}

func place(fp Fingerprint) (slot int, tag uint32) {
	return int(binary.BigEndian.Uint16(fp[:2]) % answeredSlots), binary.BigEndian.Uint32(fp[8:12])
}

func (a *answered) note(now time.Time, fp Fingerprint) {
	i, tag := place(fp)
	word := uint64(tag)<<32 | uint64(a.ticks(now))
	if a.slots[i].Load() != word {
		a.slots[i].Store(word)
	}
}

// within reports whether the request was answered in the time before now.
func (a *answered) within(now time.Time, fp Fingerprint, d time.Duration) bool {
	i, tag := place(fp)
	word := a.slots[i].Load()
	if word == 0 || uint32(word>>32) != tag {
		return false
	}
	return a.ticks(now)-uint32(word) <= uint32(d/answeredTick)
}
