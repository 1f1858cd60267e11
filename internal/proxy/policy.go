package proxy

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// Matcher finds the class of work of a call. It is immutable.
type Matcher interface {
	Match(host, path, method string) (*config.Target, bool)
}

// Program is the configuration in force, as one call sees it.
type Program struct {
	Matcher Matcher
	// Targets finds a class by its name and the service that its call goes to,
	// for calls that another node matched. It returns nil for none.
	Targets interface {
		Target(name, service string) *config.Target
	}
	Version config.Version
	// MaxBody bounds the body of a call, in bytes; zero means no bound.
	MaxBody int64
	// Keys finds the workspaces of callers; nil where callers need no key.
	Keys *config.Keyring
}

// Programs gives the program in force. It is called once for each call.
type Programs interface{ Program() *Program }

// Readiness holds calls back for a moment while their node starts.
type Readiness interface {
	// Await returns once the node takes calls, when waiting for that is not worth it any
	// more, or when ctx ends.
	Await(ctx context.Context)
}

// Admitter bounds the rate of a class at this node. It returns nil to let the
// call pass. A nil target is that of a call that belongs to no class.
type Admitter interface {
	Admit(now time.Time, t *config.Target) *call.Refusal
}

// Endpoint is a backend server as an entry node reaches it.
type Endpoint struct {
	ID       string // unique in the mesh
	VM       string
	Instance string // names the backend server to its own node
	Addr     string // the call address of its node
}

// Load is what a backend server last said of itself.
type Load struct {
	Busy, Slots int
	Known       bool
}

// Report is what an attempt showed of its endpoint.
type Report struct {
	Outcome call.Outcome
	// Failed says that the attempt gave no good answer: a server error, a
	// cut answer, or none.
	Failed bool
	// Left says that the caller left before there was an answer.
	Cancelled bool
	Refused   call.Reason // why it was not run, or empty
	Latency   time.Duration
	Load      Load
	Bytes     int64 // of the answer's body, if it came whole
	// LinkWait is how long large answers wait for the endpoint's link.
	LinkWait time.Duration
}

// Choice is an endpoint picked for one attempt. Done must be called once, and
// the Choice not be used after it.
type Choice interface {
	Endpoint() Endpoint
	Done(now time.Time, r Report)
}

// SearchScope says which endpoints a call looks at for a free slot.
type SearchScope uint8

// The ways to look.
const (
	NoSearch         SearchScope = iota // the call may wait at the endpoint
	SearchDataCentre                    // at those of the own data centre
	SearchRegion                        // at those of the region's others
)

// PickInfo says what a pick is for.
type PickInfo struct {
	// Tried are the IDs of endpoints that have had the call already. They come last,
	// or not at all when only they are left.
	Tried []string
	Scope SearchScope
}

// Pickers picks endpoints. When only those of PickInfo.Tried are left, it gives one of
// them or the error ErrTriedAll, and to a call that looks always an error.
type Pickers interface {
	Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error)
	// PickFixed picks by key alone, so that every node picks the same. The
	// endpoints in avoid are left out as long as there are others.
	PickFixed(now time.Time, t *config.Target, key uint64, avoid []string) (Choice, error)
	// TriedAll reports whether tried holds every endpoint that takes calls.
	TriedAll(now time.Time, t *config.Target, tried []string) bool
}

// Retrier decides whether a call is sent again. Called is told of each call
// once, before its first attempt.
type Retrier interface {
	Called(service string)
	Decide(service string, in retry.Input) retry.Decision
}

// Permit is the right to use one slot of a backend server.
type Permit interface{ Release(r limit.Result) }

// Gates queues calls for the slots of this VM's backend servers. Its error is
// a *call.Refusal, or that of ctx.
type Gates interface {
	Acquire(ctx context.Context, b Backend, t *config.Target, times limit.AcquireOptions) (Permit, error)
}

// SlotUse tells how a gate uses its backend server's slots.
type SlotUse struct {
	Busy    int // calls that run
	Limit   int // calls that may run, up to the announced slots
	Waiting int // calls that wait for a slot
}

// Backend is a backend server of this VM.
type Backend struct {
	Service  string
	Instance string
	Addr     string // host:port
	Slots    int
	State    membership.BackendState
}

// Backends knows the backend servers of this VM. An empty instance asks for
// any of the service.
type Backends interface {
	Find(service, instance string) (Backend, bool)
}

// Rollouts bounds what backend servers take while their service's calls move from one
// version to another, and hears how calls end.
type Rollouts interface {
	// Admit returns the refusal of a call at a backend server that takes none now, or nil.
	Admit(now time.Time, instance string) *call.Refusal
	// Begin does the same for a call that is about to be sent, and counts it.
	Begin(now time.Time, instance string) *call.Refusal
	// Ended tells of a call that was sent and wasn't refused.
	Ended(now time.Time, instance, class string, took time.Duration, failed bool)
}

// Stored is the answer of a finished keyed call.
type Stored struct {
	Status int
	Header map[string][]string
	Body   []byte
	// TooLarge says that the body was larger than what is kept.
	TooLarge bool
}

// KeyedCall is a call that must run at most once over all resends.
type KeyedCall struct {
	Target      *config.Target
	Key         string
	Fingerprint [32]byte // of method, path and body
	Deadline    time.Time
}

// Claim is the right to run a keyed call.
type Claim interface {
	// Started is asked right before the first byte goes to the backend
	// server. An error means that the claim has lapsed and must not run.
	Started(ctx context.Context) error
	// Finish records the answer.
	Finish(ctx context.Context, s Stored)
	// Abandon records that the call was not run.
	Abandon(ctx context.Context)
	// Lost records that nobody knows whether the call ran.
	Lost(ctx context.Context)
}

// outcomeUnknownError is the type of ErrOutcomeUnknown.
type outcomeUnknownError struct{}

func (outcomeUnknownError) Error() string { return "proxy: the outcome of this key is not known" }

// ErrOutcomeUnknown means that the first call of a key may have run, and its
// answer is lost.
var ErrOutcomeUnknown error = outcomeUnknownError{}

// Deduplicator keeps keyed calls from running twice. Begin returns a claim to run
// the call, or the stored answer of an earlier one, or an error: a
// *call.Refusal, ErrOutcomeUnknown, or that of ctx.
type Deduplicator interface {
	Begin(ctx context.Context, k KeyedCall) (Claim, *Stored, error)
}

// Suspects keeps requests that crash backend servers away from them. The first
// five methods are asked at the entry node, the others at the destination.
type Suspects interface {
	// Blocked returns the refusal of a request that must not run, or nil.
	Blocked(now time.Time, fp quarantine.Fingerprint) *call.Refusal
	// Isolated reports whether the request must run at one place at a time.
	Isolated(now time.Time, fp quarantine.Fingerprint) bool
	// CrashedAt returns the endpoints that crashed with the request in flight.
	// An isolated run must not choose them.
	CrashedAt(now time.Time, fp quarantine.Fingerprint) []string
	Broke(now time.Time, fp quarantine.Fingerprint, endpoint string)
	Answered(now time.Time, fp quarantine.Fingerprint)

	// Pinned returns the refusal of a suspect that has to run at another
	// endpoint than b, or nil.
	Pinned(now time.Time, b Backend, fp quarantine.Fingerprint) *call.Refusal
	// Start notes that the request is about to run. Its error is a
	// *call.Refusal.
	Start(now time.Time, b Backend, fp quarantine.Fingerprint, what quarantine.Request) (quarantine.Token, error)
	Done(now time.Time, b Backend, tok quarantine.Token, end quarantine.RunResult)
}
