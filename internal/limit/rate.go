package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimiter limits how many calls of one class are admitted per second. It is
// safe for concurrent use.
type RateLimiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// RatePerBackend returns one backend server's part of a rate limit on the whole
// mesh. The limit is enforced at the destinations, where the number of backend
// servers of the service is known from the membership, so that nodes need not
// exchange their rates. A call refused at one destination is retried at another
// and uses the part left there.
func RatePerBackend(perSecond float64, backends int) float64 {
	if perSecond <= 0 {
		return 0
	}
	return perSecond / float64(max(backends, 1))
}

// burstSeconds is the burst size, in seconds at the full rate.
const burstSeconds = 0.1

// NewRateLimiter returns a limiter to perSecond calls per second; zero or less
// means no limit.
func NewRateLimiter(now time.Time, perSecond float64) *RateLimiter {
	r := &RateLimiter{limiter: rate.NewLimiter(0, 1)}
	r.SetRate(now, perSecond)
	return r
}

// SetRate changes the limit to perSecond calls per second; zero or less means no
// limit.
func (r *RateLimiter) SetRate(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if perSecond <= 0 {
		r.limiter.SetLimitAt(now, rate.Inf)
		return
	}
	r.limiter.SetLimitAt(now, rate.Limit(perSecond))
	r.limiter.SetBurstAt(now, max(1, int(perSecond*burstSeconds)))
}

// GiveBack returns the token of a call that was allowed but never started.
//
// If calls refused by a full queue kept their tokens, an overloaded class would be
// refused as over its rate while far fewer of its calls run.
func (r *RateLimiter) GiveBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A Reservation can't be cancelled once its time has passed, which for an
	// allowed call is at once. The limiter itself limits its tokens to the burst.
	r.limiter.ReserveN(now, -1)
}

// Allow reports whether a call is allowed now and, if not, after which delay it
// will be.
func (r *RateLimiter) Allow(now time.Time) (ok bool, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.limiter.ReserveN(now, 1)
	delay := res.DelayFrom(now)
	if delay <= 0 {
		return true, 0
	}
	res.CancelAt(now)
	return false, delay
}
