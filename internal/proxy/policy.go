package proxy

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// Matcher finds the class of a call. It is immutable. The path is the one in the request line, as
// rawPath returns it.
type Matcher interface {
	Match(host, path, method string) (*config.Target, bool)
}

// Program is the configuration in force, as one call sees it.
type Program struct {
	Matcher Matcher
	// Targets finds a class by its name and service, for calls that another node matched. It
	// returns nil if there is none.
	Targets interface {
		Target(name, service string) *config.Target
	}
	Version config.Version
	// MaxBody is the largest request body in bytes; zero means no limit.
	MaxBody int64
	// Keys maps API keys to workspaces; nil if callers need no key.
	Keys *config.Keyring
}

// Programs returns the program in force. It is called once for each call.
type Programs interface{ Program() *Program }

// Readiness delays calls for a moment while the node starts.
type Readiness interface {
	// Await returns once the node accepts calls, after a time limit, or when ctx ends.
	Await(ctx context.Context)
}

// Admitter limits the rate of a class at this node. Admit returns nil to admit the call. t is nil for
// a call that matches no class.
type Admitter interface {
	Admit(now time.Time, t *config.Target) *call.Refusal
}

// Endpoint is the address of a backend server, as used by entry nodes.
type Endpoint struct {
	ID       string // unique in the mesh
	VM       string
	Instance string // identifies the backend server at its own node
	Addr     string // the call address of its node
}

// Load is the last load report of a backend server.
type Load struct {
	Busy, Slots int
	Known       bool
	// Slowdown is by which factor work takes longer on the backend server's VM than usual, as it
	// stated itself; zero if it states none.
	Slowdown float64
}

// Advertised is what a backend server advertises about itself in an answer.
type Advertised struct {
	// Known is false if the answer can't be attributed to the backend server.
	Known bool
	// RateLimit bounds the calls that it accepts from all nodes together.
	RateLimit limit.AdvertisedRate
	// Leaving means that it accepts no new calls and is about to end.
	Leaving bool
	// Started is the start of the incarnation that advertised it, in Unix milliseconds; zero if
	// not known.
	Started int64
}

// Advertisements takes what backend servers of this VM advertise in their answers.
type Advertisements interface {
	// Observe records the answer of b, received at now, to a call that was sent at sent.
	Observe(now, sent time.Time, b Backend, a Advertised)
	// Adopt records what another node last heard of b. It applies until b has answered a call of
	// this process.
	Adopt(now time.Time, b Backend, a Advertised)
	// InForce returns what b advertises.
	InForce(b Backend) Advertised
}

// Report is the result of an attempt for the picker.
type Report struct {
	Outcome call.Outcome
	// Failed is set for a server error, an answer that was cut off, and no answer.
	Failed bool
	// Cancelled is set if the caller left before the answer began.
	Cancelled bool
	Refused   call.Reason // why it was not run, or empty
	Latency   time.Duration
	Load      Load
	// Advertised is what the endpoint advertises, as far as its node told.
	Advertised Advertised
	// RetryAfter is when the endpoint expects to accept calls again, with a refusal.
	RetryAfter time.Duration
	Bytes      int64 // of the answer's body if that is complete
	// LinkWait is how long large answers wait for the endpoint's link.
	LinkWait time.Duration
	// Run is how long calls run at the endpoint, as far as its node told.
	Run completion.Run
}

// Choice is an endpoint picked for one attempt. Done must be called once; the Choice must not be
// used afterwards.
type Choice interface {
	Endpoint() Endpoint
	Done(now time.Time, r Report)
}

// SearchScope is the set of endpoints that a call searches for a free slot.
type SearchScope uint8

// Search scopes.
const (
	NoSearch         SearchScope = iota // no search: the call may queue at the endpoint
	SearchDataCentre                    // endpoints of the own data centre
	SearchRegion                        // endpoints of the region's other data centres
)

// PickInfo describes the call that an endpoint is picked for.
type PickInfo struct {
	// Tried are the IDs of endpoints that were tried already. They are picked last or not at
	// all.
	Tried []string
	Scope SearchScope
}

// Pickers picks endpoints. If only those of PickInfo.Tried are left, Pick returns one of them or
// ErrTriedAll; during a search it always returns an error.
type Pickers interface {
	Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error)
	// PickFixed picks by key alone, so that every node picks the same endpoint. The endpoints
	// in avoid are skipped as long as there are others.
	PickFixed(now time.Time, t *config.Target, key uint64, avoid []string) (Choice, error)
	// TriedAll reports whether tried contains every endpoint that accepts calls.
	TriedAll(now time.Time, t *config.Target, tried []string) bool
}

// Retrier decides whether a call is retried. Called must be called once for each call, before its
// first attempt.
type Retrier interface {
	Called(service string)
	Decide(service string, in retry.Input) retry.Decision
}

// Permit is the permission to use one slot of a backend server.
type Permit interface{ Release(r limit.Result) }

// Gates limits the concurrency of this VM's backend servers. Acquire queues a call for a slot; its
// error is a *call.Refusal or the error of ctx.
type Gates interface {
	Acquire(ctx context.Context, b Backend, t *config.Target, times limit.AcquireOptions) (Permit, error)
}

// SlotUse is the slot usage of a backend server.
type SlotUse struct {
	Busy    int // running calls
	Limit   int // concurrency limit, at most the announced slots
	Waiting int // calls queued for a slot
	// AtRateLimit means that the rate limit that the backend server advertises lets no call start
	// now.
	AtRateLimit bool
}

// Backend is a backend server of this VM.
type Backend struct {
	Service  string
	Instance string
	Addr     string // host:port
	Slots    int
	State    membership.BackendState
	// Started is the start of its incarnation, in Unix milliseconds; zero if not reported.
	Started int64
}

// Backends finds the backend servers of this VM. An empty instance matches any instance of the
// service.
type Backends interface {
	Find(service, instance string) (Backend, bool)
}

// Rollouts limits the calls to backend servers while the traffic of their service is shifted from
// one version to another, and records the results of calls.
type Rollouts interface {
	// Admit returns a refusal if the backend server accepts no calls now, or nil.
	Admit(now time.Time, instance string) *call.Refusal
	// Begin does the same for a call that is about to be sent, and counts the call.
	Begin(now time.Time, instance string) *call.Refusal
	// Ended records the end of a call that was sent and not refused.
	Ended(now time.Time, instance, class string, took time.Duration, failed bool)
}

// Stored is the answer of a finished keyed call.
type Stored struct {
	Status int
	Header map[string][]string
	Body   []byte
	// TooLarge is set if the body was too large to store.
	TooLarge bool
}

// KeyedCall is a call with an idempotency key, which must run at most once over all retries.
type KeyedCall struct {
	Target      *config.Target
	Key         string
	Fingerprint [32]byte // of method, path and body
	Deadline    time.Time
}

// Claim is the right to run a keyed call.
type Claim interface {
	// Started must be called right before the first byte is sent to the backend server. An
	// error means that the claim has expired and the call must not run.
	Started(ctx context.Context) error
	// Finish records the answer.
	Finish(ctx context.Context, s Stored)
	// Abandon records that the call was not run.
	Abandon(ctx context.Context)
	// Lost records that the call may have run and its outcome is unknown.
	Lost(ctx context.Context)
}

// outcomeUnknownError is the type of ErrOutcomeUnknown.
type outcomeUnknownError struct{}

func (outcomeUnknownError) Error() string { return "proxy: the outcome of this key is not known" }

// ErrOutcomeUnknown means that an earlier call with the key may have run and its answer is lost.
var ErrOutcomeUnknown error = outcomeUnknownError{}

// Deduplicator keeps keyed calls from running twice. Begin returns a claim to run the call, the
// stored answer of an earlier call, or an error: a *call.Refusal, ErrOutcomeUnknown or the error of
// ctx.
type Deduplicator interface {
	Begin(ctx context.Context, k KeyedCall) (Claim, *Stored, error)
}

// Suspects quarantines requests that are suspected of crashing backend servers. The first five
// methods are called at the entry node, the others at the destination.
type Suspects interface {
	// Blocked returns a refusal if the request must not run, or nil.
	Blocked(now time.Time, fp quarantine.Fingerprint) *call.Refusal
	// Isolated reports whether the request must run at one endpoint at a time.
	Isolated(now time.Time, fp quarantine.Fingerprint) bool
	// CrashedAt returns the endpoints that crashed with the request in flight. An isolated
	// request must not run there.
	CrashedAt(now time.Time, fp quarantine.Fingerprint) []string
	Broke(now time.Time, fp quarantine.Fingerprint, endpoint string)
	Answered(now time.Time, fp quarantine.Fingerprint)

	// Pinned returns a refusal if the request is a suspect that must run at another endpoint
	// than b, or nil.
	Pinned(now time.Time, b Backend, fp quarantine.Fingerprint) *call.Refusal
	// Start records that the request is about to run. Its error is a *call.Refusal.
	Start(now time.Time, b Backend, fp quarantine.Fingerprint, req quarantine.Request) (quarantine.Token, error)
	Done(now time.Time, b Backend, tok quarantine.Token, result quarantine.RunResult)
}
