package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate bounds how many calls of one class are admitted in a second. It is safe
// for concurrent use.
type Rate struct {
	mu sync.Mutex
	l  *rate.Limiter
}

// burstSeconds is how much of a second's rate may be admitted at once.
const burstSeconds = 0.1

// NewRate returns a bound of perSecond calls; zero or less means no bound.
func NewRate(now time.Time, perSecond float64) *Rate {
	r := &Rate{l: rate.NewLimiter(0, 1)}
	r.SetShare(now, perSecond)
	return r
}

// SetShare changes the bound to perSecond calls; zero or less means no bound.
func (r *Rate) SetShare(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if perSecond <= 0 {
		r.l.SetLimitAt(now, rate.Inf)
		return
	}
	r.l.SetLimitAt(now, rate.Limit(perSecond))
	r.l.SetBurstAt(now, max(1, int(perSecond*burstSeconds)))
}

// Allow reports whether a call may go now and, if not, when to come back.
func (r *Rate) Allow(now time.Time) (ok bool, retryAfter time.Duration) {
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
