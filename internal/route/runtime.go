package route

// Where nodes report how long calls run at their backend servers, picks go by expected completion:
// the load of an endpoint times its run time relative to the service.

// speedBlindShare is the share of picks that ignore reported run times. It keeps the endpoints known
// that all nodes believe to be slow: each gets at least this part of an equal share of the calls.
const speedBlindShare = 1.0 / 16

// ignoresRunTimes decides at random whether a pick ignores reported run times. It draws nothing
// before the first report.
func (p *Picker) ignoresRunTimes() bool {
	return !p.runTimes.Known() || p.randomFloat() < speedBlindShare
}

// speedFactor is the factor of an endpoint's cost for its speed.
type speedFactor func(p *Picker, s *state, now int64) float64

// firstOfTwo returns the first of two endpoints to compare, and the factor of their costs for their
// speed. If the pick ignores reported run times, it is a random one: an endpoint that is never next in
// turn would stay unknown otherwise, as it is slower than the one that is.
func (p *Picker) firstOfTwo(from []*state, now int64, tried []string) (*state, speedFactor) {
	switch {
	case !p.runTimes.Known():
		return p.nextInTurn(from, now, tried), (*Picker).latencyFactor
	case p.ignoresRunTimes():
		return p.drawRandom(from, now, tried, nil), (*Picker).latencyFactor
	}
	return p.nextInTurn(from, now, tried), (*Picker).runTimeFactor
}

// Between these means of the reported load per slot, run times lose their effect. When calls wait at
// most endpoints, a slot that stays free costs more calls than a slow one: at 1.3 times the capacity,
// going by run times made 0.79 of the calls in time, and 0.80 without (TestOverloadUsesSlowBackendServers).
const (
	fullLoad = 1
	overload = 1.5
)

// runTimeFactor returns the factor of an endpoint's cost for its speed: the reported run time
// relative to the service, or the latency factor if that is larger or nothing was reported.
func (p *Picker) runTimeFactor(s *state, now int64) float64 {
	latency := p.latencyFactor(s, now)
	relative, ok := p.runTimes.Relative(now, &s.runTime)
	if !ok || latency > relative && latency > 1 {
		return latency
	}
	mean, _, _ := p.otherLoad.load(now)
	w := min(max((overload-mean)/(overload-fullLoad), 0), 1)
	return 1 + (relative-1)*w
}

// fastEnough decides at random whether an endpoint is taken regardless of others, with a probability
// that falls with its relative run time.
func (p *Picker) fastEnough(s *state, now int64) bool {
	relative, ok := p.runTimes.Relative(now, &s.runTime)
	return !ok || relative <= 1 || p.randomFloat() < 1/relative
}

// fasterFirst returns an order of endpoints with a free slot by relative run time, or nil if the
// newest report counts.
func (p *Picker) fasterFirst(now int64) func(a, b *state) bool {
	if p.ignoresRunTimes() {
		return nil
	}
	return func(a, b *state) bool { return p.runTimeFactor(a, now) < p.runTimeFactor(b, now) }
}

// takeBest returns and removes the best endpoint that accept allows.
func (h *hints) takeBest(now int64, accept func(*state) bool, better func(a, b *state) bool) *state {
	newest := h.next.Load()
	var best *hint
	var at uint64
	for i := range uint64(maxHints) {
		candidate := h.ring[(newest-i)%maxHints].Load()
		if candidate == nil || now-candidate.at > hintTTLMillis || !accept(candidate.s) {
			continue
		}
		if best == nil || better(candidate.s, best.s) {
			best, at = candidate, newest-i
		}
	}
	if best == nil || !h.ring[at%maxHints].CompareAndSwap(best, nil) {
		return nil // another call took it
	}
	return best.s
}

// KnowsRunTimes reports whether any endpoint has reported run times.
func (p *Picker) KnowsRunTimes() bool { return p.runTimes.Known() }
