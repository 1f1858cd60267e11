package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/defect"
)

// Headers that keep retries at one level of a call chain.
const (
	// HeaderFinal marks the answer to a call that a node gave up on. An entry
	// node that receives it from a backend server passes it on and doesn't
	// retry, since a node further down the chain has already retried.
	HeaderFinal = "Marlpass-Final"
	// HeaderRetried is set to "1" on every attempt after the first, or where
	// inherited retries are charged, on those after one that a backend server may
	// have got. A backend server that copies it to the calls it makes for the
	// request, like trace headers, prevents retries further down the chain.
	HeaderRetried = "Marlpass-Retried"
)

// Defaults of Options.
const (
	DefaultMaxAttempts   = 3
	DefaultBackoff       = 5 * time.Millisecond
	DefaultBackoffMax    = 100 * time.Millisecond
	DefaultRetryAfterMin = time.Second
	DefaultRetryAfterMax = 8 * time.Second
)

// minRemaining is the least time before the deadline for another attempt.
const minRemaining = 2 * time.Millisecond

// backoffDivisor limits a backoff to the remaining time divided by it, so that
// a call that fails in the end is answered well before its deadline.
const backoffDivisor = 8

// Options configures a Policy. Zero fields take the defaults.
type Options struct {
	MaxAttempts   int // including the first one
	Backoff       time.Duration
	BackoffMax    time.Duration
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	Budget        BudgetOptions
	// ChargeReachedOnly charges the full cost only for retries after an attempt
	// that reached a backend server. Until then no backend server has done any
	// work for the call, so a retry adds no load.
	ChargeReachedOnly bool
	// RandomRejections applies the rules of rejections.go to rejections by
	// backend servers that have free slots.
	RandomRejections bool
	// Rand must be safe for concurrent use; nil means the runtime's source.
	Rand rand.Source
}

// Policy decides on the retries of one service at one node. It is safe for
// concurrent use and takes no lock.
type Policy struct {
	options Options
	budget  Budget
	urgency urgency
	// inheritedAt is when an inherited retry was last charged, in Unix milliseconds.
	inheritedAt atomic.Int64
}

// New returns a Policy whose budget holds as many retries as its floor can
// accumulate.
func New(o Options) *Policy {
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.RetryAfterMin, DefaultRetryAfterMin)
	setDefault(&o.RetryAfterMax, DefaultRetryAfterMax)
	if o.Rand == nil {
		o.Rand = runtimeSource{}
	}
	p := &Policy{options: o}
	p.budget.init(o.Budget)
	return p
}

func setDefault[T int | int64 | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

type runtimeSource struct{}

func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// Input describes a call whose last attempt failed.
type Input struct {
	Now        time.Time
	Outcome    call.Outcome
	Idempotent bool
	Attempt    int // attempts made so far, at least one
	// Reached is how many of the attempts reached a backend server, and
	// MaxReached how many may; zero means no limit.
	Reached    int
	MaxReached int
	Elapsed    time.Duration // since the call was received
	Remaining  time.Duration // until its deadline
	// Refusal is set when the attempt was refused.
	Refusal *call.Refusal
	// Overdue reports whether the call can no longer meet its class's latency target.
	Overdue bool
	// TargetRemaining is the time until the call misses its class's latency
	// target; zero or less if it has missed it or there is none.
	TargetRemaining time.Duration
	// Waited is the time since the caller's first attempt, including attempts
	// that were refused and sent again by the caller.
	Waited time.Duration
	// SlotsFree reports whether the attempt was rejected by a backend server
	// whose load report shows free slots.
	SlotsFree bool
	// OneShot reports whether the caller does not retry a refused call.
	OneShot bool
	// Priority is the call's urgency, config.MinPriority to config.MaxPriority.
	Priority int
	// TriedAll reports whether every endpoint that takes calls was tried.
	TriedAll bool
	// BodyReplayable reports whether the body can be sent again from its start.
	BodyReplayable bool
	// Final reports whether the answer carried HeaderFinal.
	Final bool
	// ParentRetried reports whether the call was received with HeaderRetried.
	ParentRetried bool
}

// DecisionReason names the rule that led to a Decision.
type DecisionReason string

// Reasons for a Decision.
const (
	ReasonOtherEndpoint     DecisionReason = "retry-elsewhere"   // another endpoint may run it
	ReasonSameEndpoints     DecisionReason = "retry"             // endpoints tried before, after a backoff
	ReasonRan               DecisionReason = "ran"               // the call was run, its answer is final
	ReasonMayHaveRun        DecisionReason = "may-have-run"      // not idempotent, and may have run
	ReasonBodyConsumed      DecisionReason = "body-gone"         // the body can't be sent again
	ReasonFinal             DecisionReason = "final"             // a node further down the chain gave up
	ReasonParentRetried     DecisionReason = "below-a-retry"     // a node further up the chain is retrying
	ReasonNoBenefit         DecisionReason = "no-better-later"   // another attempt would be refused as well
	ReasonAttemptsExhausted DecisionReason = "attempts-used-up"  // the limit on attempts is reached
	ReasonDeadlineTooNear   DecisionReason = "deadline-too-near" // no time for another attempt
	ReasonBudgetExhausted   DecisionReason = "budget-empty"      // the retry budget is spent
)

// Decision is the outcome of Policy.Decide. When Retry is false the caller is
// answered at once.
type Decision struct {
	Retry   bool
	Backoff time.Duration // delay before the next attempt
	Reason  DecisionReason
	// RetryAfter is the delay for the Retry-After header; zero when a retry by
	// the client would not help or might run the call twice.
	RetryAfter time.Duration
}

// RemainingRetries returns the present balance of the budget in retries.
func (p *Policy) RemainingRetries() float64 { return p.budget.remaining() }

// RecordCall adds a call's part to the budget. It must be called once for each
// call received, and not for retries.
func (p *Policy) RecordCall() { p.budget.deposit() }

// Decide decides whether the call is retried, and charges the budget if so.
func (p *Policy) Decide(in Input) Decision {
	if reason, stop := p.checkRules(in); stop {
		return p.giveUp(in, reason)
	}
	delay := p.backoff(in)
	if in.Remaining-delay < minRemaining {
		return p.giveUp(in, ReasonDeadlineTooNear)
	}
	cost := p.cost(in)
	if !p.budget.withdraw(in.Now, cost, max(p.reserve(in, cost), p.keptForInherited(in.Now, cost))) &&
		!defect.On(defect.IgnoreRetryBudget) {
		return p.giveUp(in, ReasonBudgetExhausted)
	}
	reason := ReasonOtherEndpoint
	if in.TriedAll {
		reason = ReasonSameEndpoints
	}
	return Decision{Retry: true, Backoff: delay, Reason: reason}
}

// checkRules applies the rules that don't depend on time or budget. It reports
// whether one of them forbids a retry.
func (p *Policy) checkRules(in Input) (DecisionReason, bool) {
	switch in.Outcome {
	case call.NotRun:
	case call.Unknown:
		if !in.Idempotent && !defect.On(defect.ResendUnknown) {
			return ReasonMayHaveRun, true
		}
	default:
		return ReasonRan, true
	}
	switch {
	case !in.BodyReplayable:
		return ReasonBodyConsumed, true
	case in.Final:
		return ReasonFinal, true
	case in.ParentRetried && !p.mayRetryNested(in):
		return ReasonParentRetried, true
	case in.Outcome == call.NotRun && !p.retryHelps(in):
		return ReasonNoBenefit, true
	case in.Attempt >= p.options.MaxAttempts || in.MaxReached > 0 && in.Reached >= in.MaxReached:
		return ReasonAttemptsExhausted, true
	}
	return "", false
}

// mayRetryNested allows one retry of a nested call when the endpoint takes no
// calls. The node further up the chain cannot make up for it: it would receive
// a server error from its own backend server, which it does not retry.
func (p *Policy) mayRetryNested(in Input) bool {
	return in.Attempt <= 1 && p.cost(in) == costNotAccepting
}

// retryHelps reports whether the next attempt may succeed after this refusal.
func (p *Policy) retryHelps(in Input) bool {
	if in.Refusal == nil {
		return true
	}
	switch kindOf(in.Refusal.Reason) {
	case kindNotAccepting:
		return true
	case kindNoCapacity:
		// Where rejections are random, overdue calls get what the reserve leaves.
		useful := !in.Overdue || p.rejectedAtRandom(in)
		return !in.TriedAll && (in.OneShot || in.Attempt < maxFullEndpoints && useful)
	case kindRateLimited:
		return !in.TriedAll
	}
	return false
}

// maxFullEndpoints is how many endpoints without capacity a call is offered to while
// it can meet its latency target. With two, fewer calls met it where other endpoints
// had capacity; with five, refusals took more bytes and no more calls met it
// (docs/deciding.md).
const maxFullEndpoints = 3

// refusalKind groups refusals by what a retry can achieve.
type refusalKind int

const (
	kindEverywhere   refusalKind = iota // due to the call itself or the whole mesh
	kindNotAccepting                    // this endpoint does not take the call; others may
	kindNoCapacity                      // this endpoint has no capacity; others may lack it too
	kindRateLimited                     // a rate is used up at this endpoint
)

func kindOf(r call.Reason) refusalKind {
	switch r {
	case call.ReasonDraining, call.ReasonNotHeld, call.ReasonNotReady, call.ReasonUnreachable, call.ReasonPinned:
		return kindNotAccepting
	case call.ReasonBusy, call.ReasonSlow, call.ReasonOverloaded, call.ReasonLinkFull, call.ReasonOverShare, call.ReasonBackend:
		return kindNoCapacity
	case call.ReasonOverRate, call.ReasonBackendRate:
		return kindRateLimited
	}
	return kindEverywhere
}

// cost returns what a retry is charged. A refusal by a leaving endpoint costs no
// backend server any work, and many endpoints leaving at once must not exhaust
// the budget and fail calls that others would run. A refusal over the rate costs
// no work either, and a class far over its rate causes many; such retries are
// cheaper still, so that they use up only part of what calls deposit.
func (p *Policy) cost(in Input) int64 {
	if p.options.ChargeReachedOnly {
		if in.Reached > 0 {
			return wholeRetry
		}
		return costRateLimited
	}
	if in.Outcome != call.NotRun || in.Refusal == nil {
		return wholeRetry
	}
	switch kindOf(in.Refusal.Reason) {
	case kindNotAccepting:
		return costNotAccepting
	case kindRateLimited:
		return costRateLimited
	}
	return wholeRetry
}

// backoff returns an exponential backoff with full jitter. The first retry at
// another endpoint is sent at once if the refusal had nothing to do with load.
func (p *Policy) backoff(in Input) time.Duration {
	if in.Attempt <= 1 && !in.TriedAll && p.cost(in) < wholeRetry {
		return 0
	}
	bound := p.options.Backoff << min(max(in.Attempt-1, 0), 10)
	bound = min(bound, p.options.BackoffMax, max(in.Remaining, 0)/backoffDivisor)
	return p.jitter(bound)
}

// jitter returns a random time up to bound.
func (p *Policy) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(p.options.Rand.Uint64() % uint64(bound+1))
}

func (p *Policy) giveUp(in Input, reason DecisionReason) Decision {
	return Decision{Reason: reason, RetryAfter: p.retryAfter(in, reason)}
}

// retryAfter returns the delay for the Retry-After header. It is jittered, so
// that clients refused together don't retry together, and grows as the budget
// is spent, which shows that many calls are refused.
func (p *Policy) retryAfter(in Input, reason DecisionReason) time.Duration {
	if in.Outcome != call.NotRun && !in.Idempotent || reason == ReasonRan {
		return 0
	}
	if p.rejectedAtRandom(in) && in.Refusal.RetryAfter == 0 {
		return p.promptReturn(in)
	}
	minimum := p.options.RetryAfterMin
	if in.Refusal != nil {
		if in.Refusal.RetryAfter == 0 && kindOf(in.Refusal.Reason) == kindEverywhere {
			return 0
		}
		minimum = max(minimum, in.Refusal.RetryAfter)
	}
	spread := time.Duration(p.budget.spentFraction() * float64(p.options.RetryAfterMax-p.options.RetryAfterMin))
	return minimum + p.jitter(max(spread, p.options.RetryAfterMin))
}
