package proxy

import (
	"sync"
	"time"
)

// LatencyPart is where the time of an answered call went.
type LatencyPart string

// The parts of a call's time.
const (
	// PartOverhead is all that the two others leave: both nodes, the way between
	// them, and attempts that gave no answer.
	PartOverhead LatencyPart = "way"
	// PartWait is the wait for a slot of the backend server.
	PartWait LatencyPart = "wait"
	// PartRun is the time at the backend server, until its answer was there.
	PartRun LatencyPart = "run"
)

// partTimes holds a histogram a part for each service. Services are few, so the
// number of series stays bounded however many classes there are.
type partHistograms struct{ byService sync.Map }

// serviceTimes are the histograms of one service.
type serviceHistograms struct{ overhead, wait, run histogram }

// add takes in an answered call that took total in all.
func (p *partHistograms) add(service string, total time.Duration, t destinationTimes) {
	v, ok := p.byService.Load(service)
	if !ok {
		v, _ = p.byService.LoadOrStore(service, new(serviceHistograms))
	}
	s := v.(*serviceHistograms)
	s.overhead.add(total - t.wait - t.run)
	s.wait.add(t.wait)
	s.run.add(t.run)
}

// LatencyParts calls visit with the histogram of each part of each service that
// calls which entered here went to.
func (m *Meters) LatencyParts(visit func(service string, p LatencyPart, h Histogram)) {
	m.latencyParts.byService.Range(func(service, v any) bool {
		s := v.(*serviceHistograms)
		visit(service.(string), PartOverhead, s.overhead.read())
		visit(service.(string), PartWait, s.wait.read())
		visit(service.(string), PartRun, s.run.read())
		return true
	})
}
