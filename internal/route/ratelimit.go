package route

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A backend server that advertises a rate limit has free slots and is idle, which makes it look
// cheap. Its rate limit therefore counts as a number of slots: by Little's law, that many calls run
// at once if they come at that rate.

// minRateSlots keeps the cost finite for a limit near zero.
const minRateSlots = 0.05

// maxRatePauseMillis bounds how long an endpoint is left out for a refusal over its rate, so that
// the end of the limit is noticed.
const maxRatePauseMillis = 2000

// recordRate stores what the result of an attempt shows about the endpoint's rate limit.
func (p *Picker) recordRate(s *state, now int64, r Report) {
	switch {
	case r.RateLimited:
		s.rateLimit.set(r.RateLimit, now)
	case r.Outcome == call.Ran:
		s.rateLimit.clear()
	}
	if r.Refused == call.ReasonBackendRate {
		s.pausedUntil.Store(now + min(r.RetryAfter.Milliseconds(), maxRatePauseMillis))
	}
}

// paused reports whether the endpoint refused a call over its rate limit a moment ago.
func (s *state) paused(now int64) bool { return now < s.pausedUntil.Load() }

// rateSlots returns the endpoint's slots, less those that its rate limit leaves unused. A limit that
// this node has not heard of for long counts for less, since only a call shows whether it has ended.
func (p *Picker) rateSlots(s *state, now int64) float64 {
	slots := s.ep.Load().slots()
	perSecond, age, ok := s.rateLimit.load(now)
	if !ok {
		return slots
	}
	latency, _, ok := s.latency.load(now)
	if !ok {
		if latency, _, ok = p.latency.load(now); !ok {
			return slots
		}
	}
	limited := min(slots, max(perSecond*latency/millisPerSecond, minRateSlots))
	w := decay(age, p.halfLife)
	return w*limited + (1-w)*slots
}

const millisPerSecond = 1000

// refusal returns why no endpoint of t can be picked.
func (p *Picker) refusal(t *table, now int64) error {
	soonest := int64(0)
	for _, s := range t.all {
		if until := s.pausedUntil.Load(); s.open(now) && now < until && (soonest == 0 || until < soonest) {
			soonest = until
		}
	}
	if soonest == 0 {
		return noEndpointRefusal()
	}
	// Callers that are refused together must not return together.
	after := float64(soonest-now) * (1 + p.randomFloat())
	return &call.Refusal{
		Reason: call.ReasonBackendRate, RetryAfter: time.Duration(after * float64(time.Millisecond)),
		Detail: "all endpoints are at the rates that they advertise",
	}
}
