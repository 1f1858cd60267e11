package limit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// AdvertisedRate is the rate limit that a backend server advertises in an answer. The zero value
// means that the answer advertises none.
type AdvertisedRate struct {
	// PerSecond is how many calls a second the backend server accepts from all nodes together.
	PerSecond float64
	Present   bool
	// Malformed means that the answer carries a limit that can't be read.
	Malformed bool
}

// ParseAdvertisedRate reads a rate in calls per second. An empty text means that none is advertised.
func ParseAdvertisedRate(s string) AdvertisedRate {
	if s == "" {
		return AdvertisedRate{}
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return AdvertisedRate{Malformed: true}
	}
	return AdvertisedRate{PerSecond: v, Present: true}
}

// RateChange is a change of the advertised rate limit in force.
type RateChange struct {
	Old, New AdvertisedRate
	// Since is when Old came into force; zero if there was none.
	Since time.Time
}

// Bounds on the rate at which calls are sent under an advertised limit.
const (
	// minSendRate is in calls per second. Only the answer to a call shows that a limit has ended,
	// also a limit of zero.
	minSendRate = 0.2
	// sendBurstSeconds is the burst, in seconds at the full rate, but at least one call.
	sendBurstSeconds = 0.25
)

// tokenBucket holds one token for each call that may be sent.
type tokenBucket struct {
	perSecond, burst float64
	tokens           float64 // at refilled
	refilled         time.Time
}

// setRate changes the rate and keeps the tokens, up to the new burst.
func (b *tokenBucket) setRate(now time.Time, perSecond float64) {
	b.refill(now)
	b.perSecond = max(perSecond, minSendRate)
	b.burst = max(1, b.perSecond*sendBurstSeconds)
	b.add(0)
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.add(b.perSecond * elapsed.Seconds())
		b.refilled = now
	}
}

func (b *tokenBucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// tokenRounding keeps a token that is due now from missing the rest of a division.
const tokenRounding = 1e-9

// wait returns how long it takes until there are n tokens.
func (b *tokenBucket) wait(now time.Time, n int) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	if missing <= tokenRounding {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.perSecond * float64(time.Second)))
}

// advertisedLimit tracks the rate limit that a backend server advertises, and holds the calls sent
// to it to that rate.
type advertisedLimit struct {
	bucket    tokenBucket
	rate      AdvertisedRate // in force
	since     time.Time      // when rate came into force
	confirmed time.Time      // when an answer last advertised rate
}

// observe records the answer to a call that was sent at sent. It reports whether the limit in force
// has changed.
//
// Answers may overtake each other. A limit is therefore raised or lifted only by the answer to a
// call that was sent after the limit in force was last confirmed.
func (l *advertisedLimit) observe(now, sent time.Time, r AdvertisedRate) (RateChange, bool) {
	if r.Malformed {
		return RateChange{}, false
	}
	if r == l.rate {
		l.confirmed = now
		return RateChange{}, false
	}
	if l.loosens(r) && !sent.After(l.confirmed) {
		return RateChange{}, false
	}
	return l.set(now, r), true
}

// adopt applies a limit of which another process was told, if it is stricter than the one in force.
func (l *advertisedLimit) adopt(now time.Time, r AdvertisedRate) (RateChange, bool) {
	if l.rate.Present && r.PerSecond >= l.rate.PerSecond {
		return RateChange{}, false
	}
	return l.set(now, r), true
}

func (l *advertisedLimit) set(now time.Time, r AdvertisedRate) RateChange {
	c := RateChange{Old: l.rate, New: r, Since: l.since}
	if !l.rate.Present {
		l.bucket = tokenBucket{refilled: now} // empty, as the calls sent so far are not counted
	}
	l.rate, l.since, l.confirmed = r, now, now
	if r.Present {
		l.bucket.setRate(now, r.PerSecond)
	} else {
		l.since = time.Time{}
	}
	return c
}

// wait returns how long it takes until n calls may be sent.
func (l *advertisedLimit) wait(now time.Time, n int) time.Duration {
	if !l.rate.Present {
		return 0
	}
	return l.bucket.wait(now, n)
}

// allows reports whether a call may be sent now.
func (l *advertisedLimit) allows(now time.Time) bool { return l.wait(now, 1) == 0 }

// take uses up the token of a call that is sent. It must be allowed.
func (l *advertisedLimit) take(now time.Time) {
	if l.rate.Present {
		l.bucket.refill(now)
		l.bucket.add(-1)
	}
}

// giveBack returns the token of a call that did not reach the backend server.
func (l *advertisedLimit) giveBack(now time.Time) {
	if l.rate.Present {
		l.bucket.refill(now)
		l.bucket.add(1)
	}
}

// loosens reports whether r allows more calls than the limit in force.
func (l *advertisedLimit) loosens(r AdvertisedRate) bool {
	return l.rate.Present && (!r.Present || r.PerSecond > l.rate.PerSecond)
}
