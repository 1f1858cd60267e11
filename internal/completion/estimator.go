package completion

import "time"

const (
	// meanWeight is the weight of one report in the mean of the service.
	meanWeight = 0.05
	// ratioWeight is the weight of one report in the ratio of an endpoint. A report is itself an
	// average over many runs, so it counts for much.
	ratioWeight = 0.5
	// ratioHalfLife is the age in milliseconds at which a ratio counts for half. Calls that avoid
	// a slow endpoint could otherwise never find that it has become faster.
	ratioHalfLife = 5000
	// Bounds of the relative run time. An endpoint that wrongly reports short runs must not
	// attract most calls; one that was cold must not be avoided for long after it has warmed up.
	minRelative = 0.5
	maxRelative = 4
)

// Estimator compares the endpoints of a service by the run times that their nodes report. The zero
// value is ready for use. It is safe for concurrent use and takes no lock once a class is known.
type Estimator struct {
	means byName[sample] // of the reported run times in ms, by class
}

// Endpoint holds what an Estimator keeps of one endpoint.
type Endpoint struct {
	ratio    sample // usual run time relative to the mean of the service, over all classes
	slowdown sample // last reported
}

// Clear forgets the reports, when another process takes the endpoint's place.
func (e *Endpoint) Clear() {
	e.ratio.word.Store(0)
	e.slowdown.word.Store(0)
}

// Record records a report on an endpoint at now, in milliseconds of the caller's clock.
func (s *Estimator) Record(now int64, e *Endpoint, r Run) {
	if !r.Known() {
		return
	}
	expected := float64(r.Expected()) / float64(time.Millisecond)
	mean := s.means.get(r.Class)
	mean.mix(expected, now, func(float64, int64) (float64, float64) { return expected, meanWeight })
	m, _, _ := mean.load(now)
	if m <= 0 {
		return
	}
	ratio := float64(r.Usual) / float64(time.Millisecond) / m
	e.ratio.mix(ratio, now, func(float64, int64) (float64, float64) { return ratio, ratioWeight })
	e.slowdown.set(r.Slowdown, now)
}

// Relative returns the expected run time of a call at the endpoint relative to the mean of the
// service. It returns false if nothing is known.
func (s *Estimator) Relative(now int64, e *Endpoint) (float64, bool) {
	ratio, age, ok := e.ratio.load(now)
	if !ok {
		return 1, false
	}
	ratio = 1 + (ratio-1)*ratioHalfLife/float64(ratioHalfLife+age)
	return min(max(ratio*fade(&e.slowdown, now), minRelative), maxRelative), true
}

// Known reports whether any endpoint has reported run times.
func (s *Estimator) Known() bool { return s.means.values.Load() != nil }
