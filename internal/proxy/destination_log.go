package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// loggedWaitDivisor sets when a wait for a slot is logged: from this fraction of the class's target
// latency on, as such a wait alone often makes a call late.
const loggedWaitDivisor = 4

// logLine starts a log line about a call at its destination.
func (d *Destination) logLine(now time.Time, k decisions.Kind, in *inbound, b Backend) *zerolog.Event {
	l := d.Decisions.Line(now, k, d.Dialect.CallID(in.header))
	if in.hop.waited > minWaited {
		l.Int64("before_ms", in.hop.waited.Milliseconds())
	}
	if in.hop.oneShot {
		l.Bool("once", true)
	}
	if in.root.known {
		l.Str("root", telemetry.Label(in.root.Class))
	}
	return l.Str("class", telemetry.Label(in.hop.class)).Str("service", telemetry.Label(in.hop.service)).Str("instance", in.hop.instance).
		Stringer("state", b.State).Int64("left_ms", in.deadline.Sub(now).Milliseconds())
}

func (d *Destination) logRefusal(now time.Time, in *inbound, b Backend, r *call.Refusal) {
	d.logLine(now, decisions.TurnedBy, in, b).Str("reason", string(r.Reason)).Str("detail", r.Detail).
		Msg("destination: turn the call away as not run")
}

// logFailure logs a call that passed admission but has no answer.
func (d *Destination) logFailure(start time.Time, in *inbound, b Backend, a *answer) {
	now := d.Now()
	after := now.Sub(start).Milliseconds()
	if a.refusal != nil {
		use := d.slotUse(b, a)
		l := d.logLine(now, decisions.TurnedBy, in, b).Str("reason", string(a.refusal.Reason)).Str("detail", a.refusal.Detail).
			Int64("after_ms", after).Int("busy", use.Busy).Int("limit", use.Limit).Int("waiting", use.Waiting).
			Int("slots", b.Slots)
		a.unrelayed.addTo(l).Msg("destination: turn the call away as not run")
		return
	}
	l := d.logLine(now, decisions.Dropped, in, b).AnErr("cause", a.err).Int64("after_ms", after)
	a.unrelayed.addTo(l).Msg("destination: the backend server gave no answer that can be passed on")
}

// slotUse returns the load that b reported with its refusal, or else the slot usage of its gate.
func (d *Destination) slotUse(b Backend, a *answer) SlotUse {
	if a.load.Known || d.SlotUse == nil {
		return SlotUse{Busy: a.load.Busy, Limit: a.load.Slots}
	}
	return d.SlotUse(b)
}

func (d *Destination) logSlotWait(start time.Time, in *inbound, h *execution) {
	now := d.Now()
	waited := now.Sub(start)
	if within := h.target.AnswerWithin(); within <= 0 || waited < within/loggedWaitDivisor {
		return
	}
	d.logLine(now, decisions.Waited, in, h.backend).Int64("waited_ms", waited.Milliseconds()).
		Int64("aim_ms", h.target.AnswerWithin().Milliseconds()).Msg("destination: the call waited for a slot")
}
