package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/route"
)

// The model has many nodes, each with a backend server, real pickers, queues and slot searches, in
// virtual time. As in a large mesh, each node sends about seven calls a second to all endpoints of a
// service together, so its load data on each endpoint is out of date. The figures are those of a
// booking service: 4 slots, calls of 290 ms, backend servers with relative speeds of 0.5, 1 and 1.5,
// and six data centres with a one-way latency of 1.4 ms between them.
const (
	modelSlots         = 4
	modelServiceTime   = 290 * time.Millisecond
	modelLatencyTarget = time.Second
	modelDeadline      = 4 * time.Second
	modelDataCentres   = 6
	modelLocalLatency  = 200 * time.Microsecond
	modelRemoteLatency = 1400 * time.Microsecond
	modelLoad          = 0.85 // share of the capacity
	modelOverload      = 1.05 // the same, above the capacity
	modelDuration      = 20 * time.Second
	modelWarmup        = 4 * time.Second
	modelQueueAttempts = 3 // endpoints at which a call may queue
)

var modelSpeeds = []float64{0.5, 1, 1, 1.5}

type modelNode struct {
	id, dataCentre string
	speed          float64
	picker         *route.Picker
	queue          *limit.Queue
	freeSlots      freeSlotShare
	limit          limit.AdvertisedRate // that its backend server advertises
	wakeAt         time.Time
}

type modelCall struct {
	from         *modelNode
	firstAttempt time.Time
	deadline     time.Time
	work         time.Duration
	search       slotSearch
	tried        []string

	queued bool // at an endpoint, or refused by one where it would have queued
}

type model struct {
	search     bool
	load       float64
	target     time.Duration // latency target
	endpoints  []route.Endpoint
	nodes      []*modelNode
	byID       map[string]*modelNode
	rng        *rand.Rand
	eventQueue agenda.EventQueue
	start      time.Time
	onResult   map[*limit.Entry]func(now time.Time, refused *call.Refusal)

	// tellLimits lets entry nodes know the rate limits of backend servers.
	tellLimits bool

	// completion models VMs that slow backend servers down; nil for none.
	completion *completionModel

	calls, queued, inTime, offers int
	refusals                      int
	refusedAfter                  time.Duration // sum over refusals
}

func newModel(n int, search bool) *model { return newModelWithSlowStart(n, search, 0) }

// newModelWithSlowStart sets the slow start of the pickers; zero means their default.
func newModelWithSlowStart(n int, search bool, slowStart time.Duration) *model {
	m := &model{
		search: search, load: modelLoad, target: modelLatencyTarget, byID: make(map[string]*modelNode), rng: rand.New(rand.NewPCG(uint64(n), 1)),
		start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), onResult: make(map[*limit.Entry]func(time.Time, *call.Refusal)),
	}
	for i := range n {
		node := &modelNode{
			id: fmt.Sprintf("vm%d", i), dataCentre: fmt.Sprintf("dc%d", i%modelDataCentres),
			speed: modelSpeeds[i/modelDataCentres%len(modelSpeeds)],
			queue: limit.NewQueue(limit.QueueOptions{Rand: rand.New(rand.NewPCG(uint64(i), 2))}),
		}
		node.queue.Configure(m.start, limit.Config{Slots: modelSlots, Classes: []limit.Class{{Name: "bookings", AnswerWithin: modelLatencyTarget}}})
		m.nodes = append(m.nodes, node)
		m.byID[node.id] = node
		m.endpoints = append(m.endpoints, route.Endpoint{ID: node.id, VM: node.id, DataCentre: node.dataCentre, Region: "r", Slots: modelSlots, Ready: true})
	}
	for i, node := range m.nodes {
		node.picker = route.New(route.Options{Self: node.id, DataCentre: node.dataCentre, Region: "r", Seed: uint64(i + 1), RegionWide: true, SlowStart: slowStart})
		node.picker.Update(m.start, m.endpoints)
	}
	return m
}

func (m *model) schedule(t time.Time, do func(time.Time)) { m.eventQueue.Schedule(t, do) }

// rollingRestart restarts half of the endpoints one after the other during the measured time. The
// restart itself takes no time.
func (m *model) rollingRestart() {
	half := len(m.endpoints) / 2
	for i := range half {
		delay := modelWarmup + (modelDuration-modelWarmup)*time.Duration(i)/time.Duration(half)
		m.schedule(m.start.Add(delay), func(now time.Time) {
			m.endpoints[2*i].ReadySince = now
			for _, node := range m.nodes {
				node.picker.Update(now, m.endpoints)
			}
		})
	}
}

func (m *model) run() {
	capacity := 0.0 // in slots of speed 1
	for _, node := range m.nodes {
		capacity += node.speed * modelSlots
	}
	interval := float64(modelServiceTime) * float64(len(m.nodes)) / (m.load * capacity)
	for _, node := range m.nodes {
		var arrive func(time.Time)
		arrive = func(now time.Time) {
			if now.Sub(m.start) > modelDuration {
				return
			}
			work := time.Duration((0.3 + 0.7*m.rng.ExpFloat64()) * float64(modelServiceTime))
			m.calls++
			m.offer(now, &modelCall{from: node, firstAttempt: now, deadline: now.Add(modelDeadline), work: work})
			m.schedule(now.Add(time.Duration(m.rng.ExpFloat64()*interval)), arrive)
		}
		m.schedule(m.start.Add(time.Duration(m.rng.ExpFloat64()*interval)), arrive)
	}
	m.schedule(m.start.Add(modelWarmup), func(time.Time) {
		m.calls, m.queued, m.inTime, m.offers, m.refusals, m.refusedAfter = 0, 0, 0, 0, 0, 0
	})
	m.eventQueue.Run()
}

// pick returns the endpoint for the next offer, and whether the call may queue there.
func (m *model) pick(now time.Time, c *modelCall) (choice route.Choice, mayQueue, ok bool) {
	n := c.from
	if m.search && len(c.tried) == 0 {
		for scope := c.search.initialScope(&n.freeSlots); scope != NoSearch; scope = c.search.widen(scope, &n.freeSlots) {
			if choice, err := n.picker.PickFreeSlot(now, scope == SearchDataCentre, c.search.rejected); err == nil {
				c.search.scope = scope
				return choice, false, true
			}
		}
	}
	choice, err := n.picker.PickFor(now, route.PickInfo{Tried: c.tried, RemoteCost: 0.4})
	return choice, true, err == nil // an error means that all endpoints are at their rate limits
}

// giveUp refuses a call.
func (m *model) giveUp(now time.Time, c *modelCall) {
	m.queued++
	m.refusals++
	m.refusedAfter += now.Sub(c.firstAttempt)
}

func (m *model) offer(now time.Time, c *modelCall) {
	choice, mayQueue, ok := m.pick(now, c)
	if !ok {
		m.giveUp(now, c)
		return
	}
	to := m.byID[choice.Endpoint().VM]
	latency := modelRemoteLatency
	switch {
	case to == c.from:
		latency = 0
	case to.dataCentre == c.from.dataCentre:
		latency = modelLocalLatency
	}
	m.offers++
	m.schedule(now.Add(latency), func(now time.Time) { m.arrive(now, c, choice, to, latency, mayQueue) })
}

func (m *model) arrive(now time.Time, c *modelCall, choice route.Choice, to *modelNode, latency time.Duration, mayQueue bool) {
	if m.completion != nil && m.completion.declines(m, now, c, choice, to, latency, mayQueue) {
		return
	}
	e := &limit.Entry{FirstAttempt: c.firstAttempt, NoWait: !mayQueue}
	m.onResult[e] = func(at time.Time, refused *call.Refusal) {
		delete(m.onResult, e)
		if refused == nil {
			m.started(at, c, choice, to, e, latency, at.Sub(now))
			return
		}
		m.schedule(at.Add(latency), func(now time.Time) { m.refused(now, c, choice, refused) })
	}
	if r := to.queue.Offer(now, e, "bookings", c.deadline); r != nil {
		m.onResult[e](now, r)
	} else if e.Started() {
		m.onResult[e](now, nil)
	} else {
		c.queued = true
		m.schedule(e.WaitsUntil(), func(now time.Time) {
			if r := to.queue.Expire(now, e); r != nil {
				m.onResult[e](now, r)
			}
			m.handleEvents(now, to)
		})
	}
	m.handleEvents(now, to)
}

// loadOf returns the load report of a node's backend server.
func loadOf(n *modelNode) route.Load {
	busy, slots := n.queue.Load()
	return route.Load{Busy: busy + n.queue.Waiting(), Slots: slots, Present: true}
}

// loadAt is loadOf as a node reports it that knows the rate limit.
func (m *model) loadAt(now time.Time, n *modelNode) route.Load {
	l := loadOf(n)
	if m.tellLimits && n.queue.AtRateLimit(now) {
		l.Busy = max(l.Busy, l.Slots)
	}
	return l
}

// tell adds what the endpoint advertises to a report.
func (m *model) tell(n *modelNode, r route.Report) route.Report {
	if limited := n.queue.AdvertisedRate(); m.tellLimits {
		r.RateLimited, r.RateLimit = limited.Present, limited.PerSecond
	}
	return r
}

func (m *model) handleEvents(now time.Time, n *modelNode) {
	for _, ev := range append([]limit.Event(nil), n.queue.Events()...) {
		if onResult := m.onResult[ev.Entry]; onResult != nil {
			onResult(now, ev.Refusal)
		}
	}
	m.scheduleWake(now, n)
}

// scheduleWake starts the calls that wait for the rate limit when it allows.
func (m *model) scheduleWake(now time.Time, n *modelNode) {
	after := n.queue.WakeAfter(now)
	if after == 0 || n.wakeAt.After(now) {
		return
	}
	n.wakeAt = now.Add(after)
	m.schedule(n.wakeAt, func(now time.Time) {
		n.queue.Wake(now)
		m.handleEvents(now, n)
	})
}

func (m *model) refused(now time.Time, c *modelCall, choice route.Choice, r *call.Refusal) {
	report := route.Report{Outcome: call.NotRun, Refused: r.Reason}
	if m.tellLimits {
		report.RetryAfter = r.RetryAfter
	}
	choice.Done(now, m.tell(m.byID[choice.Endpoint().VM], report))
	c.from.freeSlots.add(false)
	if r.Reason == call.ReasonBusy {
		c.search.reject(choice.Endpoint().ID)
		m.offer(now, c)
		return
	}
	c.queued = true
	c.tried = append(c.tried, choice.Endpoint().ID)
	if len(c.tried) < modelQueueAttempts && !c.from.picker.TriedAll(now, c.tried) {
		m.offer(now, c)
		return
	}
	m.giveUp(now, c)
}

func (m *model) started(now time.Time, c *modelCall, choice route.Choice, to *modelNode, e *limit.Entry, latency, waited time.Duration) {
	took := time.Duration(float64(c.work) / to.speed)
	sent := now
	if m.completion != nil {
		took = m.completion.start(now, to, took)
	}
	m.schedule(now.Add(took), func(now time.Time) {
		to.queue.Observe(now, sent, to.limit)
		to.queue.Done(now, e, limit.Result{Latency: took})
		m.handleEvents(now, to)
		l := m.loadAt(now, to)
		run := m.completion.answer(now, to, took)
		m.schedule(now.Add(latency), func(now time.Time) {
			c.from.freeSlots.add(waited < maxImmediateWait)
			choice.Done(now, m.tell(to, route.Report{Outcome: call.Ran, Latency: now.Sub(sent), Load: l, Run: run}))
			if c.queued {
				m.queued++
			}
			if now.Sub(c.firstAttempt) <= m.target {
				m.inTime++
			}
		})
	})
}

// Guards against calls that queue or are refused although slots are free elsewhere. With 85 of 100
// slots busy a global queue would make almost no call wait; nodes that pick by outdated load data made
// three of five calls queue.
func TestCallsFindFreeSlots(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			share := func(search bool) (queued, inTime, offers float64) {
				m := newModel(n, search)
				m.run()
				all := float64(m.calls)
				return float64(m.queued) / all, float64(m.inTime) / all, float64(m.offers) / all
			}
			queued, inTime, offers := share(false)
			searchQueued, searchInTime, searchOffers := share(true)
			t.Logf("queued or refused %.3f, in time %.3f, offers per call %.2f; with search %.3f, %.3f, %.2f",
				queued, inTime, offers, searchQueued, searchInTime, searchOffers)
			if searchQueued > queued/2.5 {
				t.Errorf("%.3f of calls queue or are refused, %.3f without search", searchQueued, queued)
			}
			if searchInTime < inTime+0.01 {
				t.Errorf("%.3f in time, %.3f without search", searchInTime, inTime)
			}
		})
	}
}

// Guards against unused slots during a rolling restart under overload: with a slow start of 20 s the
// slots of restarted backend servers stayed empty while calls at the others were late or refused.
func TestRollingRestartKeepsSlotsUsed(t *testing.T) {
	const longSlowStart = 20 * time.Second
	for _, n := range []int{30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			inTime := func(slowStart time.Duration) float64 {
				m := newModelWithSlowStart(n, true, slowStart)
				m.load = modelOverload
				m.rollingRestart()
				m.run()
				return float64(m.inTime) / float64(m.calls)
			}
			now, withLongSlowStart := inTime(0), inTime(longSlowStart)
			t.Logf("in time %.3f; with a slow start of %v %.3f", now, longSlowStart, withLongSlowStart)
			if now < withLongSlowStart+0.005 {
				t.Errorf("in time %.3f, with a slow start of %v %.3f", now, longSlowStart, withLongSlowStart)
			}
		})
	}
}
