package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
)

// headerRun reports between nodes how long calls of the class run at the backend server. It is set
// only if the backend server states its slowdown.
const headerRun = "Marlpass-Run"

func setExpectedRun(h http.Header, r completion.Run) {
	if r.Known() {
		h[headerRun] = []string{r.String()}
	}
}

// parseNoWait returns whether the call must start at once, and whether it may be declined as slow.
func parseNoWait(h http.Header) (noWait, mayDecline bool) {
	value := first(h, headerNoWait)
	return value != "", value == noWaitDeclineValue[0]
}

// parseBackendLoad parses the load that a backend server reports in the native dialect.
func parseBackendLoad(h http.Header) Load {
	l := parseLoad(h)
	if s := first(h, call.HeaderSlowdown); s != "" {
		if percent, err := strconv.ParseUint(s, 10, 20); err == nil {
			l.Slowdown = float64(percent) / 100
		}
	}
	return l
}

// expectedRun returns how long a call of class t runs at b, for entry nodes.
func (d *Destination) expectedRun(b Backend, t *config.Target) completion.Run {
	s := d.completion.Find(b.Instance, b.Started)
	if s == nil {
		return completion.Run{}
	}
	return s.Report(d.Now(), t.Name)
}

// recordRun records an answer of the backend server. slowdown is its slowdown when the call started.
// The run time of a failed call does not count: a backend server that fails calls at once would look
// fast and attract more of them.
func (d *Destination) recordRun(h *execution, status int, l Load, slowdown float64) {
	now := d.Now()
	s := d.completion.Observe(now, h.backend.Instance, h.backend.Started, l.Slowdown)
	if status >= http.StatusInternalServerError {
		return
	}
	s.Record(now, h.target.Name, now.Sub(h.start), slowdown)
}

// declineSlow refuses an offer of a slot search that would start but run too slowly. Without a free
// slot the call is left to the gate, which refuses it as busy, so that the entry node learns of that.
func (d *Destination) declineSlow(now time.Time, in *inbound, b Backend, t *config.Target) (answer, bool) {
	if !in.hop.mayDecline {
		return answer{}, false
	}
	s := d.completion.Find(b.Instance, b.Started)
	if s == nil || !s.Declines(now, t.Name, in.hop.waited, t.AnswerWithin()) {
		return answer{}, false
	}
	if d.SlotUse != nil {
		if use := d.SlotUse(b); use.Busy+use.Waiting >= use.Limit {
			return answer{}, false
		}
	}
	s.CountDeclined()
	r := s.Report(now, t.Name)
	d.logLine(now, decisions.Declined, in, b).Float64("slowdown", s.Slowdown(now)).
		Int64("expected_ms", r.Expected().Milliseconds()).Msg("destination: decline the call as it would run slowly")
	return answer{refusal: refuse(call.ReasonSlow, 0, ""), advertised: d.advertisedBy(b), expectedRun: r}, true
}

// EachSlowdown calls visit for each backend server of this VM that has stated its slowdown.
func (d *Destination) EachSlowdown(now time.Time, visit func(completion.Status)) {
	d.completion.Each(now, visit)
}

// declinedAsSlow reports whether the endpoint refused the call as slow during a search.
func (a *answer) declinedAsSlow() bool {
	return a.refusal != nil && a.refusal.Reason == call.ReasonSlow
}

// minFastShare is the share of first offers that are not declined as slow below which later offers
// of a search may not be declined: most endpoints are slow, so another one is hardly better.
const minFastShare = 0.5

// minDeclineShare is the share of offers that find a free slot below which no offer may be declined
// as slow: another free slot is unlikely to be found, and each offer costs both nodes processor time.
const minDeclineShare = 0.5

// mayDecline reports whether the next offer may be declined as slow. fast is the share of first
// offers that were not. While slots are free, the first offer always may be, so that this share stays
// known.
func (s *slotSearch) mayDecline(free, fast *freeSlotShare) bool {
	if s.scope == NoSearch || free.load() < minDeclineShare {
		return false
	}
	return len(s.rejected) == 0 || fast.load() >= minFastShare
}

func (e *Entry) mayDecline(c *entryCall) bool {
	return c.search.mayDecline(e.freeSlots.of(c.target.Service), e.fastOffers.of(c.target.Service))
}

// recordDeclined records whether the first offer of a search was declined as slow.
func (e *Entry) recordDeclined(c *entryCall, a *answer) {
	if a.declinedAsSlow() {
		e.sawDeclined.Store(true)
	}
	if e.sawDeclined.Load() && len(c.search.rejected) == 0 && e.mayDecline(c) {
		e.fastOffers.of(c.target.Service).add(!a.declinedAsSlow())
	}
}
