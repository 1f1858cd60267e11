package route

import (
	"math"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/completion"
)

// Weights of one sample in the moving averages.
const (
	failureWeight = 0.2
	latencyWeight = 0.1
	serviceWeight = 0.05
)

// Bounds of the factors that raise an endpoint's cost.
const (
	maxLatencyFactor = 8
	maxFailureRate   = 0.95
	suspectFactor    = 4
	slowStartFloor   = 0.1
	// Smaller values count as noise. At low call rates endpoints tie in cost, and the smallest
	// noise would send all calls of a node to the same one.
	minLatencyFactor = 2
	minFailureRate   = 0.05
)

// state holds the observations of one endpoint. It persists across views. Its atomic fields are
// read and written without a lock.
type state struct {
	// preference is the endpoint's rendezvous weight for this node; the highest comes first.
	preference  uint64
	update      uint64 // last update that included the endpoint; guarded by Picker.mu
	ep          atomic.Pointer[Endpoint]
	outstanding atomic.Int64
	latency     average             // milliseconds, of successful answers
	failures    average             // failure rate, 0 to 1
	otherLoad   average             // reported busy slots minus this node's own calls
	linkWait    average             // milliseconds that large answers wait for its link
	rateLimit   average             // calls per second that it advertises; not averaged
	runTime     completion.Endpoint // as its node reports it
	results     atomic.Int64

	rampStart    atomic.Int64 // start of the slow start; 0 for none
	refusedUntil atomic.Int64 // end of the pause after the endpoint refused all calls
	pausedUntil  atomic.Int64 // end of the pause after a refusal over its rate limit

	ejected        atomic.Bool
	nextTrial      atomic.Int64
	interval       atomic.Int64 // current interval between trials, in milliseconds
	trialRunning   atomic.Bool  // a trial call is in flight
	trialSuccesses atomic.Int64
}

// open reports whether the endpoint accepts new calls.
func (s *state) open(now int64) bool {
	e := s.ep.Load()
	return e.Ready && !e.Draining && now >= s.refusedUntil.Load()
}

// ramp returns the probability of accepting a draw of the endpoint, below 1 during its slow start.
// Raising its cost instead would not work: while all others cost less, the endpoint would get no
// calls, and only calls warm it up.
func (s *state) ramp(now, window int64) float64 {
	from := s.rampStart.Load()
	if from == 0 || now >= from+window {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(max(0, now-from))/float64(window)
}

// failureRate returns the recent share of failed calls. It decays with time, since an endpoint that
// gets no calls could not show that it has recovered.
func (s *state) failureRate(now, halfLife int64) float64 {
	f, age, ok := s.failures.load(now)
	if !ok {
		return 0
	}
	f *= decay(age, halfLife)
	if f < minFailureRate {
		return 0
	}
	return min(f, maxFailureRate)
}

// cost returns the load per slot that the rate limit leaves, multiplied by the run time, failure and
// suspicion factors.
func (p *Picker) cost(s *state, now int64) float64 { return p.costAt(s, now, p.runTimeFactor(s, now)) }

// costAt is cost with the given run time factor.
func (p *Picker) costAt(s *state, now int64, runTime float64) float64 {
	e := s.ep.Load()
	load := float64(s.outstanding.Load()) + p.estimateOtherLoad(s, e, now)
	c := (load + 1) / p.rateSlots(s, now)
	c *= runTime
	success := 1 - s.failureRate(now, p.halfLife)
	c /= success * success
	if e.Suspect {
		c *= suspectFactor
	}
	return c
}

// estimateOtherLoad estimates the calls of other nodes in flight at the endpoint.
//
// As a report ages, the estimate moves to the mean of the service instead of zero: if reports
// stopped, an endpoint last reported idle would attract the calls of every node. A report may only
// raise the load above the mean: an endpoint that wrongly reports that it is idle, or is idle
// because it fails its calls at once, would attract calls.
func (p *Picker) estimateOtherLoad(s *state, e *Endpoint, now int64) float64 {
	mean, _, _ := p.otherLoad.load(now)
	mean *= e.slots()
	v, age, ok := s.otherLoad.load(now)
	if !ok {
		return mean
	}
	v = max(v, mean)
	w := decay(age, p.loadHalfLife)
	return w*v + (1-w)*mean
}

// latencyFactor returns the endpoint's latency relative to the mean of the service. It never makes
// an endpoint cheaper than the mean, since fast answers may be a sign of a fault.
func (p *Picker) latencyFactor(s *state, now int64) float64 {
	own, age, ok := s.latency.load(now)
	mean, _, okMean := p.latency.load(now)
	if !ok || !okMean || mean <= 0 {
		return 1
	}
	f := math.Min(own/mean, maxLatencyFactor)
	f = 1 + (f-1)*decay(age, p.halfLife)
	if f <= minLatencyFactor {
		return 1
	}
	return f
}
