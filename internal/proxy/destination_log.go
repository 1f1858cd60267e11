package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/decisions"
)

// waitPart is the part of a class's answer time from which a wait for a slot is
// worth a line: a call that waited so long is often late for that alone.
const waitPart = 4

// line begins a line about a call at its destination.
func (d *Destination) line(now time.Time, k decisions.Kind, in *inbound, b Backend) *zerolog.Event {
	l := d.Decisions.Line(now, k, d.Dialect.CallID(in.header))
	if in.hop.waited > minWaited {
		l.Int64("before_ms", in.hop.waited.Milliseconds())
	}
	if in.hop.oneShot {
		l.Bool("once", true)
	}
	return l.Str("class", in.hop.class).Str("service", in.hop.service).Str("instance", in.hop.instance).
		Stringer("state", b.State).Int64("left_ms", in.deadline.Sub(now).Milliseconds())
}

func (d *Destination) logTurned(now time.Time, in *inbound, b Backend, r *call.Refusal) {
	d.line(now, decisions.TurnedBy, in, b).Str("reason", string(r.Reason)).Str("detail", r.Detail).
		Msg("destination: turn the call away as not run")
}

// logEnd tells of a call that was taken and has no answer.
func (d *Destination) logEnd(start time.Time, in *inbound, b Backend, a *answer) {
	now := d.Now()
	after := now.Sub(start).Milliseconds()
	if a.refusal != nil {
		use := d.slotUse(b, a)
		d.line(now, decisions.TurnedBy, in, b).Str("reason", string(a.refusal.Reason)).Str("detail", a.refusal.Detail).
			Int64("after_ms", after).Int("busy", use.Busy).Int("limit", use.Limit).Int("waiting", use.Waiting).
			Int("slots", b.Slots).Msg("destination: turn the call away as not run")
		return
	}
	d.line(now, decisions.Dropped, in, b).AnErr("cause", a.err).Int64("after_ms", after).
		Msg("destination: the backend server gave no answer that can be passed on")
}

// slotUse returns what b said of itself with its refusal, or else what its gate says.
func (d *Destination) slotUse(b Backend, a *answer) SlotUse {
	if a.load.Known || d.SlotUse == nil {
		return SlotUse{Busy: a.load.Busy, Limit: a.load.Slots}
	}
	return d.SlotUse(b)
}

func (d *Destination) logWait(start time.Time, in *inbound, h *holding) {
	now := d.Now()
	waited := now.Sub(start)
	if aim := h.target.AnswerWithin(); aim <= 0 || waited < aim/waitPart {
		return
	}
	d.line(now, decisions.Waited, in, h.backend).Int64("waited_ms", waited.Milliseconds()).
		Int64("aim_ms", h.target.AnswerWithin().Milliseconds()).Msg("destination: the call waited for a slot")
}
