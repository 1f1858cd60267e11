package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// surgeModel is a workspace at six times its usual rate for some seconds, over ten nodes with one
// collector, in virtual time. Refused callers return once, when they are told to.
type surgeModel struct {
	// recognise says whether returning callers are recognised as overdue, and told when to return.
	recognise bool

	inTime, served, requested, lost int
}

const modelLatencyTarget = 300 * time.Millisecond

// modelCall is one attempt of a caller.
type modelCall struct {
	node      *simNode
	first, at time.Duration // of the caller's first attempt, and of this one
}

func (c modelCall) overdue() bool { return c.at-c.first > modelLatencyTarget }

func (m *surgeModel) run(seed uint64) {
	const usual, factor = 60.0, 6
	const from, to, end = 8 * time.Second, 14 * time.Second, 22 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	s := newSim(seed, 10, 1, 0, 1)
	s.limits["w"] = Policy{Window: window, Overage: overage, Slack: slackCalls}.Limit(1.6*usual, 1.6*usual)
	returns := make(map[int][]modelCall) // by step
	var waiting []modelCall
	for step := 0; s.elapsed() < end; step++ {
		rate := usual
		if s.elapsed() >= from && s.elapsed() < to {
			rate *= factor
		}
		attempts := returns[step]
		fresh := s.poisson(rate * simStep.Seconds())
		for range fresh {
			attempts = append(attempts, modelCall{first: s.elapsed()})
		}
		rng.Shuffle(len(attempts), func(i, j int) { attempts[i], attempts[j] = attempts[j], attempts[i] })
		m.requested += fresh
		refuse := func(c modelCall) {
			if c.first < c.at {
				m.lost++
				return
			}
			retryAfter := time.Second
			if told := c.node.limiter.RetryAfter("w"); m.recognise && told > 0 {
				retryAfter = told
			}
			back := time.Duration((0.5 + rng.Float64()) * float64(retryAfter))
			at := step + 1 + int(back/simStep)
			returns[at] = append(returns[at], modelCall{first: c.first})
		}
		for _, c := range attempts {
			c.at, c.node = s.elapsed(), s.nodes[rng.IntN(len(s.nodes))]
			switch c.node.limiter.Ask(s.now, "w", m.recognise && c.overdue()) {
			case Admitted:
				m.serve(c)
			case Waiting:
				waiting = append(waiting, c)
			case Refused:
				refuse(c)
			}
		}
		for _, n := range s.nodes {
			n.lastCall = s.now
			s.report(n)
		}
		waiting = slices.DeleteFunc(waiting, func(c modelCall) bool {
			if c.node.limiter.AskAgain(s.now, "w") == Admitted {
				m.serve(c)
				return true
			}
			if s.elapsed()-c.at < modelLatencyTarget/4 {
				return false
			}
			c.node.limiter.Leave("w")
			refuse(c)
			return true
		})
		s.now = s.now.Add(simStep)
	}
}

func (m *surgeModel) serve(c modelCall) {
	m.served++
	if !c.overdue() {
		m.inTime++
	}
}

// Guards against overdue calls of returning callers that take the place of calls that could be in
// time, while a workspace sends six times its usual rate.
func TestCallsInTimeGoBeforeOverdueOnes(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			before, after := &surgeModel{}, &surgeModel{recognise: true}
			before.run(seed)
			after.run(seed)
			t.Logf("before: %+v, after: %+v", *before, *after)
			if float64(after.inTime) < 1.15*float64(before.inTime) {
				t.Errorf("%d calls served in time, %d without the order", after.inTime, before.inTime)
			}
			if float64(after.served) < 0.97*float64(before.served) {
				t.Errorf("%d calls served, %d without the order", after.served, before.served)
			}
			if after.lost > before.lost {
				t.Errorf("%d callers returned in vain, %d without a true Retry-After", after.lost, before.lost)
			}
		})
	}
}
