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

// The model has two services. Backend servers of the first run "browse" calls of low urgency, seven
// in ten of which make two nested calls "c1" in parallel. Six backend servers of the second, with 4
// slots each, run these nested calls and the urgent calls "seats" of callers who return when they
// are refused.
const (
	modelDuration = 12 * time.Second
	modelNodes    = 28
	modelServers  = 6
	modelSlots    = 4
	browseWork    = 170 * time.Millisecond
	nestedWork    = 17 * time.Millisecond
	seatWork      = 28 * time.Millisecond
	seatTarget    = 150 * time.Millisecond
	nestedShare   = 0.7
	lowPriority   = 2
	highPriority  = 8
)

var modelStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type model struct {
	byRoot   bool
	load     float64
	rng      *rand.Rand
	agenda   agenda.EventQueue
	end      time.Time
	trackers []*lineage.Tracker
	runs     []int // running browse calls by node
	queues   []*limit.Queue
	sent     map[*limit.Entry]*modelCall

	seats, seatsInTime, nested, nestedServed, browse, browseDone int
}

// modelCall is a call to the second service.
type modelCall struct {
	class    string
	oneShot  bool
	first    time.Time
	deadline time.Time
	work     time.Duration
	attempts int
	tried    []int
	caller   limit.Caller
	done     func(now time.Time, served bool)
}

func runModel(byRoot bool, load float64, seed uint64) *model {
	m := &model{
		byRoot: byRoot, load: load, rng: rand.New(rand.NewPCG(seed, 1)), end: modelStart.Add(modelDuration),
		sent: make(map[*limit.Entry]*modelCall), runs: make([]int, modelNodes),
	}
	for i := range modelNodes {
		m.trackers = append(m.trackers, lineage.NewTracker(uint64(i)))
	}
	for i := range modelServers {
		q := limit.NewQueue(limit.QueueOptions{Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		q.Configure(modelStart, limit.Config{Slots: modelSlots, ByPriority: byRoot, Classes: []limit.Class{
			{Name: "seats", Priority: highPriority, AnswerWithin: seatTarget},
			{Name: "c1", AnswerWithin: 80 * time.Millisecond},
		}})
		m.queues = append(m.queues, q)
	}
	// Half of the demand on the second service is of either class.
	slots := load * modelServers * modelSlots / 2
	m.arrive(slots/seatWork.Seconds(), m.seat)
	m.arrive(slots/nestedWork.Seconds()/(2*nestedShare), m.browseCall)
	m.agenda.Run()
	return m
}

// arrive schedules Poisson arrivals.
func (m *model) arrive(rate float64, do func(time.Time)) {
	var next func(time.Time)
	next = func(now time.Time) {
		if now.After(m.end) {
			return
		}
		do(now)
		m.agenda.Schedule(now.Add(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second))), next)
	}
	m.agenda.Schedule(modelStart, next)
}

func (m *model) work(mean time.Duration) time.Duration {
	return time.Duration((0.5 + 0.5*m.rng.ExpFloat64()) * float64(mean))
}

func (m *model) seat(now time.Time) {
	m.seats++
	m.send(now, &modelCall{
		class: "seats", first: now, deadline: now.Add(600 * time.Millisecond), work: m.work(seatWork), attempts: 3,
		done: func(at time.Time, served bool) {
			if served && at.Sub(now) <= seatTarget {
				m.seatsInTime++
			}
		},
	})
}

// browseCall runs a call at the first service, which always has room.
func (m *model) browseCall(now time.Time) {
	m.browse++
	node := m.rng.IntN(modelNodes)
	for range 2 {
		if other := m.rng.IntN(modelNodes); m.runs[other] < m.runs[node] {
			node = other
		}
	}
	m.runs[node]++
	tracker := m.trackers[node]
	token := tracker.Begin(now, lineage.Call{Class: "browse", Root: lineage.Root{Class: "browse", Workspace: "w", Priority: lowPriority}})
	end := func(now time.Time, ok bool) {
		tracker.End(now, token)
		m.runs[node]--
		if ok {
			m.browseDone++
		}
	}
	work := m.work(browseWork)
	if m.rng.Float64() >= nestedShare {
		m.agenda.Schedule(now.Add(work), func(now time.Time) { end(now, true) })
		return
	}
	before := time.Duration(m.rng.Float64() * float64(work))
	m.agenda.Schedule(now.Add(before), func(now time.Time) {
		left, ok := 2, true
		for range 2 {
			m.nestedCall(now, tracker, func(now time.Time, served bool) {
				ok = ok && served
				if left--; left == 0 {
					m.agenda.Schedule(now.Add(work-before), func(now time.Time) { end(now, ok) })
				}
			})
		}
	})
}

func (m *model) nestedCall(now time.Time, tracker *lineage.Tracker, done func(time.Time, bool)) {
	m.nested++
	c := &modelCall{class: "c1", oneShot: true, first: now, deadline: now.Add(200 * time.Millisecond), work: m.work(nestedWork), attempts: 3}
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
	best := -1
	for i, q := range m.queues {
		busy, _ := q.Load()
		if slices.Contains(c.tried, i) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		if other, _ := m.queues[best].Load(); busy+q.Waiting() < other+m.queues[best].Waiting() {
			best = i
		}
	}
	q := m.queues[best]
	c.tried = append(c.tried, best)
	e := &limit.Entry{FirstAttempt: c.first, OneShot: c.oneShot, Caller: c.caller}
	m.sent[e] = c
	refusal := q.Offer(now, e, c.class, c.deadline)
	switch {
	case refusal != nil:
		m.refused(now, e, refusal)
	case e.Started():
		m.started(now, q, e)
	case !e.WaitsUntil().IsZero():
		m.agenda.Schedule(e.WaitsUntil(), func(now time.Time) {
			if r := q.Expire(now, e); r != nil {
				m.refused(now, e, r)
			}
			m.events(now, q, nil)
		})
	}
	m.events(now, q, e)
}

func (m *model) events(now time.Time, q *limit.Queue, self *limit.Entry) {
	for _, ev := range slices.Clone(q.Events()) {
		switch {
		case ev.Entry == self:
		case ev.Refusal != nil:
			m.refused(now, ev.Entry, ev.Refusal)
		default:
			m.started(now, q, ev.Entry)
		}
	}
}

// refused sends a call to another server. A caller who gets no further attempt returns when told
// to, if there is time; nested calls are not sent again.
func (m *model) refused(now time.Time, e *limit.Entry, r *call.Refusal) {
	c := m.sent[e]
	delete(m.sent, e)
	at := now
	if len(c.tried) >= c.attempts {
		c.tried, at = nil, now.Add(max(r.RetryAfter, 10*time.Millisecond))
		if c.oneShot || !at.Before(c.deadline) {
			c.done(now, false)
			return
		}
	}
	m.agenda.Schedule(at, func(now time.Time) { m.send(now, c) })
}

func (m *model) started(now time.Time, q *limit.Queue, e *limit.Entry) {
	c := m.sent[e]
	delete(m.sent, e)
	m.agenda.Schedule(now.Add(c.work), func(now time.Time) {
		c.done(now, now.Before(c.deadline))
		q.Done(now, e, limit.Result{Latency: c.work})
		m.events(now, q, nil)
	})
}

func share(n, of int) float64 { return float64(n) / float64(of) }

// Guards urgent calls against nested calls of less urgent work at a scarce service, and these nested
// calls against starvation. The load is the demand of both on the service's slots.
func TestUrgentCallsBeforeNestedCallsOfLessUrgentWork(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.2, 1.5} {
		var before, after, nestedBefore, nestedAfter, runsBefore, runsAfter float64
		const seeds = 2
		for seed := range uint64(seeds) {
			b, a := runModel(false, load, seed), runModel(true, load, seed)
			before += share(b.seatsInTime, b.seats) / seeds
			after += share(a.seatsInTime, a.seats) / seeds
			nestedBefore += share(b.nestedServed, b.nested) / seeds
			nestedAfter += share(a.nestedServed, a.nested) / seeds
			runsBefore += share(b.browseDone, b.browse) / seeds
			runsAfter += share(a.browseDone, a.browse) / seeds
			if stats := a.trackers[0].Stats(); stats.Unknown*10 > stats.Exact+stats.Bounded {
				t.Errorf("load %.1f: too few roots are known: %+v", load, stats)
			}
		}
		t.Logf("load %.1f: urgent calls in time %.3f, by root %.3f; nested calls served %.3f, by root %.3f; runs done %.3f, by root %.3f",
			load, before, after, nestedBefore, nestedAfter, runsBefore, runsAfter)
		if after < before-0.001 || after < 0.85 {
			t.Errorf("load %.1f: %.3f of the urgent calls are in time, %.3f without roots", load, after, before)
		}
		if nestedAfter < 0.25 {
			t.Errorf("load %.1f: nested calls starve: %.3f are served", load, nestedAfter)
		}
	}
}
