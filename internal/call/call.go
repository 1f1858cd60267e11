// Package call holds the words that every layer on a call's path shares: what
// is known of an attempt, why a call is refused, and the headers that carry
// both between nodes.
package call

import (
	"fmt"
	"time"
)

// Outcome is what is known about whether an attempt was run by a backend
// server.
type Outcome uint8

const (
	// NotRun means that no byte of the request reached a backend server, or
	// that the backend server itself said that it did not run it. Any call
	// may be sent again after it.
	NotRun Outcome = iota + 1
	// Ran means that the backend server answered.
	Ran
	// Unknown means that the request may have run. Only an idempotent call
	// may be sent again after it.
	Unknown
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// Reason says why a call was refused. A refusal always means NotRun.
type Reason string

// Reasons for a refusal.
const (
	ReasonNoRoute     Reason = "no-route"           // no class of work matches
	ReasonNotHeld     Reason = "service-not-held"   // this node does not hold the service
	ReasonNoEndpoint  Reason = "no-endpoint"        // no endpoint of the service is known
	ReasonSlow        Reason = "slow"               // the call would run too slowly now, and other endpoints are left to try
	ReasonOverloaded  Reason = "overloaded"         // the queue is full or would outlast the deadline
	ReasonBusy        Reason = "busy"               // no slot is free now, and the call was not to wait for one
	ReasonLinkFull    Reason = "link-full"          // the VM's link cannot carry the answer in time
	ReasonOverShare   Reason = "over-share"         // the class holds its share and others wait
	ReasonOverRate    Reason = "over-rate"          // the class is over its stated rate
	ReasonBackendRate Reason = "over-backend-rate"  // the backend server accepts no more calls a second
	ReasonExpired     Reason = "deadline-passed"    // the deadline passed before the call was run
	ReasonDraining    Reason = "draining"           // the endpoint takes no new calls
	ReasonQuarantined Reason = "quarantined"        // the request has crashed backend servers
	ReasonHeldBack    Reason = "held-back"          // calls with the request broke at two endpoints a moment ago
	ReasonPinned      Reason = "pinned-elsewhere"   // the suspect request runs at another endpoint only
	ReasonNotReady    Reason = "not-ready"          // the node may not carry traffic yet
	ReasonInternal    Reason = "internal-only"      // the class is not open to outside callers
	ReasonStoreDown   Reason = "store-down"         // the claim of a keyed request could not be recorded
	ReasonKeyReused   Reason = "key-reused"         // the key was used before with another request
	ReasonUnreachable Reason = "unreachable"        // no connection to the endpoint could be made
	ReasonBackend     Reason = "refused-by-backend" // the backend server said that it did not run it
	ReasonBadRequest  Reason = "bad-request"        // the request cannot be forwarded at all
	ReasonTooLarge    Reason = "too-large"          // the body is longer than callers may send
	ReasonNoKey       Reason = "no-key"             // no workspace holds the call's API key
	ReasonUnusableKey Reason = "key-unusable"       // the configuration holds the call's API key, but not for one workspace alone
	ReasonOverQuota   Reason = "over-quota"         // the workspace is over its quota
	ReasonUnconfirmed Reason = "keys-unconfirmed"   // it is too long ago that the keys held here were the newest
)

// Refusal tells that a call was not run, why, and when to come back. It is the
// only error type that stands for NotRun.
type Refusal struct {
	Reason Reason
	// RetryAfter tells the caller when to come back; zero means not at all
	// or that the layer does not know.
	RetryAfter time.Duration
	Detail     string
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return "call not run: " + string(r.Reason)
	}
	return "call not run: " + string(r.Reason) + ": " + r.Detail
}

// Headers between nodes, and towards callers and backend servers.
const (
	// HeaderNotRun marks a response as a refusal; its value is a Reason. It
	// is set in one place, and removed from whatever a backend server sends.
	HeaderNotRun = "Marlpass-Not-Run"
	// HeaderDeadline carries the time left for the call, in milliseconds.
	// Time left is sent rather than a moment, because clocks differ.
	HeaderDeadline = "Marlpass-Deadline-Ms"
	// HeaderHop carries from the entry node to the destination node all that
	// the latter needs of a call. It is one header because each costs its
	// receiver two allocations.
	HeaderHop = "Marlpass-Hop"
	// HeaderAttempt carries a fresh nonce to the backend server.
	HeaderAttempt = "Marlpass-Attempt"
	// HeaderRefused is how a backend server says that it did not run the
	// request: it must repeat the nonce of HeaderAttempt. A header copied
	// from a deeper call carries another nonce and is not believed.
	HeaderRefused = "Marlpass-Refused"
	// HeaderLoad carries the backend server's load back, as "busy/slots".
	HeaderLoad = "Marlpass-Load"
	// HeaderSlowdown is how a backend server says how long work takes on its VM
	// at the moment, in percent of the usual.
	HeaderSlowdown = "Marlpass-Slowdown"
	// HeaderRateLimit is how a backend server says how many calls a second, a
	// decimal number, it accepts from all nodes together, for as long as its
	// answers carry the header.
	HeaderRateLimit = "Marlpass-Rate-Limit"
	// HeaderLeaving is how a backend server says, by "1", that it takes no new
	// calls and is about to end.
	HeaderLeaving = "Marlpass-Leaving"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)
