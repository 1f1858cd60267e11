package quarantine

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// MaxPinnedRefusals is how often a call is refused as pinned to another endpoint before
// the next endpoint runs it all the same.
//
// It guards against locking out a harmless suspect. Nodes may see other
// endpoints as open, and then each sends the suspect on to the next one.
const MaxPinnedRefusals = 2

// Pinned is asked at the destination node, before Start. It returns a refusal if
// a crash made the request a suspect and another endpoint is chosen for it.
// Choose returns that endpoint as VM/backend server, and is given those that
// crashed with the request; it returns "" if it can't tell.
//
// It guards against a third crash. An entry node that has not heard of the first
// one sends a copy to any endpoint, beside the copy that runs at the chosen one,
// and both crash. The nodes that hold the service hear of crashes first.
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
		RetryAfter: isolatedRetry,
		Detail:     "the suspect request runs at another endpoint",
	}
}
