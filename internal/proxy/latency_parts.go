package proxy

import (
	"sync"
	"time"
)

// LatencyPart is a part of an answered call's latency.
type LatencyPart string

// The parts of a call's latency.
const (
	// PartOverhead is the latency that the two others leave: both nodes, the network between them,
	// and attempts without an answer.
	PartOverhead LatencyPart = "way"
	// PartWait is the wait for a slot of the backend server.
	PartWait LatencyPart = "wait"
	// PartRun is the time at the backend server until its answer began.
	PartRun LatencyPart = "run"
)

// partHistograms holds a histogram for each part and service. There are few services, so the number
// of series stays bounded however many classes there are.
type partHistograms struct{ byService sync.Map }

// serviceHistograms are the histograms of one service.
type serviceHistograms struct{ overhead, wait, run histogram }

// add records an answered call with a latency of total.
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

// LatencyParts calls visit with each part's histogram, for each service that received calls which
// entered the mesh at this node.
func (m *Meters) LatencyParts(visit func(service string, p LatencyPart, h Histogram)) {
	m.latencyParts.byService.Range(func(service, v any) bool {
		s := v.(*serviceHistograms)
		visit(service.(string), PartOverhead, s.overhead.read())
		visit(service.(string), PartWait, s.wait.read())
		visit(service.(string), PartRun, s.run.read())
		return true
	})
}
