package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimiter bounds how many calls of one class are admitted in a second. It is safe
// for concurrent use.
type RateLimiter struct {
	mu sync.Mutex
	l  *rate.Limiter
}

// RatePerBackend returns one backend server's part of a bound on the whole mesh. The
// bound is enforced at the destinations, where the number of backend servers of
// the service is known from the membership, so that no loads have to be sent
// between nodes; a call refused at one is tried at another, and finds the part
// that is left there.
func RatePerBackend(perSecond float64, backends int) float64 {
	if perSecond <= 0 {
		return 0
	}
	return perSecond / float64(max(backends, 1))
}

// burstSeconds is how much of a second's rate may be admitted at once.
const burstSeconds = 0.1

// NewRateLimiter returns a bound of perSecond calls; zero or less means no bound.
func NewRateLimiter(now time.Time, perSecond float64) *RateLimiter {
	r := &RateLimiter{l: rate.NewLimiter(0, 1)}
	r.SetRate(now, perSecond)
	return r
}

// SetRate changes the bound to perSecond calls; zero or less means no bound.
func (r *RateLimiter) SetRate(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if perSecond <= 0 {
		r.l.SetLimitAt(now, rate.Inf)
		return
	}
	r.l.SetLimitAt(now, rate.Limit(perSecond))
	r.l.SetBurstAt(now, max(1, int(perSecond*burstSeconds)))
}

// GiveBack takes back that a call was allowed, since it was never started.
//
// It guards the rate of a class under overload: were each call that a full queue
// refuses to count, a class would be refused as over its rate while far fewer of
// its calls run.
func (r *RateLimiter) GiveBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A Reservation can't be cancelled once its moment has passed, which for an
	// allowed call is at once. The limiter itself bounds its tokens to the burst.
	r.l.ReserveN(now, -1)
}

// Allow reports whether a call may go now and, if not, when to come back.
func (r *RateLimiter) Allow(now time.Time) (ok bool, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.l.ReserveN(now, 1)
	delay := res.DelayFrom(now)
	if delay <= 0 {
		return true, 0
	}
	res.CancelAt(now)
	return false, delay
}
