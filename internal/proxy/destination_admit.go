package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// admit returns the backend server and class of a call, or a refusal that needs no waiting.
func (d *Destination) admit(now time.Time, in *inbound) (Backend, *config.Target, *call.Refusal) {
	var noBackend Backend
	if d.draining.Load() {
		return noBackend, nil, refuse(call.ReasonDraining, 0, "")
	}
	b, ok := d.findBackend(now, in)
	switch {
	case !ok:
		return noBackend, nil, refuse(call.ReasonNotHeld, 0, in.hop.service)
	case b.State == membership.BackendDraining:
		return noBackend, nil, refuse(call.ReasonDraining, 0, "")
	case b.State != membership.BackendReady:
		return noBackend, nil, refuse(call.ReasonNotReady, 0, "")
	case !now.Before(in.deadline):
		return noBackend, nil, refuse(call.ReasonExpired, 0, "")
	}
	if d.Rollouts != nil {
		if refusal := d.Rollouts.Admit(now, b.Instance); refusal != nil {
			return b, nil, refusal
		}
	}
	return b, d.target(in.hop), nil
}

// findBackend returns the backend server of a call, after this node has adopted what the entry node
// knows of it.
func (d *Destination) findBackend(now time.Time, in *inbound) (Backend, bool) {
	b, ok := d.Backends.Find(in.hop.service, in.hop.instance)
	if !ok || d.Advertisements == nil || !in.advertised.any() {
		return b, ok
	}
	d.Advertisements.Adopt(now, b, in.advertised)
	return d.Backends.Find(in.hop.service, in.hop.instance)
}

// target returns the class of a call. A node that is a version behind the entry node may not have
// the class yet. It then applies the strictest rules: not idempotent, default priority.
func (d *Destination) target(h hop) *config.Target {
	if t := d.Programs.Program().Targets.Target(h.class, h.service); t != nil {
		return t
	}
	return &config.Target{Name: h.class, Service: h.service}
}

// acquire waits for a slot, and refuses a suspect that is quarantined or pinned to another
// endpoint.
func (d *Destination) acquire(ctx context.Context, now time.Time, in *inbound, h *execution) (*call.Refusal, error) {
	if d.Gates != nil {
		options := limit.AcquireOptions{
			FirstAttempt: now.Add(-in.hop.waited), OneShot: in.hop.oneShot, NoWait: in.hop.noWait,
			Deadline: latestStart(now, in.deadline), Caller: d.caller(in),
		}
		permit, err := d.Gates.Acquire(ctx, h.backend, h.target, options)
		if err != nil {
			return asRefusal(err)
		}
		h.permit = permit
		d.logSlotWait(now, in, h)
	}
	if d.Suspects != nil {
		fp := fingerprintOf(in.r, in.header, in.body)
		if !in.hop.settled {
			if r := d.Suspects.Pinned(now, h.backend, fp); r != nil {
				return r, nil
			}
		}
		request := quarantine.Request{Method: in.r.Method, Host: in.r.Host, Path: rawPath(in.r.URL)}
		suspectToken, err := d.Suspects.Start(now, h.backend, fp, request)
		if err != nil {
			return asRefusal(err)
		}
		h.suspectToken, h.suspectStarted = suspectToken, true
	}
	return nil, nil
}

// Bounds on the time reserved for a refusal to reach the entry node before the deadline.
const (
	maxRefusalMargin     = 20 * time.Millisecond
	refusalMarginDivisor = 8 // divides the remaining time
)

// latestStart returns the time after which a call is no longer started.
//
// It guards against "may have run" for a call that never ran. If a call could wait for its slot
// until its deadline, the refusal would leave this node just as the entry node's own timeout closes
// the connection. The caller of a booking would then get an unknown outcome and could not retry
// safely. A call that starts that late would miss its deadline anyway.
func latestStart(now, deadline time.Time) time.Time {
	return deadline.Add(-min(maxRefusalMargin, deadline.Sub(now)/refusalMarginDivisor))
}

// asRefusal returns err as a refusal if it is one, and as an error otherwise.
func asRefusal(err error) (*call.Refusal, error) {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r, nil
	}
	return nil, err
}
