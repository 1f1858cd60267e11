package retry

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// levels models a call chain of depth levels. At each level an entry node
// decides on retries, and its backend server calls the next level.
type levels struct {
	depth    int
	policies []*Policy // nil means always retry, up to baselineAttempts
	deepest  int       // attempts that reached the last level
	now      time.Time
	// copyFinal and copyRetried report whether backend servers copy HeaderFinal
	// up and HeaderRetried down the chain.
	copyFinal, copyRetried bool
	// cutAnswers makes a backend server cut off its answer when its own call
	// failed, which its entry node counts as unknown. Otherwise it reports the
	// call as not run, with a fresh nonce.
	cutAnswers bool
	// fails reports whether the next attempt at the last level is refused.
	fails func() bool
}

const baselineAttempts = 3

// baselineDepth is less than 15, as three attempts at each of 15 levels make 14
// million.
const baselineDepth = 9

// call makes a call at a level and reports whether it succeeded and whether its
// answer was marked final.
func (l *levels) call(level int, parentRetried bool) (ok, final bool) {
	if l.policies != nil {
		l.policies[level].RecordCall()
	}
	for attempt := 1; ; attempt++ {
		retried := parentRetried && l.copyRetried || attempt > 1
		ok, final := l.attempt(level, retried)
		if ok {
			return true, false
		}
		if !l.retries(level, attempt, parentRetried, final) {
			return false, l.copyFinal
		}
	}
}

func (l *levels) attempt(level int, retried bool) (ok, final bool) {
	if level == l.depth-1 {
		l.deepest++
		return !l.fails(), false
	}
	return l.call(level+1, retried && l.copyRetried)
}

func (l *levels) retries(level, attempt int, parentRetried, final bool) bool {
	if l.policies == nil {
		return attempt < baselineAttempts
	}
	in := Input{
		Now: l.now, Outcome: call.NotRun, Idempotent: true, Attempt: attempt,
		Remaining: time.Minute, BodyReplayable: true, Final: final,
		ParentRetried: parentRetried && l.copyRetried, Refusal: refusal(call.ReasonOverloaded),
	}
	if l.cutAnswers && level < l.depth-1 {
		in.Outcome, in.Refusal = call.Unknown, nil
	}
	return l.policies[level].Decide(in).Retry
}

func fullBudgetPolicies() []*Policy {
	ps := make([]*Policy, 15)
	for i := range ps {
		ps[i] = New(Options{Rand: newSeeded(uint64(i)), Budget: BudgetOptions{Burst: 1000}})
		// A full budget, so that only the level rules limit retries.
		ps[i].budget.balance.Store(1000 * wholeRetry)
	}
	return ps
}

// Guards against retry amplification: if each of 15 levels sends a call three
// times, one refusal at the last level causes millions of attempts. A refusal is
// retried at one level only.
func TestRetriesDoNotMultiply(t *testing.T) {
	always := func() bool { return true }
	count := func(l levels) int {
		l.now, l.fails = start, always
		l.call(0, false)
		return l.deepest
	}
	baseline := count(levels{depth: baselineDepth})
	t.Logf("always three attempts, %d levels: %d attempts at the last level (3^15 is 14,348,907)", baselineDepth, baseline)
	cases := []struct {
		name   string
		levels levels
		most   int
	}{
		{"backend servers copy the final mark", levels{copyFinal: true}, 3},
		{"backend servers copy only the retried mark", levels{copyRetried: true}, 1 + 14*2 + 2},
		{"the same, and answers are cut off", levels{copyRetried: true, cutAnswers: true}, 1 + 14*2 + 2},
	}
	for _, c := range cases {
		c.levels.depth, c.levels.policies = 15, fullBudgetPolicies()
		got := count(c.levels)
		t.Logf("Policy, 15 levels, %s: %d attempts", c.name, got)
		if got > c.most {
			t.Errorf("%s: %d attempts, more than %d", c.name, got, c.most)
		}
	}
}

// Guards the budgets as the only limit when backend servers copy no header: they
// bound the attempts of a stream of calls, though not those of a single call.
func TestBudgetsAloneBoundAttempts(t *testing.T) {
	const calls = 2000
	l := &levels{depth: 15, now: start, cutAnswers: true, fails: func() bool { return true }}
	for i := range 15 {
		l.policies = append(l.policies, New(Options{Rand: newSeeded(uint64(i))}))
	}
	for range calls {
		l.now = l.now.Add(10 * time.Millisecond)
		l.call(0, false)
	}
	ratio := float64(l.deepest) / calls
	t.Logf("budgets alone, 15 levels: %.2f attempts per call at the last level", ratio)
	if ratio > 6 {
		t.Errorf("%.2f attempts per call, want at most 6", ratio)
	}
}

// Guards against a retry storm: half of all attempts fail under load, and retries
// raise the load further. The budget keeps the load close to the calls received.
func TestBudgetUnderHalfFailing(t *testing.T) {
	const calls = 20_000
	rng := newSeeded(7)
	half := func() bool { return rng.Uint64()%2 == 0 }
	run := func(l *levels) float64 {
		l.fails = half
		for range calls {
			l.now = l.now.Add(time.Millisecond)
			l.call(0, false)
		}
		return float64(l.deepest) / calls
	}
	baseline := run(&levels{depth: 1, now: start})
	withBudget := run(&levels{depth: 1, now: start, policies: []*Policy{New(Options{Rand: newSeeded(1)})}})
	t.Logf("attempts per call with half failing: always three %.2f, with budget %.2f", baseline, withBudget)
	if withBudget >= baseline*0.8 || withBudget > 1.15 {
		t.Errorf("attempts per call: with budget %.2f, always three %.2f", withBudget, baseline)
	}
}

// Guards against errors during a rolling replacement, when the refusals of draining
// endpoints exhaust the budget though they cost the backend servers no work.
func TestDrainingEndpointsDoNotExhaustTheBudget(t *testing.T) {
	p := New(Options{Rand: newSeeded(1)})
	for i := range 500 {
		p.RecordCall()
		if d := p.Decide(input(func(*Input) {})); !d.Retry {
			t.Fatalf("call %d: %+v", i, d)
		}
	}
}
