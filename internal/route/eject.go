package route

import "time"

// An endpoint is ejected when at least minResults of its calls ended and the
// share of failures is ejectAt. It returns after trialsToReturn calls in a row
// that were well.
const (
	minResults     = 5
	ejectAt        = 0.5
	trialsToReturn = 3
)

// Times between trials: after one that was well, and after one that showed
// nothing because the endpoint refused it.
const (
	trialGap     = 100 * time.Millisecond
	trialRefused = time.Second
)

// considerEjection ejects the endpoint if its calls fail too often and the cap
// allows. The cap holds against a cause that lies elsewhere, as in a shared
// store that is down or a cut of this node's own network: then all endpoints
// look dead, and leaving all out would turn slow answers into none.
func (p *Picker) considerEjection(s *state, now int64) {
	if s.ejected.Load() || s.results.Load() < minResults {
		return
	}
	if s.failing(now, p.forget) < ejectAt {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected.Load() || !p.mayEject() {
		return
	}
	s.ejected.Store(true)
	s.trialsOK.Store(0)
	p.tellEjected(s, now)
	p.scheduleTrial(s, now, p.opt.BaseEjectionTime.Milliseconds())
	p.rebuild()
}

func (p *Picker) mayEject() bool {
	ejected := 1
	for _, s := range p.states {
		if s.ejected.Load() {
			ejected++
		}
	}
	return float64(ejected) <= p.opt.MaxEjected*float64(len(p.states))
}

// scheduleTrial sets the next trial to between half and the whole of interval,
// so that nodes which ejected together don't come back together.
func (p *Picker) scheduleTrial(s *state, now, interval int64) {
	interval = min(interval, p.opt.MaxEjectionTime.Milliseconds())
	s.interval.Store(interval)
	s.nextTrial.Store(now + interval/2 + int64(p.randomFloat()*float64(interval/2)))
}

// endTrial takes in the end of a trial call and lets the endpoint return when
// enough were well.
func (p *Picker) endTrial(s *state, now int64, v verdict) {
	defer s.onTrial.Store(false)
	switch v {
	case verdictFailed:
		s.trialsOK.Store(0)
		p.scheduleTrial(s, now, 2*s.interval.Load())
	case verdictWell:
		s.nextTrial.Store(now + trialGap.Milliseconds())
		if s.trialsOK.Add(1) >= trialsToReturn {
			p.readmit(s, now)
		}
	default:
		s.nextTrial.Store(now + trialRefused.Milliseconds())
	}
}

// readmit ends the ejection. The endpoint starts slowly, as after a cold
// start, and with a clean record.
func (p *Picker) readmit(s *state, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.ejected.Store(false)
	s.failures.clear()
	s.results.Store(0)
	s.rampFrom.Store(now)
	p.tellEjected(s, now)
	p.rebuild()
}

func (p *Picker) tellEjected(s *state, now int64) {
	if p.opt.OnEject != nil {
		p.opt.OnEject(s.ep.Load().ID, s.ejected.Load(), s.failing(now, p.forget))
	}
}
