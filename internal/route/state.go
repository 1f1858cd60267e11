package route

import (
	"math"
	"sync/atomic"
)

// Weights of one sample in the moving averages.
const (
	failureWeight = 0.2
	latencyWeight = 0.1
	othersWeight  = 0.05
)

// Bounds of the factors that make an endpoint dearer.
const (
	maxLatencyFactor = 8
	maxFailures      = 0.95
	suspectFactor    = 4
	slowStartFloor   = 0.1
	// Less than these is noise. Where calls are rare, endpoints tie, and the
	// least noise would send all calls of a node to the same one.
	noiseLatency = 2
	noiseFailure = 0.05
)

// state is what the Picker observed of one endpoint. It outlives the views,
// and all of it is read and written without a lock.
type state struct {
	// preference is the endpoint's place in this node's rendezvous hash, the highest first.
	preference  uint64
	update      uint64 // the last one that held the endpoint; guarded by the Picker
	ep          atomic.Pointer[Endpoint]
	outstanding atomic.Int64
	latency     average // milliseconds, of answers that were no failure
	failures    average // share of failed calls
	others      average // reported busy slots less this node's own calls
	linkWait    average // milliseconds that large answers wait for its link
	results     atomic.Int64

	rampFrom   atomic.Int64 // start of the slow start; 0 for none
	refusedTil atomic.Int64 // the endpoint itself said that it takes no calls

	ejected   atomic.Bool
	nextTrial atomic.Int64
	interval  atomic.Int64 // between trials
	onTrial   atomic.Bool  // a trial call is under way
	trialsOK  atomic.Int64
}

// open reports whether new calls may go to the endpoint at all.
func (s *state) open(now int64) bool {
	e := s.ep.Load()
	return e.Ready && !e.Draining && now >= s.refusedTil.Load()
}

// ramp returns the chance with which a draw of the endpoint stands. In its slow
// start that is less than one. A higher cost would not do: where all others
// cost less the endpoint would get no call at all, and only calls warm it.
func (s *state) ramp(now, window int64) float64 {
	from := s.rampFrom.Load()
	if from == 0 || now >= from+window {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(max(0, now-from))/float64(window)
}

// failing returns the recent share of failed calls. It fades with time: an
// endpoint that gets no calls could not show otherwise that it is well again.
func (s *state) failing(now, forget int64) float64 {
	f, age, ok := s.failures.load(now)
	if !ok {
		return 0
	}
	f *= fade(age, forget)
	if f < noiseFailure {
		return 0
	}
	return min(f, maxFailures)
}

// cost orders endpoints: load per slot, times what was observed.
func (p *Picker) cost(s *state, now int64) float64 {
	e := s.ep.Load()
	load := float64(s.outstanding.Load()) + p.othersLoad(s, e, now)
	c := (load + 1) / e.slots()
	c *= p.latencyFactor(s, now)
	well := 1 - s.failing(now, p.forget)
	c /= well * well
	if e.Suspect {
		c *= suspectFactor
	}
	return c
}

// othersLoad estimates the calls that other nodes have at the endpoint.
//
// A report that stopped coming must not go on saying that the endpoint is
// idle: it would draw the calls of every node. So the estimate moves with the
// age of the report to the mean of the service, not to zero. And a report may
// only make an endpoint dearer than the mean: one that wrongly says that it is
// idle, or is idle because it fails its calls at once, would draw calls.
func (p *Picker) othersLoad(s *state, e *Endpoint, now int64) float64 {
	mean, _, _ := p.others.load(now)
	mean *= e.slots()
	v, age, ok := s.others.load(now)
	if !ok {
		return mean
	}
	v = max(v, mean)
	w := fade(age, p.loadAge)
	return w*v + (1-w)*mean
}

// latencyFactor compares the endpoint's latency to the mean of the service.
// It never makes an endpoint cheaper than the mean: quick answers may be the
// sign of a fault as well.
func (p *Picker) latencyFactor(s *state, now int64) float64 {
	own, age, ok := s.latency.load(now)
	mean, _, okMean := p.latency.load(now)
	if !ok || !okMean || mean <= 0 {
		return 1
	}
	f := math.Min(own/mean, maxLatencyFactor)
	f = 1 + (f-1)*fade(age, p.forget)
	if f <= noiseLatency {
		return 1
	}
	return f
}
