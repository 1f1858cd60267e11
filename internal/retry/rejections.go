package retry

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Bounds of the time after which a caller is told to return when a backend
// server with free slots rejected its call. Below the minimum, the answer and
// the return alone take longer than the wait.
const (
	promptReturnMin = 10 * time.Millisecond
	promptReturnMax = 50 * time.Millisecond
)

// overdueReturnDivisor limits the wait of an overdue caller to the time that it
// has waited and to its remaining time, each divided by it.
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
// while it can still meet its latency target. The wait of an overdue caller
// grows with the time that it has waited, so that callers who return again and
// again don't multiply the arrivals at a service that rejects nearly every call.
func (p *Policy) promptReturn(in Input) time.Duration {
	least, bound := promptReturnMin, promptReturnMax
	switch {
	case in.TargetRemaining >= 2*promptReturnMin:
		bound = min(bound, max(in.TargetRemaining/backoffDivisor, promptReturnMin))
	case in.Overdue || in.TargetRemaining > 0:
		bound = max(bound, min(in.Waited, in.Remaining)/overdueReturnDivisor)
		bound = min(bound, p.options.RetryAfterMin)
		least = max(least, bound/2) // a low draw must not undo the growth
	}
	return least + p.jitter(bound-least)
}
