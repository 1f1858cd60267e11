package limit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/call"
)

// simClass is a class of work as the simulated callers send it.
type simClass struct {
	Class
	work     time.Duration // mean service time
	part     float64       // of the backend server's capacity at load one
	deadline time.Duration
}

// simSender is a workspace and its part of all calls.
type simSender struct {
	Caller
	part float64
}

// simulation is one backend server under a Queue, in simulated time.
type simulation struct {
	classes []simClass
	slots   int // announced
	real    int // that the backend server truly has
	load    float64
	// loadLater takes the place of load after a third of the time.
	loadLater float64
	flood     map[string]float64 // load of single classes, in place of load
	lasts     time.Duration
	seed      uint64
	attempts  int // that a refused caller makes in all; one means no retry
	// retryEvery is the pause of callers that don't heed RetryAfter.
	retryEvery time.Duration
	// forget leaves the queue without the word of when a returning caller first asked.
	forget bool
	// once are the classes whose callers don't come back, as the queue is told.
	once       map[string]bool
	options    QueueOptions
	maxWaiting int
	// senders are the workspaces that calls come from; none means calls without one.
	senders []simSender
	// unknownSenders leaves the queue without the word of a call's workspace.
	unknownSenders bool
	// lag multiplies all service times from lagFrom on.
	lag     float64
	lagFrom time.Duration
}

type classResult struct {
	name                                         string
	offered, answered, onTarget, gaveUp, ranLate int
	// inTime counts from the caller's first attempt, onTarget from each.
	inTime    int
	latencies []time.Duration
}

func (r *classResult) quantile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(p*float64(len(r.latencies)-1))]
}

type simResult struct {
	classes map[string]*classResult
	senders map[string]*classResult // by workspace
	// useful is the slot time spent on calls answered by their deadline, over
	// all the slot time there was.
	useful float64
	limit  int // at the end
	queue  *Queue
}

// simCall is one caller's call through its attempts.
type simCall struct {
	class    *simClass
	asked    time.Time // the first attempt
	sent     time.Time // this attempt
	deadline time.Time
	attempts int
	work     time.Duration
	caller   Caller
}

type simRun struct {
	simulation
	rand   *rand.Rand
	agenda agenda.EventQueue
	queue  *Queue
	owners map[*Entry]*simCall
	out    simResult
	start  time.Time
	end    time.Time
	useful time.Duration
}

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (s simulation) run() simResult {
	r := &simRun{
		simulation: s,
		rand:       rand.New(rand.NewPCG(s.seed, 1)),
		owners:     make(map[*Entry]*simCall),
		out:        simResult{classes: make(map[string]*classResult), senders: make(map[string]*classResult)},
		start:      simStart,
		end:        simStart.Add(s.lasts),
	}
	o := s.options
	o.Rand = rand.New(rand.NewPCG(s.seed, 2))
	r.queue = NewQueue(o)
	cfg := Config{Slots: s.slots, MaxWaiting: s.maxWaiting}
	for i := range s.classes {
		c := &r.classes[i]
		cfg.Classes = append(cfg.Classes, c.Class)
		r.out.classes[c.Name] = &classResult{name: c.Name}
		r.arrivals(c)
	}
	r.queue.Configure(simStart, cfg)
	r.agenda.Run()
	r.out.useful = float64(r.useful) / float64(time.Duration(s.real)*s.lasts)
	r.out.limit = r.queue.Limit()
	r.out.queue = r.queue
	return r.out
}

func (r *simRun) at(t time.Time, do func(time.Time)) { r.agenda.Schedule(t, do) }

// arrivals schedules Poisson arrivals of a class, each scheduling the next.
func (r *simRun) arrivals(c *simClass) {
	rate := func(now time.Time) float64 {
		load := r.load
		if f, ok := r.flood[c.Name]; ok {
			load = f
		}
		if r.loadLater > 0 && now.Sub(r.start) > r.lasts/3 {
			load = r.loadLater
		}
		return load * c.part * float64(r.real) / c.work.Seconds()
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(len(c.Name))*1000+uint64(c.work)))
	var next func(time.Time)
	next = func(now time.Time) {
		if !now.Before(r.end) {
			return
		}
		spread := 0.5 + 0.5*rng.ExpFloat64()
		sc := &simCall{class: c, asked: now, sent: now, deadline: now.Add(c.deadline), work: time.Duration(spread * float64(c.work))}
		sc.caller = r.sender(rng)
		r.each(sc, func(cr *classResult) { cr.offered++ })
		r.offer(now, sc)
		r.at(now.Add(time.Duration(rng.ExpFloat64()/rate(now)*float64(time.Second))), next)
	}
	r.at(r.start.Add(time.Duration(rng.ExpFloat64()/rate(r.start)*float64(time.Second))), next)
}

// sender draws the caller of a call.
func (r *simRun) sender(rng *rand.Rand) Caller {
	if len(r.senders) == 0 {
		return Caller{}
	}
	left := rng.Float64()
	for _, s := range r.senders {
		if left -= s.part; left < 0 {
			return s.Caller
		}
	}
	return r.senders[len(r.senders)-1].Caller
}

// each gives the results that a call counts for.
func (r *simRun) each(sc *simCall, count func(*classResult)) {
	count(r.out.classes[sc.class.Name])
	if name := sc.caller.Workspace; name != "" {
		if r.out.senders[name] == nil {
			r.out.senders[name] = &classResult{name: name}
		}
		count(r.out.senders[name])
	}
}

func (r *simRun) offer(now time.Time, sc *simCall) {
	sc.attempts++
	sc.sent = now
	e := &Entry{OneShot: r.once[sc.class.Name]}
	if !r.unknownSenders {
		e.Caller = sc.caller
	}
	if !r.forget {
		e.FirstAttempt = sc.asked
	}
	r.owners[e] = sc
	refused := r.queue.Offer(now, e, sc.class.Name, sc.deadline)
	if refused != nil {
		r.refused(now, e, refused)
	} else if e.Started() {
		r.started(now, e)
	} else if !e.until.IsZero() {
		r.at(e.until, func(now time.Time) { r.expire(now, e) })
	}
	r.events(now, e)
}

// expire ends the wait of a call that still waits, as its Gate does.
func (r *simRun) expire(now time.Time, e *Entry) {
	if why := r.queue.Expire(now, e); why != nil {
		r.refused(now, e, why)
	}
	r.events(now, e)
}

// events handles what happened to waiting calls; self was told by Offer.
func (r *simRun) events(now time.Time, self *Entry) {
	for _, ev := range slices.Clone(r.queue.Events()) {
		switch {
		case ev.Entry == self:
		case ev.Refusal != nil:
			r.refused(now, ev.Entry, ev.Refusal)
		default:
			r.started(now, ev.Entry)
		}
	}
}

func (r *simRun) refused(now time.Time, e *Entry, why *call.Refusal) {
	sc := r.owners[e]
	delete(r.owners, e)
	pause := why.RetryAfter
	if r.retryEvery > 0 {
		pause = r.retryEvery
	}
	again := now.Add(pause)
	if sc.attempts >= r.attempts || !again.Before(sc.deadline) {
		r.each(sc, func(cr *classResult) { cr.gaveUp++ })
		return
	}
	r.at(again, func(now time.Time) { r.offer(now, sc) })
}

func (r *simRun) started(now time.Time, e *Entry) {
	sc := r.owners[e]
	took := sc.work
	if busy, _ := r.queue.Load(); busy > r.real {
		took = took * time.Duration(busy) / time.Duration(r.real)
	}
	if r.lag > 0 && now.Sub(r.start) >= r.lagFrom {
		took = time.Duration(r.lag * float64(took))
	}
	r.at(now.Add(took), func(now time.Time) { r.done(now, e, took) })
}

func (cr *classResult) ended(now time.Time, sc *simCall) {
	total := now.Sub(sc.sent)
	if now.After(sc.deadline) {
		cr.ranLate++
		return
	}
	cr.answered++
	cr.latencies = append(cr.latencies, total)
	if total <= sc.class.AnswerWithin {
		cr.onTarget++
	}
	if now.Sub(sc.asked) <= sc.class.AnswerWithin {
		cr.inTime++
	}
}

func (r *simRun) done(now time.Time, e *Entry, took time.Duration) {
	sc := r.owners[e]
	delete(r.owners, e)
	r.each(sc, func(cr *classResult) { cr.ended(now, sc) })
	if !now.After(sc.deadline) && !now.After(r.end) {
		r.useful += sc.work
	}
	r.queue.Done(now, e, Result{Latency: took})
	r.events(now, nil)
}

// usualMix is a service whose slots cheap lookups, bookings and archive pulls
// share.
func usualMix() []simClass {
	return []simClass{
		{Class{Name: "lookups", AnswerWithin: 50 * time.Millisecond}, 5 * time.Millisecond, 0.3, time.Second},
		{Class{Name: "bookings", AnswerWithin: 400 * time.Millisecond, Priority: 7}, 50 * time.Millisecond, 0.4, 3 * time.Second},
		{Class{Name: "archive", AnswerWithin: 5 * time.Second, Priority: 2}, 500 * time.Millisecond, 0.3, 15 * time.Second},
	}
}

func withShare(classes []simClass, name string, share float64) []simClass {
	for i := range classes {
		if classes[i].Name == name {
			classes[i].Share = share
		}
	}
	return classes
}
