package limit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/call"
)

// simClass is a class of work with the behaviour of its simulated callers.
type simClass struct {
	Class
	meanWork      time.Duration // mean service time
	capacityShare float64       // share of the backend server's capacity at load one
	deadline      time.Duration
}

// simSender is a workspace and its share of all calls.
type simSender struct {
	Caller
	share float64
}

// simulation is one backend server behind a Queue, in simulated time.
type simulation struct {
	classes        []simClass
	announcedSlots int
	realSlots      int // that the backend server has
	load           float64
	// laterLoad replaces load after a third of the time.
	laterLoad  float64
	classLoads map[string]float64 // load of single classes, instead of load
	duration   time.Duration
	seed       uint64
	attempts   int // per call, including the first; one means no retry
	// retryPause is the pause of callers that ignore RetryAfter.
	retryPause time.Duration
	// hideFirstAttempt does not report the time of the first attempt to the queue.
	hideFirstAttempt bool
	// oneShot holds the classes whose calls are reported to the queue as one-shot.
	oneShot    map[string]bool
	options    QueueOptions
	maxWaiting int
	// senders are the workspaces that calls come from; none means calls without a workspace.
	senders []simSender
	// hideWorkspaces does not report the workspaces of calls to the queue.
	hideWorkspaces bool
	// slowdown multiplies all service times from slowdownFrom on.
	slowdown     float64
	slowdownFrom time.Duration
}

type classResult struct {
	name                                                string
	offered, answered, onTarget, gaveUp, missedDeadline int
	// inTime counts answers within the latency target since the first attempt,
	// onTarget those within it since their own attempt.
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
	// useful is the fraction of the available slot time spent on calls answered
	// by their deadline.
	useful float64
	limit  int // at the end
	queue  *Queue
}

// simCall is one call over all its attempts.
type simCall struct {
	class        *simClass
	firstAttempt time.Time
	sentAt       time.Time // time of this attempt
	deadline     time.Time
	attempts     int
	work         time.Duration
	caller       Caller
}

type simRun struct {
	simulation
	rand       *rand.Rand
	agenda     agenda.EventQueue
	queue      *Queue
	owners     map[*Entry]*simCall
	result     simResult
	start      time.Time
	end        time.Time
	usefulTime time.Duration
}

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (s simulation) run() simResult {
	r := &simRun{
		simulation: s,
		rand:       rand.New(rand.NewPCG(s.seed, 1)),
		owners:     make(map[*Entry]*simCall),
		result:     simResult{classes: make(map[string]*classResult), senders: make(map[string]*classResult)},
		start:      simStart,
		end:        simStart.Add(s.duration),
	}
	o := s.options
	o.Rand = rand.New(rand.NewPCG(s.seed, 2))
	r.queue = NewQueue(o)
	cfg := Config{Slots: s.announcedSlots, MaxWaiting: s.maxWaiting}
	for i := range s.classes {
		c := &r.classes[i]
		cfg.Classes = append(cfg.Classes, c.Class)
		r.result.classes[c.Name] = &classResult{name: c.Name}
		r.arrivals(c)
	}
	r.queue.Configure(simStart, cfg)
	r.agenda.Run()
	r.result.useful = float64(r.usefulTime) / float64(time.Duration(s.realSlots)*s.duration)
	r.result.limit = r.queue.Limit()
	r.result.queue = r.queue
	return r.result
}

func (r *simRun) schedule(t time.Time, do func(time.Time)) { r.agenda.Schedule(t, do) }

// arrivals schedules Poisson arrivals of a class; each arrival schedules the next.
func (r *simRun) arrivals(c *simClass) {
	rate := func(now time.Time) float64 {
		load := r.load
		if f, ok := r.classLoads[c.Name]; ok {
			load = f
		}
		if r.laterLoad > 0 && now.Sub(r.start) > r.duration/3 {
			load = r.laterLoad
		}
		return load * c.capacityShare * float64(r.realSlots) / c.meanWork.Seconds()
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(len(c.Name))*1000+uint64(c.meanWork)))
	var next func(time.Time)
	next = func(now time.Time) {
		if !now.Before(r.end) {
			return
		}
		spread := 0.5 + 0.5*rng.ExpFloat64()
		sc := &simCall{class: c, firstAttempt: now, sentAt: now, deadline: now.Add(c.deadline), work: time.Duration(spread * float64(c.meanWork))}
		sc.caller = r.sender(rng)
		r.countFor(sc, func(cr *classResult) { cr.offered++ })
		r.offer(now, sc)
		r.schedule(now.Add(time.Duration(rng.ExpFloat64()/rate(now)*float64(time.Second))), next)
	}
	r.schedule(r.start.Add(time.Duration(rng.ExpFloat64()/rate(r.start)*float64(time.Second))), next)
}

// sender draws the caller of a call by the senders' shares.
func (r *simRun) sender(rng *rand.Rand) Caller {
	if len(r.senders) == 0 {
		return Caller{}
	}
	left := rng.Float64()
	for _, s := range r.senders {
		if left -= s.share; left < 0 {
			return s.Caller
		}
	}
	return r.senders[len(r.senders)-1].Caller
}

// countFor applies count to the results of the call's class and workspace.
func (r *simRun) countFor(sc *simCall, count func(*classResult)) {
	count(r.result.classes[sc.class.Name])
	if name := sc.caller.Workspace; name != "" {
		if r.result.senders[name] == nil {
			r.result.senders[name] = &classResult{name: name}
		}
		count(r.result.senders[name])
	}
}

func (r *simRun) offer(now time.Time, sc *simCall) {
	sc.attempts++
	sc.sentAt = now
	e := &Entry{OneShot: r.oneShot[sc.class.Name]}
	if !r.hideWorkspaces {
		e.Caller = sc.caller
	}
	if !r.hideFirstAttempt {
		e.FirstAttempt = sc.firstAttempt
	}
	r.owners[e] = sc
	refused := r.queue.Offer(now, e, sc.class.Name, sc.deadline)
	if refused != nil {
		r.refused(now, e, refused)
	} else if e.Started() {
		r.started(now, e)
	} else if !e.waitUntil.IsZero() {
		r.schedule(e.waitUntil, func(now time.Time) { r.expire(now, e) })
	}
	r.handleEvents(now, e)
}

// expire ends the wait of a call that still waits, as a Gate does.
func (r *simRun) expire(now time.Time, e *Entry) {
	if refusal := r.queue.Expire(now, e); refusal != nil {
		r.refused(now, e, refusal)
	}
	r.handleEvents(now, e)
}

// handleEvents handles the events of waiting calls, except that of self, whose
// outcome Offer returned.
func (r *simRun) handleEvents(now time.Time, self *Entry) {
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

func (r *simRun) refused(now time.Time, e *Entry, refusal *call.Refusal) {
	sc := r.owners[e]
	delete(r.owners, e)
	pause := refusal.RetryAfter
	if r.retryPause > 0 {
		pause = r.retryPause
	}
	retryAt := now.Add(pause)
	if sc.attempts >= r.attempts || !retryAt.Before(sc.deadline) {
		r.countFor(sc, func(cr *classResult) { cr.gaveUp++ })
		return
	}
	r.schedule(retryAt, func(now time.Time) { r.offer(now, sc) })
}

func (r *simRun) started(now time.Time, e *Entry) {
	sc := r.owners[e]
	took := sc.work
	if busy, _ := r.queue.Load(); busy > r.realSlots {
		took = took * time.Duration(busy) / time.Duration(r.realSlots)
	}
	if r.slowdown > 0 && now.Sub(r.start) >= r.slowdownFrom {
		took = time.Duration(r.slowdown * float64(took))
	}
	r.schedule(now.Add(took), func(now time.Time) { r.done(now, e, took) })
}

func (cr *classResult) ended(now time.Time, sc *simCall) {
	total := now.Sub(sc.sentAt)
	if now.After(sc.deadline) {
		cr.missedDeadline++
		return
	}
	cr.answered++
	cr.latencies = append(cr.latencies, total)
	if total <= sc.class.AnswerWithin {
		cr.onTarget++
	}
	if now.Sub(sc.firstAttempt) <= sc.class.AnswerWithin {
		cr.inTime++
	}
}

func (r *simRun) done(now time.Time, e *Entry, took time.Duration) {
	sc := r.owners[e]
	delete(r.owners, e)
	r.countFor(sc, func(cr *classResult) { cr.ended(now, sc) })
	if !now.After(sc.deadline) && !now.After(r.end) {
		r.usefulTime += sc.work
	}
	r.queue.Done(now, e, Result{Latency: took})
	r.handleEvents(now, nil)
}

// usualMix returns the classes of a service with cheap lookups, bookings and
// expensive archive calls.
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
