package route

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// refusedFor is how long an endpoint that said it takes no calls is left out.
// By then its record has reached this node.
const refusedFor = 3 * time.Second

// Done takes in how the attempt ended.
func (c Choice) Done(now time.Time, r Report) {
	if c.s == nil {
		return
	}
	c.p.done(c, c.p.millis(now), r)
}

func (p *Picker) done(c Choice, now int64, r Report) {
	s := c.s
	own := s.outstanding.Add(-1)
	verdict := judge(r)
	if r.Refused == "" || r.Refused == call.ReasonLinkFull {
		s.linkWait.set(float64(r.LinkWait)/float64(time.Millisecond), now)
	}
	if verdict != verdictFailed {
		// What fails at once is idle, and says so; it must not lower the
		// mean that the others are compared to.
		p.takeLoad(s, own, now, r.Load)
	}
	switch verdict {
	case verdictFailed:
		s.failures.add(1, failureWeight, now)
		s.results.Add(1)
	case verdictWell:
		s.failures.add(0, failureWeight, now)
		s.results.Add(1)
		p.takeLatency(s, now, r.Latency)
		p.noteFree(s, now, r.Load)
	case verdictFull:
		p.takeFull(s, now)
	case verdictClosed:
		s.refusedTil.Store(now + refusedFor.Milliseconds())
	}
	if c.trial {
		p.endTrial(s, now, verdict)
		return
	}
	if verdict == verdictFailed {
		p.considerEjection(s, now)
	}
}

// verdict is what the end of an attempt says of the endpoint.
type verdict int

const (
	verdictNone   verdict = iota // nothing: the cause lies with the call
	verdictWell                  // it answered
	verdictFailed                // it failed, or could not be reached
	verdictFull                  // it has no room
	verdictClosed                // it takes no calls
)

func judge(r Report) verdict {
	switch r.Refused {
	case "":
	case call.ReasonUnreachable:
		return verdictFailed
	case call.ReasonBusy, call.ReasonOverloaded, call.ReasonOverShare, call.ReasonBackend:
		return verdictFull
	case call.ReasonDraining, call.ReasonNotHeld, call.ReasonNotReady:
		return verdictClosed
	default:
		return verdictNone
	}
	if r.Cancelled {
		return verdictNone
	}
	if r.Failed || r.Outcome == call.Unknown {
		return verdictFailed
	}
	if r.Outcome == call.Ran {
		return verdictWell
	}
	return verdictNone
}

// takeLoad keeps the part of the reported load that is not this node's own
// calls; those are counted exactly and at once.
func (p *Picker) takeLoad(s *state, own, now int64, l Load) {
	if !l.Present {
		return
	}
	others := float64(max(0, int64(l.Busy)-own))
	s.others.set(others, now)
	p.others.add(others/s.ep.Load().slots(), othersWeight, now)
}

// takeFull counts every slot as busy: the endpoint said so.
func (p *Picker) takeFull(s *state, now int64) {
	s.others.set(s.ep.Load().slots(), now)
}

func (p *Picker) takeLatency(s *state, now int64, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	s.latency.add(ms, latencyWeight, now)
	p.latency.add(ms, othersWeight, now)
}
