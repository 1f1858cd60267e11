package retry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

var start = time.Unix(1_700_000_000, 0)

// seeded is a seeded random source that is safe for concurrent use.
type seeded struct {
	mu  sync.Mutex
	pcg *rand.PCG
}

func newSeeded(seed uint64) *seeded { return &seeded{pcg: rand.NewPCG(1, seed)} }

func (s *seeded) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pcg.Uint64()
}

func refusal(r call.Reason) *call.Refusal { return &call.Refusal{Reason: r} }

// input returns a first attempt refused by a draining endpoint, after change.
func input(change func(*Input)) Input {
	in := Input{
		Now: start, Outcome: call.NotRun, Attempt: 1, Remaining: time.Second,
		Refusal: refusal(call.ReasonDraining), BodyReplayable: true,
	}
	change(&in)
	return in
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Input)
		want   DecisionReason
		retry  bool
	}{
		{"refused, other endpoints", func(*Input) {}, ReasonOtherEndpoint, true},
		{"refused by all as draining", func(in *Input) { in.TriedAll = true }, ReasonSameEndpoints, true},
		{"overloaded, other endpoints", func(in *Input) { in.Refusal = refusal(call.ReasonOverloaded) }, ReasonOtherEndpoint, true},
		{"overloaded everywhere", func(in *Input) { in.Refusal, in.TriedAll = refusal(call.ReasonOverloaded), true }, ReasonNoBenefit, false},
		{"over its rate here", func(in *Input) { in.Refusal = refusal(call.ReasonOverRate) }, ReasonOtherEndpoint, true},
		{"over its rate everywhere", func(in *Input) { in.Refusal, in.TriedAll = refusal(call.ReasonOverRate), true }, ReasonNoBenefit, false},
		{"suspect request pinned elsewhere", func(in *Input) { in.Refusal = refusal(call.ReasonPinned) }, ReasonOtherEndpoint, true},
		{"suspect request held back", func(in *Input) { in.Refusal = refusal(call.ReasonHeldBack) }, ReasonNoBenefit, false},
		{"parent retried, over its rate", func(in *Input) { in.ParentRetried, in.Refusal = true, refusal(call.ReasonOverRate) }, ReasonParentRetried, false},
		{"quarantined", func(in *Input) { in.Refusal = refusal(call.ReasonQuarantined) }, ReasonNoBenefit, false},
		{"no endpoint", func(in *Input) { in.Refusal = refusal(call.ReasonNoEndpoint) }, ReasonNoBenefit, false},
		{"deadline passed in a queue", func(in *Input) { in.Refusal = refusal(call.ReasonExpired) }, ReasonNoBenefit, false},
		{"may have run, not idempotent", func(in *Input) { in.Outcome, in.Refusal = call.Unknown, nil }, ReasonMayHaveRun, false},
		{"may have run, idempotent", func(in *Input) { in.Outcome, in.Refusal, in.Idempotent = call.Unknown, nil, true }, ReasonOtherEndpoint, true},
		{"ran", func(in *Input) { in.Outcome, in.Refusal, in.Idempotent = call.Ran, nil, true }, ReasonRan, false},
		{"no outcome", func(in *Input) { in.Outcome, in.Idempotent = 0, true }, ReasonRan, false},
		{"body consumed", func(in *Input) { in.BodyReplayable = false }, ReasonBodyConsumed, false},
		{"answer marked final", func(in *Input) { in.Final = true }, ReasonFinal, false},
		{"parent retried, overloaded", func(in *Input) { in.ParentRetried, in.Refusal = true, refusal(call.ReasonOverloaded) }, ReasonParentRetried, false},
		{"parent retried, draining", func(in *Input) { in.ParentRetried = true }, ReasonOtherEndpoint, true},
		{"parent retried, draining twice", func(in *Input) { in.ParentRetried, in.Attempt = true, 2 }, ReasonParentRetried, false},
		{"attempts exhausted", func(in *Input) { in.Attempt = DefaultMaxAttempts }, ReasonAttemptsExhausted, false},
		{"no time left", func(in *Input) { in.Remaining = time.Millisecond }, ReasonDeadlineTooNear, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New(Options{Rand: newSeeded(1)}).Decide(input(c.change))
			if d.Reason != c.want || d.Retry != c.retry {
				t.Errorf("got %+v", d)
			}
			if d.Retry && d.RetryAfter != 0 || !d.Retry && d.Backoff != 0 {
				t.Errorf("a retry with RetryAfter, or an answer with a backoff: %+v", d)
			}
		})
	}
}

// Guards against a booking made twice: a client must get no Retry-After for a call
// that may have run.
func TestRetryAfterOnlyWhenResendIsSafe(t *testing.T) {
	p := New(Options{Rand: newSeeded(1)})
	d := p.Decide(input(func(in *Input) { in.Outcome, in.Refusal = call.Unknown, nil }))
	if d.RetryAfter != 0 {
		t.Errorf("a call that may have run has RetryAfter %v", d.RetryAfter)
	}
	d = p.Decide(input(func(in *Input) { in.Attempt = DefaultMaxAttempts }))
	if d.RetryAfter < DefaultRetryAfterMin {
		t.Errorf("a refused call has RetryAfter %v, below the minimum", d.RetryAfter)
	}
	long := &call.Refusal{Reason: call.ReasonQuarantined, RetryAfter: time.Minute}
	d = p.Decide(input(func(in *Input) { in.Refusal = long }))
	if d.RetryAfter < time.Minute {
		t.Errorf("RetryAfter %v ends before the refusal does", d.RetryAfter)
	}
}

// Guards against callers that wait until their deadline for a failure known long
// before: a backoff takes only a small part of the remaining time.
func TestBackoffIsSmallPartOfRemainingTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{Rand: newSeeded(rapid.Uint64().Draw(t, "seed"))})
		in := input(func(in *Input) {
			in.Refusal = refusal(call.ReasonOverloaded)
			in.Attempt = rapid.IntRange(1, 2).Draw(t, "attempt")
			in.Remaining = time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "remaining"))
		})
		d := p.Decide(in)
		if d.Backoff > in.Remaining/backoffDivisor || d.Backoff > DefaultBackoffMax {
			t.Fatalf("backoff %v with %v remaining", d.Backoff, in.Remaining)
		}
	})
}

// Guards against a booking made twice when the answer to the first attempt is lost:
// a call that is not idempotent runs at most once, whatever the order of failures.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	reasons := []call.Reason{call.ReasonDraining, call.ReasonOverloaded, call.ReasonUnreachable, call.ReasonNotHeld, call.ReasonBackend}
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{MaxAttempts: 10, Rand: newSeeded(rapid.Uint64().Draw(t, "seed"))})
		runs, now := 0, start
		for attempt := 1; ; attempt++ {
			in := input(func(in *Input) { in.Now, in.Attempt = now, attempt })
			// A lost answer and a lost request have the same outcome for the
			// entry node.
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0:
				in.Refusal = refusal(rapid.SampledFrom(reasons).Draw(t, "reason"))
			case 1:
				in.Outcome, in.Refusal = call.Unknown, nil
			case 2:
				runs++
				in.Outcome, in.Refusal = call.Unknown, nil
			case 3:
				runs++
				in.Outcome, in.Refusal = call.Ran, nil
			}
			in.TriedAll = rapid.Bool().Draw(t, "tried all")
			d := p.Decide(in)
			if !d.Retry {
				break
			}
			now = now.Add(d.Backoff)
		}
		if runs > 1 {
			t.Fatalf("ran %d times", runs)
		}
	})
}

func TestBudget(t *testing.T) {
	var b Budget
	b.init(BudgetOptions{})
	spend := func(now time.Time) int {
		n := 0
		for b.withdraw(now, wholeRetry, 0) {
			n++
		}
		return n
	}
	if n := spend(start); n != floorBurst {
		t.Errorf("a new budget allows %d retries, want 3", n)
	}
	for range 50 {
		b.deposit()
	}
	if n := spend(start); n != 5 {
		t.Errorf("50 calls allow %d retries, want 5", n)
	}
	for range 10_000 {
		b.deposit()
	}
	if n := spend(start); n != DefaultBurst {
		t.Errorf("10,000 calls allow %d retries at once, want 10", n)
	}
	if n := spend(start.Add(time.Hour)); n != floorBurst {
		t.Errorf("an hour without calls allows %d retries, want 3", n)
	}
	if n := spend(start.Add(time.Hour + 10*time.Second)); n != 1 {
		t.Errorf("ten seconds allow %d retries, want 1", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := New(Options{})
	in := input(func(in *Input) { in.Refusal = refusal(call.ReasonOverloaded) })
	b.ReportAllocs()
	for b.Loop() {
		p.RecordCall()
		p.Decide(in)
	}
}

// Guards the budget during a node's replacement, when many attempts are refused before
// they reach a backend server: these cost little, while attempts that reached one are
// charged in full and end at the class's limit.
func TestOnlyReachedAttemptsAreCharged(t *testing.T) {
	p := New(Options{Rand: newSeeded(1), ChargeReachedOnly: true, MaxAttempts: 6, Budget: BudgetOptions{Ratio: 0.1, Burst: 4}})
	p.budget.setFloor(0, 2)
	for i := range 100 {
		p.RecordCall()
		in := input(func(in *Input) { in.Refusal = refusal(call.ReasonOverloaded) })
		if d := p.Decide(in); !d.Retry {
			t.Fatalf("call %d: %+v", i, d)
		}
	}
	spent := 0
	for p.Decide(input(func(in *Input) { in.Reached = 1 })).Retry {
		spent++
	}
	if spent == 0 || spent > 4 {
		t.Errorf("%d retries from a budget of 4 retries", spent)
	}
	d := New(Options{Rand: newSeeded(1), ChargeReachedOnly: true}).Decide(input(func(in *Input) { in.Reached, in.MaxReached = 2, 2 }))
	if d.Retry || d.Reason != ReasonAttemptsExhausted {
		t.Errorf("a third attempt at a backend server where two are allowed: %+v", d)
	}
}
