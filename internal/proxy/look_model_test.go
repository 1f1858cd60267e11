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

// This model has many nodes, each with a backend server of few slots, real pickers, queues
// and searches, and virtual time. It answers the pattern of a large mesh: each node sends
// some seven calls a second over all endpoints of a service, so it knows next to nothing of
// how busy one of them is. The figures are those of a booking service: 4 slots, calls of
// 290 ms, backend servers that run at half, at once and at one and a half times the speed,
// six data centres, 1.4 ms one way between them.
const (
	modelSlots   = 4
	modelWork    = 290 * time.Millisecond
	modelAim     = time.Second
	modelTime    = 4 * time.Second
	modelCentres = 6
	modelNearWay = 200 * time.Microsecond
	modelFarWay  = 1400 * time.Microsecond
	modelLoad    = 0.85 // of what the backend servers can do
	modelOver    = 1.05 // the same, where some calls have to be refused
	modelLength  = 20 * time.Second
	modelWarm    = 4 * time.Second
	modelOffers  = 3 // endpoints at which a call may wait
)

var modelSpeeds = []float64{0.5, 1, 1, 1.5}

type modelNode struct {
	id, centre string
	speed      float64
	picker     *route.Picker
	queue      *limit.Queue
	free       freeSlotShare
}

type modelCall struct {
	from     *modelNode
	asked    time.Time
	deadline time.Time
	work     time.Duration
	search   slotSearch
	tried    []string
	waited   bool // at an endpoint, or was refused by one where it would have waited
}

type model struct {
	looks  bool
	load   float64
	eps    []route.Endpoint
	nodes  []*modelNode
	byID   map[string]*modelNode
	rng    *rand.Rand
	agenda agenda.EventQueue
	start  time.Time
	owners map[*limit.Entry]func(now time.Time, refused *call.Refusal)

	calls, waited, inTime, offers int
}

func newModel(n int, looks bool) *model { return newSlowModel(n, looks, 0) }

// newSlowModel is newModel with that slow start of the pickers; zero is their own.
func newSlowModel(n int, looks bool, slow time.Duration) *model {
	m := &model{
		looks: looks, load: modelLoad, byID: make(map[string]*modelNode), rng: rand.New(rand.NewPCG(uint64(n), 1)),
		start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), owners: make(map[*limit.Entry]func(time.Time, *call.Refusal)),
	}
	for i := range n {
		node := &modelNode{
			id: fmt.Sprintf("vm%d", i), centre: fmt.Sprintf("dc%d", i%modelCentres),
			speed: modelSpeeds[i/modelCentres%len(modelSpeeds)],
			queue: limit.NewQueue(limit.QueueOptions{Rand: rand.New(rand.NewPCG(uint64(i), 2))}),
		}
		node.queue.Configure(m.start, limit.Config{Slots: modelSlots, Classes: []limit.Class{{Name: "bookings", AnswerWithin: modelAim}}})
		m.nodes = append(m.nodes, node)
		m.byID[node.id] = node
		m.eps = append(m.eps, route.Endpoint{ID: node.id, VM: node.id, DataCentre: node.centre, Region: "r", Slots: modelSlots, Ready: true})
	}
	for i, node := range m.nodes {
		node.picker = route.New(route.Options{Self: node.id, DataCentre: node.centre, Region: "r", Seed: uint64(i + 1), RegionWide: true, SlowStart: slow})
		node.picker.Update(m.start, m.eps)
	}
	return m
}

func (m *model) at(t time.Time, do func(time.Time)) { m.agenda.Schedule(t, do) }

// restartInTurn makes half of the endpoints come back one after the other, as new, over the
// measured time. What a restart itself takes is left out.
func (m *model) restartInTurn() {
	half := len(m.eps) / 2
	for i := range half {
		after := modelWarm + (modelLength-modelWarm)*time.Duration(i)/time.Duration(half)
		m.at(m.start.Add(after), func(now time.Time) {
			m.eps[2*i].ReadySince = now
			for _, node := range m.nodes {
				node.picker.Update(now, m.eps)
			}
		})
	}
}

func (m *model) run() {
	capacity := 0.0 // in slots at speed one
	for _, node := range m.nodes {
		capacity += node.speed * modelSlots
	}
	every := float64(modelWork) * float64(len(m.nodes)) / (m.load * capacity)
	for _, node := range m.nodes {
		var arrive func(time.Time)
		arrive = func(now time.Time) {
			if now.Sub(m.start) > modelLength {
				return
			}
			work := time.Duration((0.3 + 0.7*m.rng.ExpFloat64()) * float64(modelWork))
			m.calls++
			m.offer(now, &modelCall{from: node, asked: now, deadline: now.Add(modelTime), work: work})
			m.at(now.Add(time.Duration(m.rng.ExpFloat64()*every)), arrive)
		}
		m.at(m.start.Add(time.Duration(m.rng.ExpFloat64()*every)), arrive)
	}
	m.at(m.start.Add(modelWarm), func(time.Time) { m.calls, m.waited, m.inTime, m.offers = 0, 0, 0, 0 })
	m.agenda.Run()
}

// pick returns the endpoint that the next offer goes to, and whether it is to wait there.
func (m *model) pick(now time.Time, c *modelCall) (route.Choice, bool) {
	n := c.from
	if m.looks && len(c.tried) == 0 {
		for look := c.search.initialScope(&n.free); look != NoSearch; look = c.search.widen(look, &n.free) {
			if choice, err := n.picker.PickFreeSlot(now, look == SearchDataCentre, c.search.rejected); err == nil {
				c.search.scope = look
				return choice, false
			}
		}
	}
	choice, err := n.picker.PickFor(now, route.PickInfo{Tried: c.tried, RemoteCost: 0.4})
	if err != nil {
		panic(err) // every endpoint of the model takes calls
	}
	return choice, true
}

func (m *model) offer(now time.Time, c *modelCall) {
	choice, wait := m.pick(now, c)
	to := m.byID[choice.Endpoint().VM]
	way := modelFarWay
	switch {
	case to == c.from:
		way = 0
	case to.centre == c.from.centre:
		way = modelNearWay
	}
	m.offers++
	m.at(now.Add(way), func(now time.Time) { m.arrive(now, c, choice, to, way, wait) })
}

func (m *model) arrive(now time.Time, c *modelCall, choice route.Choice, to *modelNode, way time.Duration, wait bool) {
	e := &limit.Entry{FirstAttempt: c.asked, NoWait: !wait}
	m.owners[e] = func(at time.Time, refused *call.Refusal) {
		delete(m.owners, e)
		if refused == nil {
			m.started(at, c, choice, to, e, way, at.Sub(now))
			return
		}
		m.at(at.Add(way), func(now time.Time) { m.refused(now, c, choice, refused) })
	}
	if r := to.queue.Offer(now, e, "bookings", c.deadline); r != nil {
		m.owners[e](now, r)
	} else if e.Started() {
		m.owners[e](now, nil)
	} else {
		c.waited = true
		m.at(e.WaitsUntil(), func(now time.Time) {
			if r := to.queue.Expire(now, e); r != nil {
				m.owners[e](now, r)
			}
			m.events(now, to)
		})
	}
	m.events(now, to)
}

// loadOf is what a node tells of its backend server.
func loadOf(n *modelNode) route.Load {
	busy, slots := n.queue.Load()
	return route.Load{Busy: busy + n.queue.Waiting(), Slots: slots, Present: true}
}

func (m *model) events(now time.Time, n *modelNode) {
	for _, ev := range append([]limit.Event(nil), n.queue.Events()...) {
		if own := m.owners[ev.Entry]; own != nil {
			own(now, ev.Refusal)
		}
	}
}

func (m *model) refused(now time.Time, c *modelCall, choice route.Choice, r *call.Refusal) {
	choice.Done(now, route.Report{Outcome: call.NotRun, Refused: r.Reason})
	c.from.free.add(false)
	if r.Reason == call.ReasonBusy {
		c.search.reject(choice.Endpoint().ID)
		m.offer(now, c)
		return
	}
	c.waited = true
	c.tried = append(c.tried, choice.Endpoint().ID)
	if len(c.tried) < modelOffers {
		m.offer(now, c)
		return
	}
	m.waited++
}

func (m *model) started(now time.Time, c *modelCall, choice route.Choice, to *modelNode, e *limit.Entry, way, waited time.Duration) {
	took := time.Duration(float64(c.work) / to.speed)
	sent := now
	m.at(now.Add(took), func(now time.Time) {
		to.queue.Done(now, e, limit.Result{Latency: took})
		m.events(now, to)
		l := loadOf(to)
		m.at(now.Add(way), func(now time.Time) {
			c.from.free.add(waited < maxImmediateWait)
			choice.Done(now, route.Report{Outcome: call.Ran, Latency: now.Sub(sent), Load: l})
			if c.waited {
				m.waited++
			}
			if now.Sub(c.asked) <= modelAim {
				m.inTime++
			}
		})
	})
}

// At 85 in 100 slots busy there is nearly always a free slot somewhere, and one queue that
// knows all would let hardly a call wait. Nodes that pick by what little they know had three
// calls in five wait for a slot, or be refused, beside free ones.
func TestCallsFindFreeSlots(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			share := func(looks bool) (waited, inTime, offers float64) {
				m := newModel(n, looks)
				m.run()
				all := float64(m.calls)
				return float64(m.waited) / all, float64(m.inTime) / all, float64(m.offers) / all
			}
			waited, inTime, offers := share(false)
			lookWaited, lookInTime, lookOffers := share(true)
			t.Logf("waited or refused %.3f, in time %.3f, offers a call %.2f; with looks %.3f, %.3f, %.2f",
				waited, inTime, offers, lookWaited, lookInTime, lookOffers)
			if lookWaited > waited/2.5 {
				t.Errorf("%.3f of calls wait or are refused, %.3f without looks", lookWaited, waited)
			}
			if lookInTime < inTime+0.01 {
				t.Errorf("%.3f in time, %.3f without looks", lookInTime, inTime)
			}
		})
	}
}

// The VMs of a mesh are restarted in turn under more load than it can carry, and each backend
// server that comes back counts as cold. Given its part of the calls over 20 s, the restarted
// ones' slots stayed empty for long, and calls at the others were late or refused.
func TestRestartInTurnLeavesFewSlotsEmpty(t *testing.T) {
	const earlier = 20 * time.Second
	for _, n := range []int{30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			inTime := func(slow time.Duration) float64 {
				m := newSlowModel(n, true, slow)
				m.load = modelOver
				m.restartInTurn()
				m.run()
				return float64(m.inTime) / float64(m.calls)
			}
			now, before := inTime(0), inTime(earlier)
			t.Logf("in time %.3f; with a slow start of %v %.3f", now, earlier, before)
			if now < before+0.005 {
				t.Errorf("in time %.3f, with a slow start of %v %.3f", now, earlier, before)
			}
		})
	}
}
