package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// check refuses what can be refused without waiting.
func (d *Destination) check(now time.Time, in *inbound) (Backend, *config.Target, *call.Refusal) {
	var none Backend
	if d.draining.Load() {
		return none, nil, refuse(call.ReasonDraining, 0, "")
	}
	b, ok := d.Backends.Find(in.hop.service, in.hop.instance)
	switch {
	case !ok:
		return none, nil, refuse(call.ReasonNotHeld, 0, in.hop.service)
	case b.State == membership.BackendDraining:
		return none, nil, refuse(call.ReasonDraining, 0, "")
	case b.State != membership.BackendReady:
		return none, nil, refuse(call.ReasonNotReady, 0, "")
	case !now.Before(in.deadline):
		return none, nil, refuse(call.ReasonExpired, 0, "")
	}
	if d.Rollouts != nil {
		if refusal := d.Rollouts.Admit(now, b.Instance); refusal != nil {
			return b, nil, refusal
		}
	}
	return b, d.target(in.hop), nil
}

// target finds the class here. A node may be a version behind the one that
// matched the call and not know its class yet: the call then runs by the
// strictest rules, as not idempotent and with the default priority.
func (d *Destination) target(h hop) *config.Target {
	if t := d.Programs.Program().Targets.Target(h.class, h.service); t != nil {
		return t
	}
	return &config.Target{Name: h.class, Service: h.service}
}

// enter waits for a slot and asks whether the request is suspected.
func (d *Destination) enter(ctx context.Context, now time.Time, in *inbound, h *holding) (*call.Refusal, error) {
	if d.Gates != nil {
		times := limit.AcquireOptions{
			FirstAttempt: now.Add(-in.hop.waited), OneShot: in.hop.oneShot, NoWait: in.hop.noWait,
			Deadline: startBy(now, in.deadline), Caller: d.caller(in.header),
		}
		permit, err := d.Gates.Acquire(ctx, h.backend, h.target, times)
		if err != nil {
			return asRefusal(err)
		}
		h.permit = permit
		d.logWait(now, in, h)
	}
	if d.Suspects != nil {
		fp := fingerprintOf(in.r, in.header, in.body)
		if !in.hop.settled {
			if r := d.Suspects.Pinned(now, h.backend, fp); r != nil {
				return r, nil
			}
		}
		what := quarantine.Request{Method: in.r.Method, Host: in.r.Host, Path: in.r.URL.Path}
		mark, err := d.Suspects.Start(now, h.backend, fp, what)
		if err != nil {
			return asRefusal(err)
		}
		h.mark, h.marked = mark, true
	}
	return nil, nil
}

// caller returns on whose behalf a call is made, as its entry node found by its key. A node may be
// a version behind and not know the workspace yet: its calls then have the priority of their class.
func (d *Destination) caller(h http.Header) limit.Caller {
	keys := d.Programs.Program().Keys
	if keys == nil {
		return limit.Caller{}
	}
	name := d.Dialect.Workspace(h)
	if w := keys.Named(name); w != nil {
		return limit.Caller{Workspace: name, Priority: w.Priority}
	}
	return limit.Caller{Workspace: name}
}

// Bounds on the time that is set aside for a refusal to reach the entry node.
const (
	maxWordTime  = 20 * time.Millisecond
	wordTimePart = 8 // of the time left
)

// startBy returns the moment after which a call is not started any more.
//
// It guards against "may have run" for a call that never ran. If a call could
// wait for its slot until its deadline, the refusal would leave this node in the
// moment in which the entry node, whose own bound has passed, breaks the
// connection off. A booking's caller would be told that nobody knows, and could
// not send it again. A call that starts so late would not be answered in time.
func startBy(now, deadline time.Time) time.Time {
	return deadline.Add(-min(maxWordTime, deadline.Sub(now)/wordTimePart))
}

// asRefusal returns the refusal that err is, or err.
func asRefusal(err error) (*call.Refusal, error) {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r, nil
	}
	return nil, err
}
