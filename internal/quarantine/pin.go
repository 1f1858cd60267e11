package quarantine

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// MaxPinnedRefusals is how often a call is refused as pinned to another endpoint before the next
// endpoint runs it anyway.
//
// Without the limit a harmless suspect could be locked out: nodes may disagree about which
// endpoints are open, and each then refers the suspect to another one.
const MaxPinnedRefusals = 2

// Pinned checks, at the destination node before Start, whether a suspect has to run at another
// endpoint. If so, it returns the refusal. choose returns the selected endpoint as VM/backend
// server, without those in avoid, which crashed with the request, or "" if it is unknown.
//
// This prevents a third crash. An entry node that has not yet received the first crash sends a copy
// of the request to any endpoint, beside the copy at the selected one, and both crash. The nodes
// that hold the service are the first to be notified of crashes.
func (l *List) Pinned(now time.Time, fp Fingerprint, endpoint string, choose func(avoid []string) string) *call.Refusal {
	e := l.lookup(now, fp)
	if e == nil || !e.isolated() {
		return nil
	}
	chosen := choose(e.crashedAt())
	if chosen == "" || chosen == l.opt.Self+"/"+endpoint {
		return nil
	}
	return &call.Refusal{
		Reason:     call.ReasonPinned,
		RetryAfter: isolatedRetryAfter,
		Detail:     "the suspect request runs at another endpoint",
	}
}
