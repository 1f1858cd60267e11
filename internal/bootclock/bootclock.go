// Package bootclock measures time that goes on while the VM is suspended.
//
// The monotonic clock that time.Time carries stands still during a suspension, and the time of
// day may be set. An age that must not be taken for less than it is needs a clock that does
// neither.
package bootclock

import (
	"sync/atomic"
	"time"
)

// tolerance is how far the time of day and the monotonic clock may drift apart before the
// system is asked for the time since its boot.
const tolerance = 20 * time.Millisecond

// Clock turns moments into times since the boot of the VM. It asks the system only where the
// two clocks of a moment disagree, which a suspension or a set clock shows as. Its zero value
// is ready, and safe for concurrent use.
type Clock struct{ anchor atomic.Pointer[anchor] }

// anchor is a moment by all three clocks.
type anchor struct {
	reading
	boot time.Duration
}

// reading is a moment by the time of day and by the monotonic clock.
type reading struct{ wall, monotonic time.Duration }

// origin is where the monotonic readings count from.
var origin = time.Now()

func readingOf(t time.Time) reading {
	return reading{wall: time.Duration(t.UnixNano()), monotonic: t.Sub(origin)}
}

// At returns the time since the boot at a moment that time.Now returned lately.
func (c *Clock) At(now time.Time) time.Duration {
	return c.at(readingOf(now), func() anchor { return anchor{readingOf(time.Now()), sinceBoot()} })
}

func (c *Clock) at(now reading, ask func() anchor) time.Duration {
	a := c.anchor.Load()
	if a == nil || a.disagrees(now) {
		fresh := ask()
		a = &fresh
		c.anchor.Store(a)
	}
	return a.boot + now.monotonic - a.monotonic
}

// disagrees reports whether the time of day has moved by other than the monotonic clock.
func (a *anchor) disagrees(now reading) bool {
	drift := (now.wall - a.wall) - (now.monotonic - a.monotonic)
	return drift.Abs() > tolerance
}
