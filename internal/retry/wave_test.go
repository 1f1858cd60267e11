package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// wave models a service whose backend servers reject calls at random, with slots free, for some
// seconds. Callers return once, when they are told to.
type wave struct {
	options                 Options
	nodes, endpoints, slots int
	rate                    float64 // calls a second
	work, target, deadline  time.Duration
	attempts                int // backend servers that a call may reach
	rejected                float64
	from, until, length     time.Duration
	priorities              []int // of the callers, in turn
	bound                   MeshBound

	rng      *rand.Rand
	policies []*Policy
	busy     []int
	events   waveEvents
	// calls and extra are the times of calls, and of arrivals beyond the first of each.
	calls, extra []time.Duration
	results      map[int]*waveResult // by priority, of callers who came during the wave
}

type waveResult struct{ inTime, late, refused, retries int }

type waveCall struct {
	first                   time.Duration
	node, priority, attempt int
	returned                bool
}

type waveEvent struct {
	at time.Duration
	do func(now time.Duration)
}

type waveEvents []waveEvent

func (e waveEvents) Len() int           { return len(e) }
func (e waveEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e waveEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *waveEvents) Push(x any)        { *e = append(*e, x.(waveEvent)) }
func (e *waveEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *wave) after(now, d time.Duration, do func(time.Duration)) {
	heap.Push(&w.events, waveEvent{now + d, do})
}

// waveHop is the time of an offer or its answer between nodes.
const waveHop = 2 * time.Millisecond

func (w *wave) run() {
	w.rng = rand.New(rand.NewPCG(1, 7))
	w.results = make(map[int]*waveResult)
	w.busy = make([]int, w.endpoints)
	for i := range w.nodes {
		o := w.options
		o.Rand = newSeeded(uint64(i))
		p := New(o)
		p.SetLimits(w.bound.Limits(w.nodes))
		w.policies = append(w.policies, p)
	}
	n := int(w.rate * w.length.Seconds())
	for i := range n {
		at := time.Duration(w.rng.Float64() * float64(w.length))
		priority := w.priorities[i%len(w.priorities)]
		w.after(at, 0, func(now time.Duration) {
			w.call(now, &waveCall{first: now, node: w.rng.IntN(w.nodes), priority: priority})
		})
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(waveEvent)
		e.do(e.at)
	}
}

func (w *wave) result(c *waveCall) *waveResult {
	if c.first < w.from || c.first >= w.until {
		return new(waveResult)
	}
	if w.results[c.priority] == nil {
		w.results[c.priority] = new(waveResult)
	}
	return w.results[c.priority]
}

func (w *wave) call(now time.Duration, c *waveCall) {
	c.attempt = 0
	w.calls = append(w.calls, now)
	w.policies[c.node].RecordCallAt(start.Add(now))
	w.send(now, c)
}

func (w *wave) send(now time.Duration, c *waveCall) {
	c.attempt++
	ep := w.rng.IntN(w.endpoints)
	w.after(now, waveHop, func(now time.Duration) {
		if c.attempt > 1 {
			w.extra = append(w.extra, now)
			w.result(c).retries++
		}
		full := w.busy[ep] >= w.slots
		if !full && (now < w.from || now >= w.until || w.rng.Float64() >= w.rejected) {
			w.busy[ep]++
			w.after(now, w.work, func(now time.Duration) {
				w.busy[ep]--
				switch took := now + waveHop - c.first; {
				case took <= w.target:
					w.result(c).inTime++
				case took <= w.deadline:
					w.result(c).late++
				default:
					w.result(c).refused++
				}
			})
			return
		}
		w.after(now, waveHop, func(now time.Duration) { w.refused(now, c, full) })
	})
}

func (w *wave) refused(now time.Duration, c *waveCall, full bool) {
	waited := now - c.first
	d := w.policies[c.node].Decide(Input{
		Now: start.Add(now), Outcome: call.NotRun, Idempotent: true, Attempt: c.attempt,
		Reached: c.attempt, MaxReached: w.attempts, Remaining: w.deadline - waited,
		Refusal: refusal(call.ReasonBackend), SlotsFree: !full, Priority: c.priority, BodyReplayable: true,
		Overdue: waited > w.target, TargetRemaining: w.target - waited, Waited: waited,
	})
	switch {
	case d.Retry:
		w.after(now, d.Backoff, func(now time.Duration) { w.send(now, c) })
	case c.returned || waited+d.RetryAfter >= w.deadline:
		w.result(c).refused++
	default:
		c.returned = true
		w.after(now, d.RetryAfter, func(now time.Duration) { w.call(now, c) })
	}
}

// Guards against calls lost to random rejections although slots are free: callers told to return
// after their latency target, and retries used up by the less urgent.
func TestRandomRejections(t *testing.T) {
	run := func(random, whole bool) *wave {
		w := &wave{
			options: Options{MaxAttempts: 6, ChargeReachedOnly: true, RandomRejections: random},
			nodes:   87, endpoints: 29, slots: 9, rate: 900,
			work: 130 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond,
			attempts: 3, rejected: 0.55, from: 12 * time.Second, until: 20500 * time.Millisecond, length: 30 * time.Second,
			priorities: []int{7, 5, 5, 3, 3},
			bound:      MeshBound{Ratio: 0.2, Slack: 214, Window: 10 * time.Second, InheritedKnown: whole},
		}
		w.run()
		t.Logf("rules for random rejections %v, whole ratio %v: excess over the bound of retries %.0f", random, whole, w.bound.excess(w.calls, w.extra))
		for _, p := range []int{7, 5, 3} {
			r := w.results[p]
			t.Logf("  priority %d: in time %d, late %d, refused %d, retries %d", p, r.inTime, r.late, r.refused, r.retries)
		}
		if w.bound.excess(w.calls, w.extra) > 0 {
			t.Errorf("retries exceed their bound by %.0f", w.bound.excess(w.calls, w.extra))
		}
		return w
	}
	share := func(w *wave, priority int) float64 {
		r := w.results[priority]
		return float64(r.inTime) / float64(r.inTime+r.late+r.refused)
	}
	before := run(false, false)
	for _, after := range []*wave{run(true, false), run(true, true)} {
		for _, p := range before.priorities {
			if share(after, p) < share(before, p)+0.1 {
				t.Errorf("priority %d: %.2f in time, %.2f without the rules", p, share(after, p), share(before, p))
			}
		}
		if share(after, 7) < share(after, 5)+0.02 || share(after, 5) < share(after, 3) {
			t.Errorf("in time by priority: %.2f %.2f %.2f", share(after, 7), share(after, 5), share(after, 3))
		}
	}
}
