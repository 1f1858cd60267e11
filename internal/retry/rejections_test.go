package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
)

// rejected returns an attempt rejected by a backend server with free slots, after change.
func rejected(change func(*Input)) Input {
	return input(func(in *Input) {
		in.Refusal, in.SlotsFree, in.Reached = refusal(call.ReasonBackend), true, 1
		in.MaxReached, in.Attempt = 1, 1
		in.TargetRemaining = 480 * time.Millisecond
		change(in)
	})
}

func boundedOptions(seed uint64) Options {
	return Options{Rand: newSeeded(seed), ChargeReachedOnly: true, RandomRejections: true, MaxAttempts: 6}
}

// Guards against callers told to return after their latency target although the next attempt would
// have the same chance at once, and against prompt returns where waiting does help.
func TestReturnAfterRandomRejection(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    bool
		change func(*Input)
		prompt bool
	}{
		{"slots free", false, func(*Input) {}, true},
		{"slots free, no target", false, func(in *Input) { in.TargetRemaining = 0 }, true},
		{"retries not bounded over the mesh", true, func(*Input) {}, false},
		{"full", false, func(in *Input) { in.SlotsFree = false }, false},
		{"refused by a node", false, func(in *Input) { in.Refusal = refusal(call.ReasonOverloaded) }, false},
		{"a nested call was refused", false, func(in *Input) { in.Final = true }, false},
		{"the backend server states a time", false, func(in *Input) { in.Refusal.RetryAfter = time.Second }, false},
		{"may have run", false, func(in *Input) { in.Outcome, in.Refusal = call.Unknown, nil; in.Idempotent = true }, false},
	} {
		o := boundedOptions(1)
		o.RandomRejections = !c.off
		d := New(o).Decide(rejected(c.change))
		if prompt := d.RetryAfter >= promptReturnMin && d.RetryAfter <= promptReturnMax; d.Retry || prompt != c.prompt {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against a Retry-After that uses up most of the time to the latency target.
func TestReturnMeetsLatencyTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(boundedOptions(rapid.Uint64().Draw(t, "seed")))
		remaining := time.Duration(rapid.Int64Range(int64(2*promptReturnMin), int64(2*time.Second)).Draw(t, "target remaining"))
		d := p.Decide(rejected(func(in *Input) { in.TargetRemaining = remaining }))
		if d.RetryAfter < promptReturnMin || d.RetryAfter > max(remaining/backoffDivisor, promptReturnMin) {
			t.Fatalf("return after %v with %v to the target", d.RetryAfter, remaining)
		}
	})
}

// Guards against callers who return every few milliseconds to a service that rejects every call.
func TestReturnsThinOut(t *testing.T) {
	for _, target := range []time.Duration{300 * time.Millisecond, 0} {
		p := New(boundedOptions(1))
		waited, returns := time.Duration(0), 0
		for ; waited < 8*time.Second; returns++ {
			d := p.Decide(rejected(func(in *Input) {
				in.Waited, in.Remaining, in.TargetRemaining = waited, 8*time.Second, 0
				if target > 0 {
					in.TargetRemaining = target - waited
					in.Overdue = in.TargetRemaining < 0
				}
			}))
			waited += d.RetryAfter
		}
		t.Logf("target %v: %d returns in 8 s", target, returns)
		if returns > 40 {
			t.Errorf("target %v: %d returns in 8 s", target, returns)
		}
	}
}

// Guards against a budget that less urgent calls use up while backend servers reject calls at random,
// and against one that is kept although no more urgent call needs it.
func TestBudgetIsKeptForMoreUrgentCalls(t *testing.T) {
	at := func(after time.Duration, priority int, change func(*Input)) Input {
		return rejected(func(in *Input) {
			in.Now, in.Priority, in.MaxReached = start.Add(after), priority, 3
			change(in)
		})
	}
	same := func(*Input) {}
	overdue := func(in *Input) { in.Overdue = true }
	oneShot := func(in *Input) { in.OneShot = true }
	for _, c := range []struct {
		name  string
		first Input // draws one of the two retries in the budget
		then  Input
		retry bool
	}{
		{"less urgent class", at(0, 7, same), at(0, 5, same), false},
		{"same class", at(0, 7, same), at(0, 7, same), true},
		{"more urgent class", at(0, 5, same), at(0, 7, same), true},
		{"overdue after in time", at(0, 5, same), at(0, 5, overdue), false},
		{"in time after one-shot", at(0, 5, oneShot), at(0, 5, same), false},
		{"overdue of a more urgent class", at(0, 5, oneShot), at(0, 7, overdue), true},
		{"long after the urgent call", at(0, 7, same), at(urgencyWindow, 5, same), true},
		{"clock set back", at(time.Hour, 7, same), at(0, 5, same), true},
	} {
		p := New(boundedOptions(1))
		p.budget.setFloor(0, 3)
		p.budget.balance.Store(2 * wholeRetry)
		if d := p.Decide(c.first); !d.Retry {
			t.Fatalf("%s: the first call got %+v", c.name, d)
		}
		if d := p.Decide(c.then); d.Retry != c.retry {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}
