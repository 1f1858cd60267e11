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

// ErrTriedAll is returned by Pickers when every endpoint was tried.
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

// avoided returns the endpoints at which an isolated call must not or cannot run.
//
// The endpoints that crashed with the call are the same at every node, so that all nodes choose the
// same endpoint. Unavailable ones are added because the chosen endpoint may be down for another
// reason, such as a crash that this node has not learned of; a harmless call would otherwise use up
// its attempts there while other endpoints could run it. An unavailable endpoint runs no suspect
// requests, so at most one endpoint runs this one.
func (c *entryCall) avoided(crashed []string) []string {
	if len(c.unavailable)+len(c.pinned) == 0 {
		return crashed
	}
	return slices.Concat(crashed, c.unavailable, c.pinned)
}

// notePinned isolates the next attempt after a destination refused the request as a suspect pinned
// to another endpoint. This node may not know of the crash.
func (c *entryCall) notePinned(a *answer, ep Endpoint) {
	if a.refusal != nil && a.refusal.Reason == call.ReasonPinned {
		c.isolated = true
		c.pinned = append(c.pinned, ep.ID)
	}
}

// settled reports whether the next endpoint must accept the suspect request.
func (c *entryCall) settled() bool {
	return c.isolated && (len(c.unavailable) > 0 || len(c.pinned) >= quarantine.MaxPinnedRefusals)
}

// isUnavailable reports whether the refusal means that the endpoint currently accepts no calls.
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

// localGuardKey returns the idempotency key of a call that a single destination node deduplicates
// when the platform is down, or "". That works only if retries reach the same node, so only
// unavailable endpoints are skipped: a call that ran elsewhere because its node was busy would run
// again when it is retried.
func localGuardKey(c *entryCall) string {
	if c.target.Idempotent || c.target.StoreDownRule() != config.OnStoreDownLocalGuard {
		return ""
	}
	return first(c.r.Header, call.HeaderKey)
}

// pickRefusal returns the refusal of a call for which no endpoint could be picked: that of the
// picker, or else last, the refusal of the previous attempt.
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
