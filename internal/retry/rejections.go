package retry

import (
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Bounds of the time after which a caller is told to return when a backend
// server with free slots rejected its call. Below the minimum, the answer and
// the return alone take longer than the wait.
const (
	promptReturnMin = 10 * time.Millisecond
	promptReturnMax = 50 * time.Millisecond
)

// overdueReturnDivisor limits the wait of a caller that can't meet a latency
// target to the time that it has waited and to its remaining time, each divided
// by it.
const overdueReturnDivisor = 2

// rejectedAtRandom reports whether a backend server rejected the attempt for a
// reason other than its load, so that the next attempt has the same chance as
// any other call. A rejection passed up from a nested call doesn't count: the
// nested service may be full.
func (p *Policy) rejectedAtRandom(in Input) bool {
	return p.options.RandomRejections && in.SlotsFree && !in.Final &&
		in.Outcome == call.NotRun && in.Refusal != nil && in.Refusal.Reason == call.ReasonBackend
}

// promptReturn returns the Retry-After for a call that was rejected at random.
// Waiting doesn't raise the chance of the next attempt, so the caller returns
// while it can still meet its latency target. Otherwise, also without a target,
// the wait grows with the time that the caller has waited, so that callers who
// return again and again don't multiply the arrivals at a service that rejects
// nearly every call.
func (p *Policy) promptReturn(in Input) time.Duration {
	least, bound := promptReturnMin, promptReturnMax
	if in.TargetRemaining >= 2*promptReturnMin {
		bound = min(bound, max(in.TargetRemaining/backoffDivisor, promptReturnMin))
	} else {
		bound = max(bound, min(in.Waited, in.Remaining)/overdueReturnDivisor)
		bound = min(bound, p.options.RetryAfterMin)
		least = max(least, bound/2) // a low draw must not undo the growth
	}
	return least + p.jitter(bound-least)
}

// urgencyWindow is how long a part of the budget is kept for more urgent calls
// after one asked for a retry. At a node that gets one urgent call a second, at
// which half are rejected, the next one asks within it.
const urgencyWindow = 2 * time.Second

// Standing ranks calls of one class by what a refusal costs.
type Standing int

// Standings, in ascending order of urgency.
const (
	StandingOverdue Standing = iota // the latency target is missed already
	StandingInTime                  // the caller returns, but may miss its target
	StandingOneShot                 // the caller doesn't return, and work in progress is lost
	standings
)

// String returns the standing as it is shown in metrics.
func (s Standing) String() string { return [...]string{"overdue", "in-time", "one-shot"}[s] }

// Standing returns the standing of the call.
func (in *Input) Standing() Standing {
	switch {
	case in.OneShot:
		return StandingOneShot
	case in.Overdue:
		return StandingOverdue
	}
	return StandingInTime
}

// urgency holds when calls of each urgency last asked for a retry.
type urgency struct {
	// randomAt is when a rejection at random was last seen, in Unix milliseconds.
	randomAt atomic.Int64
	// askedAt is indexed by priority and standing.
	askedAt [(config.MaxPriority + 1) * int(standings)]atomic.Int64
}

// recent reports whether at is within urgencyWindow before now, both in Unix
// milliseconds. A time after now, as after the clock was set back, is not.
func recent(now, at int64) bool { return at <= now && now-at < urgencyWindow.Milliseconds() }

// reserve returns the part of the balance that a retry must leave, in thousandths
// of a retry: while backend servers reject calls at random, one retry for each
// urgency above the call's that has lately asked for one. Calls of that urgency
// are then seldom refused by an empty budget, and what they don't use goes to the
// others.
func (p *Policy) reserve(in Input, cost int64) int64 {
	if !p.options.RandomRejections || cost < wholeRetry {
		return 0
	}
	now := in.Now.UnixMilli()
	if p.rejectedAtRandom(in) {
		p.urgency.randomAt.Store(now)
	} else if !recent(now, p.urgency.randomAt.Load()) {
		return 0
	}
	asked := &p.urgency.askedAt
	own := min(max(in.Priority, 0), config.MaxPriority)*int(standings) + int(in.Standing())
	asked[own].Store(now)
	above := int64(0)
	for i := own + 1; i < len(asked); i++ {
		if recent(now, asked[i].Load()) {
			above++
		}
	}
	// A full budget is open to all.
	return min(above*wholeRetry, max(p.budget.burst.Load()-cost, 0))
}
