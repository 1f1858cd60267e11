package lineage_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/lineage"
)

// The model has two services. Backend servers of the first, on 28 nodes, have room for all "browse"
// calls of low urgency, seven in ten of which make two nested calls "c1" in parallel. Six backend
// servers of the second, with 4 slots each, run these and the urgent calls "seats" of callers who
// return when they are refused. Half of the demand on the second service is of either class.
const (
	modelDuration = 12 * time.Second
	seatTarget    = 150 * time.Millisecond
	nestedShare   = 0.7
)

var modelStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type model struct {
	byRoot   bool
	rng      *rand.Rand
	agenda   agenda.EventQueue
	trackers [28]*lineage.Tracker
	queues   [6]*limit.Queue
	sent     map[*limit.Entry]*modelCall

	seats, seatsInTime, nested, nestedServed, browse, browseDone float64
}

// modelCall is a call to the second service.
type modelCall struct {
	class           string
	oneShot         bool
	first, deadline time.Time
	work            time.Duration
	tried           []int
	caller          limit.Caller
	done            func(now time.Time, served bool)
}

func runModel(byRoot bool, load float64, seed uint64) *model {
	m := &model{byRoot: byRoot, rng: rand.New(rand.NewPCG(seed, 1)), sent: make(map[*limit.Entry]*modelCall)}
	for i := range m.trackers {
		m.trackers[i] = lineage.NewTracker(uint64(i))
	}
	for i := range m.queues {
		m.queues[i] = limit.NewQueue(limit.QueueOptions{Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		m.queues[i].Configure(modelStart, limit.Config{Slots: 4, ByPriority: byRoot, Classes: []limit.Class{
			{Name: "seats", Priority: 8, AnswerWithin: seatTarget}, {Name: "c1", AnswerWithin: 80 * time.Millisecond},
		}})
	}
	m.arrive(load*12/0.028, m.seat)
	m.arrive(load*12/0.017/(2*nestedShare), m.browseCall)
	m.agenda.Run()
	return m
}

// arrive schedules Poisson arrivals.
func (m *model) arrive(rate float64, do func(time.Time)) {
	var next func(time.Time)
	next = func(now time.Time) {
		if now.Sub(modelStart) < modelDuration {
			do(now)
			m.agenda.Schedule(now.Add(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second))), next)
		}
	}
	m.agenda.Schedule(modelStart, next)
}

func (m *model) work(meanMS float64) time.Duration {
	return time.Duration((0.5 + 0.5*m.rng.ExpFloat64()) * meanMS * float64(time.Millisecond))
}

func (m *model) seat(now time.Time) {
	m.seats++
	m.send(now, &modelCall{class: "seats", first: now, deadline: now.Add(600 * time.Millisecond), work: m.work(28), done: func(at time.Time, served bool) {
		if served && at.Sub(now) <= seatTarget {
			m.seatsInTime++
		}
	}})
}

func (m *model) browseCall(now time.Time) {
	m.browse++
	tracker := m.trackers[m.rng.IntN(len(m.trackers))]
	token := tracker.Begin(now, lineage.Call{Class: "browse", Root: lineage.Root{Class: "browse", Workspace: "w", Priority: 2}})
	work := m.work(170)
	before := time.Duration(m.rng.Float64() * float64(work))
	left, ok := 2, true
	ended := func(now time.Time, served bool) {
		ok = ok && served
		if left--; left > 0 {
			return
		}
		m.agenda.Schedule(now.Add(work-before), func(now time.Time) {
			tracker.End(now, token)
			if ok {
				m.browseDone++
			}
		})
	}
	makesCalls := m.rng.Float64() < nestedShare
	m.agenda.Schedule(now.Add(before), func(now time.Time) {
		for range 2 {
			if makesCalls {
				m.nestedCall(now, tracker, ended)
			} else {
				ended(now, true)
			}
		}
	})
}

func (m *model) nestedCall(now time.Time, tracker *lineage.Tracker, done func(time.Time, bool)) {
	m.nested++
	c := &modelCall{class: "c1", oneShot: true, first: now, deadline: now.Add(200 * time.Millisecond), work: m.work(17)}
	if root, ok := tracker.Root(now, "c1", true); ok && m.byRoot {
		c.caller = limit.Caller{Workspace: root.Workspace, Priority: root.Priority}
	}
	c.done = func(now time.Time, served bool) {
		if served {
			m.nestedServed++
		}
		done(now, served)
	}
	m.send(now, c)
}

// send offers a call to the server with the fewest calls that has not refused it.
func (m *model) send(now time.Time, c *modelCall) {
	best, fewest := 0, 1<<30
	for i, q := range m.queues {
		if busy, _ := q.Load(); busy+q.Waiting() < fewest && !slices.Contains(c.tried, i) {
			best, fewest = i, busy+q.Waiting()
		}
	}
	q := m.queues[best]
	c.tried = append(c.tried, best)
	e := &limit.Entry{FirstAttempt: c.first, OneShot: c.oneShot, Caller: c.caller}
	m.sent[e] = c
	if refusal := q.Offer(now, e, c.class, c.deadline); refusal != nil || e.Started() {
		m.decided(now, q, e, refusal)
	} else {
		m.agenda.Schedule(e.WaitsUntil(), func(now time.Time) {
			if r := q.Expire(now, e); r != nil {
				m.decided(now, q, e, r)
			}
			m.events(now, q)
		})
	}
	m.events(now, q)
}

func (m *model) events(now time.Time, q *limit.Queue) {
	for _, ev := range slices.Clone(q.Events()) {
		if m.sent[ev.Entry] != nil {
			m.decided(now, q, ev.Entry, ev.Refusal)
		}
	}
}

// decided runs a call that was started, or sends a refused one to up to two other servers. After
// that its caller returns when told to, if there is time; nested calls are not sent again.
func (m *model) decided(now time.Time, q *limit.Queue, e *limit.Entry, r *call.Refusal) {
	c := m.sent[e]
	delete(m.sent, e)
	if r == nil {
		m.agenda.Schedule(now.Add(c.work), func(now time.Time) {
			c.done(now, now.Before(c.deadline))
			q.Done(now, e, limit.Result{Latency: c.work})
			m.events(now, q)
		})
		return
	}
	if len(c.tried) == 3 {
		c.tried, now = nil, now.Add(r.RetryAfter)
		if c.oneShot || !now.Before(c.deadline) {
			c.done(now, false)
			return
		}
	}
	m.agenda.Schedule(now, func(now time.Time) { m.send(now, c) })
}

// Guards urgent calls against nested calls of less urgent work at a scarce service, and these nested
// calls against starvation. The load is the demand of both on the service's slots.
func TestUrgentCallsBeforeNestedCallsOfLessUrgentWork(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.2, 1.5} {
		for seed := range uint64(2) {
			b, a := runModel(false, load, seed), runModel(true, load, seed)
			before, after, nested := b.seatsInTime/b.seats, a.seatsInTime/a.seats, a.nestedServed/a.nested
			t.Logf("load %.1f: urgent calls in time %.3f, by root %.3f; nested calls served %.3f, by root %.3f; runs done %.3f, by root %.3f",
				load, before, after, b.nestedServed/b.nested, nested, b.browseDone/b.browse, a.browseDone/a.browse)
			if after < before-0.001 || after < 0.85 || after < nested-0.05 || nested < 0.25 {
				t.Errorf("load %.1f seed %d: the urgent calls are late or the nested calls starve", load, seed)
			}
			if s := a.trackers[0].Stats(); s.Unknown*10 > s.Exact+s.Bounded {
				t.Errorf("load %.1f seed %d: too few roots are known: %+v", load, seed, s)
			}
		}
	}
}
