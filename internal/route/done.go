package route

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// closedFor is how long an endpoint that refuses all calls is left out. By then its new membership
// record has reached this node.
const closedFor = 3 * time.Second

// Done records how the attempt ended.
func (c Choice) Done(now time.Time, r Report) {
	if c.s == nil {
		return
	}
	c.p.done(c, c.p.millis(now), r)
}

func (p *Picker) done(c Choice, now int64, r Report) {
	s := c.s
	own := s.outstanding.Add(-1)
	result := classify(r)
	p.recordRate(s, now, r)
	p.runTimes.Record(now, &s.runTime, r.Run)
	if r.Leaving {
		s.refusedUntil.Store(now + closedFor.Milliseconds())
	}
	if r.Refused == "" || r.Refused == call.ReasonLinkFull {
		s.linkWait.set(float64(r.LinkWait)/float64(time.Millisecond), now)
	}
	if result != resultFailure {
		// An endpoint that fails calls at once reports that it is idle, which must not lower the
		// mean that the others are compared with.
		p.recordLoad(s, own, now, r.Load)
	}
	switch result {
	case resultFailure:
		s.failures.add(1, failureWeight, now)
		s.results.Add(1)
	case resultSuccess:
		s.failures.add(0, failureWeight, now)
		s.results.Add(1)
		p.recordLatency(s, now, r.Latency)
		p.recordFreeSlot(s, now, r.Load)
	case resultFull:
		p.recordFull(s, now)
	case resultClosed:
		s.refusedUntil.Store(now + closedFor.Milliseconds())
	}
	if c.trial {
		p.endTrial(s, now, result)
		return
	}
	if result == resultFailure {
		p.ejectIfFailing(s, now)
	}
}

// attemptResult is what the end of an attempt shows about the endpoint.
type attemptResult int

const (
	resultIgnored attemptResult = iota // nothing: the cause lies with the call
	resultSuccess                      // the endpoint answered
	resultFailure                      // the call failed, or the endpoint was unreachable
	resultFull                         // the endpoint has no free capacity
	resultClosed                       // the endpoint accepts no calls
)

func classify(r Report) attemptResult {
	switch r.Refused {
	case "":
	case call.ReasonUnreachable:
		return resultFailure
	case call.ReasonBusy, call.ReasonOverloaded, call.ReasonOverShare, call.ReasonBackend:
		return resultFull
	case call.ReasonDraining, call.ReasonNotHeld, call.ReasonNotReady:
		return resultClosed
	default:
		return resultIgnored
	}
	if r.Cancelled {
		return resultIgnored
	}
	if r.Failed || r.Outcome == call.Unknown {
		return resultFailure
	}
	if r.Outcome == call.Ran {
		return resultSuccess
	}
	return resultIgnored
}

// recordLoad stores the reported load without this node's own calls, which are counted exactly in
// outstanding.
func (p *Picker) recordLoad(s *state, own, now int64, l Load) {
	if !l.Present {
		return
	}
	otherLoad := float64(max(0, int64(l.Busy)-own))
	s.otherLoad.set(otherLoad, now)
	p.otherLoad.add(otherLoad/s.ep.Load().slots(), serviceWeight, now)
}

// recordFull counts every slot as busy.
func (p *Picker) recordFull(s *state, now int64) {
	s.otherLoad.set(s.ep.Load().slots(), now)
}

func (p *Picker) recordLatency(s *state, now int64, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	s.latency.add(ms, latencyWeight, now)
	p.latency.add(ms, serviceWeight, now)
}
