package route

import "time"

// An endpoint is ejected once minResults of its calls have ended and its failure rate reaches
// ejectFailureRate. It is readmitted after trialsToReadmit successful calls in a row.
const (
	minResults       = 5
	ejectFailureRate = 0.5
	trialsToReadmit  = 3
)

// Delays before the next trial: after a successful one, and after one that was refused and so
// showed nothing.
const (
	successTrialDelay = 100 * time.Millisecond
	refusedTrialDelay = time.Second
)

// ejectIfFailing ejects the endpoint if its failure rate is too high and the cap allows it. The cap
// covers failures with a cause elsewhere, such as a shared store that is down or a partition of
// this node's own network: all endpoints then seem dead, and ejecting all of them would turn slow
// answers into none.
func (p *Picker) ejectIfFailing(s *state, now int64) {
	if s.ejected.Load() || s.results.Load() < minResults {
		return
	}
	if s.failureRate(now, p.halfLife) < ejectFailureRate {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected.Load() || !p.belowEjectionCap() {
		return
	}
	s.ejected.Store(true)
	s.trialSuccesses.Store(0)
	p.notifyEjection(s, now)
	p.scheduleTrial(s, now, p.opt.BaseEjectionTime.Milliseconds())
	p.rebuild()
}

func (p *Picker) belowEjectionCap() bool {
	ejected := 1
	for _, s := range p.states {
		if s.ejected.Load() {
			ejected++
		}
	}
	return float64(ejected) <= p.opt.MaxEjected*float64(len(p.states))
}

// scheduleTrial schedules the next trial between half and the whole of interval from now, so that
// nodes that ejected the endpoint together don't retry it together.
func (p *Picker) scheduleTrial(s *state, now, interval int64) {
	interval = min(interval, p.opt.MaxEjectionTime.Milliseconds())
	s.interval.Store(interval)
	s.nextTrial.Store(now + interval/2 + int64(p.randomFloat()*float64(interval/2)))
}

// endTrial records the result of a trial call and readmits the endpoint after enough successes.
func (p *Picker) endTrial(s *state, now int64, result attemptResult) {
	defer s.trialRunning.Store(false)
	switch result {
	case resultFailure:
		s.trialSuccesses.Store(0)
		p.scheduleTrial(s, now, 2*s.interval.Load())
	case resultSuccess:
		s.nextTrial.Store(now + successTrialDelay.Milliseconds())
		if s.trialSuccesses.Add(1) >= trialsToReadmit {
			p.readmit(s, now)
		}
	default:
		s.nextTrial.Store(now + refusedTrialDelay.Milliseconds())
	}
}

// readmit ends the ejection. The endpoint goes through a slow start, as after a cold start, with
// its failures cleared.
func (p *Picker) readmit(s *state, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.ejected.Store(false)
	s.failures.clear()
	s.results.Store(0)
	s.rampStart.Store(now)
	p.notifyEjection(s, now)
	p.rebuild()
}

func (p *Picker) notifyEjection(s *state, now int64) {
	if p.opt.OnEject != nil {
		p.opt.OnEject(s.ep.Load().ID, s.ejected.Load(), s.failureRate(now, p.halfLife))
	}
}
