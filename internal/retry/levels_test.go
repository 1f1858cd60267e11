package retry

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// levels models calls that go through depth levels. At each level an entry node
// decides on retries; its backend server calls the next level.
type levels struct {
	depth    int
	policies []*Policy // nil retries always, up to three attempts
	deepest  int       // attempts that reached the last level
	now      time.Time
	// passFinal and passRetried say if backend servers copy HeaderFinal up
	// and HeaderRetried down.
	passFinal, passRetried bool
	// breaks makes a backend server break off its answer when its own call
	// failed, which its entry node sees as unknown; otherwise it says with a
	// fresh nonce that it did not run the call.
	breaks bool
	// fails decides if an attempt at the last level is refused.
	fails func() bool
}

const alwaysThree = 3

// baselineDepth is less than fifteen: three attempts at each of fifteen levels
// would be 14 million.
const baselineDepth = 9

// call makes a call at a level and reports whether it was answered well, and
// whether it came back marked final.
func (l *levels) call(level int, below bool) (ok, final bool) {
	if l.policies != nil {
		l.policies[level].RecordCall()
	}
	for attempt := 1; ; attempt++ {
		retried := below && l.passRetried || attempt > 1
		ok, final := l.attempt(level, retried)
		if ok {
			return true, false
		}
		if !l.retries(level, attempt, below, final) {
			return false, l.passFinal
		}
	}
}

func (l *levels) attempt(level int, retried bool) (ok, final bool) {
	if level == l.depth-1 {
		l.deepest++
		return !l.fails(), false
	}
	return l.call(level+1, retried && l.passRetried)
}

func (l *levels) retries(level, attempt int, below, final bool) bool {
	if l.policies == nil {
		return attempt < alwaysThree
	}
	in := Input{
		Now: l.now, Outcome: call.NotRun, Idempotent: true, Attempt: attempt,
		Remaining: time.Minute, BodyReplayable: true, Final: final,
		ParentRetried: below && l.passRetried, Refusal: refusal(call.ReasonOverloaded),
	}
	if l.breaks && level < l.depth-1 {
		in.Outcome, in.Refusal = call.Unknown, nil
	}
	return l.policies[level].Decide(in).Retry
}

func fifteen() []*Policy {
	ps := make([]*Policy, 15)
	for i := range ps {
		ps[i] = New(Options{Rand: newSeeded(uint64(i)), Budget: BudgetOptions{Burst: 1000}})
		// A full budget, so that only the rules on levels bound the retries.
		ps[i].budget.balance.Store(1000 * priceWhole)
	}
	return ps
}

// One refusal fifteen calls deep makes millions of calls: each level sends its
// call three times, and each of these is sent three times by the next. The
// refusal must be retried at one level only.
func TestRetriesDontMultiply(t *testing.T) {
	always := func() bool { return true }
	count := func(l levels) int {
		l.now, l.fails = start, always
		l.call(0, false)
		return l.deepest
	}
	base := count(levels{depth: baselineDepth})
	t.Logf("always three, %d levels: %d attempts at the last (3^15 is 14,348,907)", baselineDepth, base)
	cases := []struct {
		name   string
		levels levels
		most   int
	}{
		{"backend servers copy the final mark", levels{passFinal: true}, 3},
		{"backend servers copy only the retried mark", levels{passRetried: true}, 1 + 14*2 + 2},
		{"the same, and answers break off", levels{passRetried: true, breaks: true}, 1 + 14*2 + 2},
	}
	for _, c := range cases {
		c.levels.depth, c.levels.policies = 15, fifteen()
		got := count(c.levels)
		t.Logf("ours, 15 levels, %s: %d attempts", c.name, got)
		if got > c.most {
			t.Errorf("%s: %d attempts, more than %d", c.name, got, c.most)
		}
	}
}

// Backend servers that copy no header leave only the budgets. They bound the
// attempts of a stream of calls, though not of one call.
func TestBudgetsAloneBoundLevels(t *testing.T) {
	const calls = 2000
	l := &levels{depth: 15, now: start, breaks: true, fails: func() bool { return true }}
	for i := range 15 {
		l.policies = append(l.policies, New(Options{Rand: newSeeded(uint64(i))}))
	}
	for range calls {
		l.now = l.now.Add(10 * time.Millisecond)
		l.call(0, false)
	}
	ratio := float64(l.deepest) / calls
	t.Logf("budgets alone, 15 levels: %.2f attempts a call at the last level", ratio)
	if ratio > 6 {
		t.Errorf("%.2f attempts a call", ratio)
	}
}

// Half of all attempts fail under load, and retries double the load that made
// them fail. The budget holds the load near what came in.
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
	base := run(&levels{depth: 1, now: start})
	ours := run(&levels{depth: 1, now: start, policies: []*Policy{New(Options{Rand: newSeeded(1)})}})
	t.Logf("attempts a call with half failing: always three %.2f, ours %.2f", base, ours)
	if ours >= base*0.8 || ours > 1.15 {
		t.Errorf("ours %.2f, always three %.2f", ours, base)
	}
}

// Callers get errors during a rolling replacement, because refusals of leaving
// endpoints used up the budget. Such refusals cost the backend servers nothing.
func TestLeaversDontUseUpTheBudget(t *testing.T) {
	p := New(Options{Rand: newSeeded(1)})
	for i := range 500 {
		p.RecordCall()
		if d := p.Decide(input(func(*Input) {})); !d.Retry {
			t.Fatalf("call %d: %+v", i, d)
		}
	}
}
