package proxy

import (
	"context"
	"crypto/sha256"
	"errors"

	"github.com/marlpass/marlpass/internal/call"
)

// claim makes sure that a keyed call runs at most once. If done is set, a is the final answer.
func (d *Destination) claim(ctx context.Context, in *inbound, h *execution) (a answer, done bool) {
	key := first(in.header, call.HeaderKey)
	if key == "" || h.target.Idempotent || d.Deduplicator == nil {
		return answer{}, false
	}
	if in.body.overBudget() {
		return answer{refusal: refuse(call.ReasonOverloaded, 0, "no memory for the body")}, true
	}
	if in.body.streams() {
		return answer{refusal: refuse(call.ReasonBadRequest, 0,
			"a request with an idempotency key needs a body of known length, of at most 64 KiB")}, true
	}
	claim, stored, err := d.Deduplicator.Begin(ctx, KeyedCall{
		Target: h.target, Key: key, Fingerprint: fingerprint(in), Deadline: in.deadline,
	})
	switch {
	case err == nil && stored == nil:
		h.claim, h.stored, h.deadline = claim, new(Stored), in.deadline
		return answer{}, false
	case err == nil && stored.TooLarge:
		return answer{err: errAnswerNotStored}, true
	case err == nil:
		h.replayed = true
		return answer{resp: stored.response(in.r), held: h}, true
	}
	r, err := asRefusal(err)
	switch {
	case r != nil && r.Reason == call.ReasonStoreDown:
		return answer{err: errStoreDown}, true
	case r != nil:
		return answer{refusal: r}, true
	case errors.Is(err, ErrOutcomeUnknown):
		return answer{err: err}, true
	}
	return answer{refusal: refuse(call.ReasonExpired, 0, "the claim was not made in time")}, true
}

// fingerprint returns the SHA-256 of a request's method, URI, service and body. It detects
// different requests that use the same key.
func fingerprint(in *inbound) [32]byte {
	s := sha256.New()
	s.Write([]byte(in.r.Method + " " + in.r.URL.RequestURI() + "\n" + in.hop.service + "\n"))
	s.Write(in.body.buffered)
	var f [32]byte
	s.Sum(f[:0])
	return f
}
