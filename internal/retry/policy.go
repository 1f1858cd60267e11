package retry

import (
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/defect"
)

// Headers that keep retries at one level.
const (
	// HeaderFinal marks an answer whose call a node gave up on. An entry node
	// that gets it from a backend server doesn't retry: a node further down
	// did what could be done. It is passed up unchanged.
	HeaderFinal = "Marlpass-Final"
	// HeaderRetried is set to "1" on every attempt after the first. A backend
	// server that copies it to the calls it makes for the request, as it
	// copies trace headers, keeps the nodes further down from retrying too.
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

// minRemaining is the time left below which another attempt is pointless.
const minRemaining = 2 * time.Millisecond

// waitShare bounds a wait to this part of the time left, so that a call that
// is going to be given up on gets its answer early.
const waitShare = 8

// Options sets up a Policy. Zero fields take the defaults.
type Options struct {
	MaxAttempts   int // attempts in all
	Backoff       time.Duration
	BackoffMax    time.Duration
	RetryAfterMin time.Duration // the least that a client is told to wait
	RetryAfterMax time.Duration
	Budget        BudgetOptions
	// ChargeReachedOnly makes only those retries draw on the budget in full that
	// follow an attempt which reached a backend server: a first one is no
	// further load, whatever was refused before it.
	ChargeReachedOnly bool
	// Rand must be safe for concurrent use; nil takes the runtime's source.
	Rand rand.Source
}

// Policy decides on retries for one service at one node. It is safe for
// concurrent use and takes no lock.
type Policy struct {
	opt    Options
	budget Budget
}

// New returns a Policy with a full budget floor.
func New(o Options) *Policy {
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.RetryAfterMin, DefaultRetryAfterMin)
	setDefault(&o.RetryAfterMax, DefaultRetryAfterMax)
	if o.Rand == nil {
		o.Rand = runtimeSource{}
	}
	p := &Policy{opt: o}
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

// Input is what is known when an attempt did not give a good answer.
type Input struct {
	Now        time.Time
	Outcome    call.Outcome
	Idempotent bool
	Attempt    int // attempts made so far, at least one
	// Reached is how many of them a backend server got, and MaxReached how many
	// may; zero means no bound.
	Reached    int
	MaxReached int
	Elapsed    time.Duration // since the call came in
	Remaining  time.Duration // until its deadline
	// Refusal is set when the attempt was refused.
	Refusal *call.Refusal
	// Overdue says that the call can only be answered later than its class aims at.
	Overdue bool
	// OneShot says that the caller will not come back when the call is refused.
	OneShot bool
	// TriedAll says that every endpoint that takes calls was tried.
	TriedAll bool
	// BodyReplayable says that the body can be sent again from its start.
	BodyReplayable bool
	// Final says that the answer bore HeaderFinal.
	Final bool
	// ParentRetried says that the call came in with HeaderRetried.
	ParentRetried bool
}

// DecisionReason says what decided.
type DecisionReason string

// The reasons for a decision.
const (
	ReasonOtherEndpoint     DecisionReason = "retry-elsewhere"   // another endpoint may run it
	ReasonSameEndpoints     DecisionReason = "retry"             // the same endpoints, after a wait
	ReasonRan               DecisionReason = "ran"               // it was run; its answer stands
	ReasonMayHaveRun        DecisionReason = "may-have-run"      // not idempotent, and may have run
	ReasonBodyConsumed      DecisionReason = "body-gone"         // the body can't be sent again
	ReasonFinal             DecisionReason = "final"             // a node further down gave up
	ReasonParentRetried     DecisionReason = "below-a-retry"     // a node further up is retrying
	ReasonNoBenefit         DecisionReason = "no-better-later"   // no endpoint would answer otherwise
	ReasonAttemptsExhausted DecisionReason = "attempts-used-up"  // the bound on attempts
	ReasonDeadlineTooNear   DecisionReason = "deadline-too-near" // no time for another attempt
	ReasonBudgetExhausted   DecisionReason = "budget-empty"      // too many retries as it is
)

// Decision is what to do next. When Retry is false the caller gets its answer
// at once.
type Decision struct {
	Retry   bool
	Backoff time.Duration // how long to wait before the next attempt
	Reason  DecisionReason
	// RetryAfter is what to tell the client in Retry-After; zero when coming
	// back would not help or might run the call twice.
	RetryAfter time.Duration
}

// SetFloor replaces what the budget may spend whatever the calls: perSecond
// retries a second, of which it may save up to burst.
func (p *Policy) SetFloor(perSecond, burst float64) { p.budget.setFloor(perSecond, burst) }

// RemainingRetries returns how many retries the budget has left at present.
func (p *Policy) RemainingRetries() float64 { return p.budget.left() }

// RecordCall counts a call. It fills the budget, so it must be told once for each
// call that comes in, and not for retries.
func (p *Policy) RecordCall() { p.budget.deposit() }

// Decide decides whether the call is sent again.
func (p *Policy) Decide(in Input) Decision {
	if why, stop := p.stops(in); stop {
		return p.giveUp(in, why)
	}
	after := p.wait(in)
	if in.Remaining-after < minRemaining {
		return p.giveUp(in, ReasonDeadlineTooNear)
	}
	if !p.budget.withdraw(in.Now, p.price(in)) {
		return p.giveUp(in, ReasonBudgetExhausted)
	}
	why := ReasonOtherEndpoint
	if in.TriedAll {
		why = ReasonSameEndpoints
	}
	return Decision{Retry: true, Backoff: after, Reason: why}
}

// stops holds the rules that don't depend on time or budget.
func (p *Policy) stops(in Input) (DecisionReason, bool) {
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
	case in.ParentRetried && !p.mayRetryBelow(in):
		return ReasonParentRetried, true
	case in.Outcome == call.NotRun && !helps(in):
		return ReasonNoBenefit, true
	case in.Attempt >= p.opt.MaxAttempts || in.MaxReached > 0 && in.Reached >= in.MaxReached:
		return ReasonAttemptsExhausted, true
	}
	return "", false
}

// mayRetryBelow allows one retry below another when the endpoint only takes no
// calls. The node further up would not learn of it: it would get a server
// error from its own backend server, which stands.
func (p *Policy) mayRetryBelow(in Input) bool {
	return in.Attempt <= 1 && p.price(in) == priceGone
}

// helps reports whether a refusal may turn out otherwise at the next attempt.
func helps(in Input) bool {
	if in.Refusal == nil {
		return true
	}
	switch kindOf(in.Refusal.Reason) {
	case kindGone:
		return true
	case kindFull:
		return !in.TriedAll && (in.OneShot || in.Attempt < maxFull && !in.Overdue)
	case kindRate:
		return !in.TriedAll
	}
	return false
}

// maxFull is how many endpoints without room a call is offered to while it can be in
// time. With two, fewer calls were in time where others had room; with five, refusals
// took more bytes and no more calls were in time (docs/deciding.md).
const maxFull = 3

// kind sorts refusals by what a retry does to the endpoints.
type kind int

const (
	kindCall kind = iota // lies with the call or the whole mesh
	kindGone             // this endpoint does not take the call; others do
	kindFull             // this endpoint has no room; the others may be short too
	kindRate             // this endpoint's part of the class's rate is used up
)

func kindOf(r call.Reason) kind {
	switch r {
	case call.ReasonDraining, call.ReasonNotHeld, call.ReasonNotReady, call.ReasonUnreachable, call.ReasonPinned:
		return kindGone
	case call.ReasonBusy, call.ReasonOverloaded, call.ReasonLinkFull, call.ReasonOverShare, call.ReasonBackend:
		return kindFull
	case call.ReasonOverRate:
		return kindRate
	}
	return kindCall
}

// price is what a retry costs the budget. A refusal by an endpoint that is
// leaving cost no backend server anything, and a herd of leavers must not use
// up the budget and so fail calls that others would run. One as over the rate
// cost nothing either, and a class far over its rate makes many; they are
// cheaper still, so that they leave some of what the calls pay in.
func (p *Policy) price(in Input) int64 {
	if p.opt.ChargeReachedOnly {
		if in.Reached > 0 {
			return priceWhole
		}
		return priceRate
	}
	if in.Outcome != call.NotRun || in.Refusal == nil {
		return priceWhole
	}
	switch kindOf(in.Refusal.Reason) {
	case kindGone:
		return priceGone
	case kindRate:
		return priceRate
	}
	return priceWhole
}

// wait returns the full-jitter backoff: a random time up to a bound that
// doubles. The first retry at another endpoint that has nothing to do with
// load goes at once.
func (p *Policy) wait(in Input) time.Duration {
	if in.Attempt <= 1 && !in.TriedAll && p.price(in) < priceWhole {
		return 0
	}
	bound := p.opt.Backoff << min(max(in.Attempt-1, 0), 10)
	bound = min(bound, p.opt.BackoffMax, max(in.Remaining, 0)/waitShare)
	return p.jitter(bound)
}

// jitter returns a random time up to bound.
func (p *Policy) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(p.opt.Rand.Uint64() % uint64(bound+1))
}

func (p *Policy) giveUp(in Input, why DecisionReason) Decision {
	return Decision{Reason: why, RetryAfter: p.comeBack(in, why)}
}

// comeBack returns what a client is told. It is jittered, so that clients
// refused together don't come back together, and grows as the budget empties,
// which is the sign that many are refused.
func (p *Policy) comeBack(in Input, why DecisionReason) time.Duration {
	if in.Outcome != call.NotRun && !in.Idempotent || why == ReasonRan {
		return 0
	}
	least := p.opt.RetryAfterMin
	if in.Refusal != nil {
		if in.Refusal.RetryAfter == 0 && kindOf(in.Refusal.Reason) == kindCall {
			return 0
		}
		least = max(least, in.Refusal.RetryAfter)
	}
	spread := time.Duration(p.budget.emptiness() * float64(p.opt.RetryAfterMax-p.opt.RetryAfterMin))
	return least + p.jitter(max(spread, p.opt.RetryAfterMin))
}
