package proxy

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// ErrTriedAll is returned by Pickers when every endpoint has had the call.
var ErrTriedAll = errors.New("proxy: every endpoint was tried")

func (e *Entry) pick(now time.Time, c *entryCall) (Choice, error) {
	c.search.scope = NoSearch
	if c.isolated {
		return e.Pickers.PickFixed(now, c.target, c.fp.Key(), c.avoided(e.Suspects.CrashedAt(now, c.fp)))
	}
	if key := localGuardKey(c); key != "" {
		return e.Pickers.PickFixed(now, c.target, xxhash.Sum64String(key), c.unavailable)
	}
	if choice := e.pickFreeSlot(now, c); choice != nil {
		return choice, nil
	}
	return e.Pickers.Pick(now, c.target, PickInfo{Tried: c.tried})
}

// avoid returns the endpoints that an isolated call must not or cannot run at.
//
// Those that crashed with the call are the same at every node, so that all
// choose the same endpoint. The closed ones are added since the chosen endpoint
// may be down for another reason, such as an earlier crash that this node knows
// nothing of. An innocent call would else be sent to it until its attempts are
// used up, while all others could run it. An endpoint that takes no calls runs
// no suspect, so at most one endpoint still does.
func (c *entryCall) avoided(crashed []string) []string {
	if len(c.unavailable)+len(c.pinned) == 0 {
		return crashed
	}
	return slices.Concat(crashed, c.unavailable, c.pinned)
}

// notePinned makes the next attempt run isolated after a destination said that
// the request is a suspect and pinned to another endpoint. This node may know
// nothing of the crash.
func (c *entryCall) notePinned(a *answer, ep Endpoint) {
	if a.refusal != nil && a.refusal.Reason == call.ReasonPinned {
		c.isolated = true
		c.pinned = append(c.pinned, ep.ID)
	}
}

// settled reports whether the next endpoint has to take the suspect.
func (c *entryCall) settled() bool {
	return c.isolated && (len(c.unavailable) > 0 || len(c.pinned) >= quarantine.MaxPinnedRefusals)
}

// takesNone reports whether the refusal says that the endpoint takes no calls.
func isUnavailable(r *call.Refusal) bool {
	if r == nil {
		return false
	}
	switch r.Reason {
	case call.ReasonUnreachable, call.ReasonDraining, call.ReasonNotHeld, call.ReasonNotReady:
		return true
	}
	return false
}

// guardKey returns the key of a call that one destination node guards by itself
// when the platform is down. That holds only if its resends reach the same node,
// so of those that were tried only the ones that take no calls are left out: a
// call that ran elsewhere for want of room would run again when it is resent.
func localGuardKey(c *entryCall) string {
	if c.target.Idempotent || c.target.StoreDownRule() != config.OnStoreDownLocalGuard {
		return ""
	}
	return first(c.r.Header, call.HeaderKey)
}

// pickRefusal returns the refusal of a call that no endpoint can take: last,
// that of the attempt before, if every endpoint was tried.
func pickRefusal(err error, last *call.Refusal) *call.Refusal {
	var r *call.Refusal
	switch {
	case errors.As(err, &r):
		return r
	case last != nil:
		return last
	}
	return refuse(call.ReasonNoEndpoint, 0, "")
}
