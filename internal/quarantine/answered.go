package quarantine

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

// answeredSlots bounds the cache of answered requests, at 8 bytes a slot.
const answeredSlots = 4096

// answeredTick is the time unit of a slot. 32 bits of it last 497 days.
const answeredTick = 10 * time.Millisecond

// answeredCache records when requests were last answered, so that a popular request in flight
// beside a bad one is not mistaken for it. It is a hash table with one slot per hash, and the last
// writer wins: a lost entry only makes a request look new. Reads and writes are single atomic
// operations, since they are on the path of every call.
type answeredCache struct {
	base  time.Time
	slots [answeredSlots]atomic.Uint64 // tag of the fingerprint, time in ticks
}

func (a *answeredCache) ticks(now time.Time) uint32 {
	return uint32(max(1, now.Sub(a.base)/answeredTick+1))
}

func slotAndTag(fp Fingerprint) (slot int, tag uint32) {
	return int(binary.BigEndian.Uint16(fp[:2]) % answeredSlots), binary.BigEndian.Uint32(fp[8:12])
}

func (a *answeredCache) record(now time.Time, fp Fingerprint) {
	i, tag := slotAndTag(fp)
	word := uint64(tag)<<32 | uint64(a.ticks(now))
	if a.slots[i].Load() != word {
		a.slots[i].Store(word)
	}
}

// within reports whether the request was answered during the last d.
func (a *answeredCache) within(now time.Time, fp Fingerprint, d time.Duration) bool {
	i, tag := slotAndTag(fp)
	word := a.slots[i].Load()
	if word == 0 || uint32(word>>32) != tag {
		return false
	}
	return a.ticks(now)-uint32(word) <= uint32(d/answeredTick)
}
