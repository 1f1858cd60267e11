package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/proxy"
)

// advertisements applies what the backend servers of this VM advertise in their answers.
type advertisements struct {
	gates    *gates
	registry *announce.Registry
	// onChange is called after a change of the registry.
	onChange func([]announce.Change)
	// departed is called for an incarnation that leaves.
	departed  func(announce.Departure)
	decisions *decisions.Log
}

// Observe implements proxy.Advertisements.
func (a *advertisements) Observe(now, sent time.Time, b proxy.Backend, adv proxy.Advertised) {
	if defect.On(defect.IgnoreLimit) {
		adv.RateLimit = limit.AdvertisedRate{}
	}
	if adv.RateLimit.Malformed {
		a.line(now, b).Msg("backends: the advertised rate limit can't be read, keeping the one in force")
	}
	if change, ok := a.gates.observe(now, sent, b, adv.RateLimit); ok {
		a.logRate(now, b, change)
	}
	if adv.Leaving {
		a.markLeaving(now, b, b.Started, "backends: the backend server advertises that it leaves")
	}
}

// markLeaving ends the calls to an incarnation of b.
func (a *advertisements) markLeaving(now time.Time, b proxy.Backend, started int64, message string) {
	if defect.On(defect.IgnoreLeavingAnswer) {
		return
	}
	if changes := a.registry.MarkLeaving(b.Instance, started); len(changes) > 0 {
		a.line(now, b).Msg(message)
		a.onChange(changes)
		a.departed(announce.Departure{Instance: b.Instance, Started: started, At: now})
	}
}

// Adopt implements proxy.Advertisements.
func (a *advertisements) Adopt(now time.Time, b proxy.Backend, adv proxy.Advertised) {
	if defect.On(defect.IgnoreLimit) || defect.On(defect.ForgetLimitAtRestart) {
		adv.RateLimit = limit.AdvertisedRate{}
	}
	if change, ok := a.gates.adopt(now, b, adv.Started, adv.RateLimit); ok {
		a.line(now, b).Float64("per_second", change.New.PerSecond).
			Msg("backends: another node was told of a rate limit, applying it")
	}
	if adv.Leaving && a.isSame(b, adv.Started) && !a.gates.hasAnswered(b) {
		a.markLeaving(now, b, adv.Started, "backends: another node was told that the backend server leaves")
	}
}

// isSame reports whether b is for certain the incarnation that another node has heard.
func (a *advertisements) isSame(b proxy.Backend, started int64) bool {
	return a.registry.NamesIncarnations(started) && (b.Started == 0 || started == b.Started)
}

// InForce implements proxy.Advertisements.
func (a *advertisements) InForce(b proxy.Backend) proxy.Advertised {
	return proxy.Advertised{
		Known: true, RateLimit: a.gates.advertisedRate(b), Leaving: a.registry.IsDraining(b.Instance), Started: b.Started,
	}
}

func (a *advertisements) line(now time.Time, b proxy.Backend) *zerolog.Event {
	return a.decisions.Line(now, decisions.Advertised, "").Str("service", b.Service).Str("instance", b.Instance)
}

func (a *advertisements) logRate(now time.Time, b proxy.Backend, c limit.RateChange) {
	l := a.line(now, b)
	if c.Old.Present {
		l.Float64("previous_per_second", c.Old.PerSecond).Int64("after_ms", now.Sub(c.Since).Milliseconds())
	}
	if !c.New.Present {
		l.Msg("backends: the backend server advertises no rate limit any more")
		return
	}
	l.Float64("per_second", c.New.PerSecond).Msg("backends: the backend server advertises a rate limit")
}
