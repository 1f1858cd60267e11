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

// advertisedLimit tracks the rate limit that a backend server advertises.
type advertisedLimit struct {
	rate      AdvertisedRate // in force
	since     time.Time      // when rate came into force
	confirmed time.Time      // when an answer last advertised rate
	heard     bool           // whether an answer was observed
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
	l.heard = true
	if r == l.rate {
		l.confirmed = now
		return RateChange{}, false
	}
	if l.loosens(r) && !sent.After(l.confirmed) {
		return RateChange{}, false
	}
	return l.set(now, r), true
}

func (l *advertisedLimit) set(now time.Time, r AdvertisedRate) RateChange {
	c := RateChange{Old: l.rate, New: r, Since: l.since}
	l.rate, l.since, l.confirmed = r, now, now
	if !r.Present {
		l.since = time.Time{}
	}
	return c
}

// loosens reports whether r allows more calls than the limit in force.
func (l *advertisedLimit) loosens(r AdvertisedRate) bool {
	return l.rate.Present && (!r.Present || r.PerSecond > l.rate.PerSecond)
}
