package limit

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// unknownClass stands for every class that the configuration in force here does
// not name. An entry node on a newer version may send one.
const unknownClass = ""

type entryState uint8

const (
	entryNew entryState = iota
	entryWaiting
	entryRunning
	entryEnded
)

// Entry is one call in a Queue. Its zero value is ready for Offer.
type Entry struct {
	// FirstAttempt is when the caller first sent the call, if this is a retry; zero
	// means now.
	FirstAttempt time.Time
	// OneShot reports that the caller does not retry a refused call.
	OneShot bool
	// NoWait refuses the call at once as busy if no slot is free.
	NoWait bool
	Caller Caller

	class    *classState
	arrived  time.Time
	deadline time.Time
	// waitUntil is when the call stops waiting; zero means never.
	waitUntil time.Time
	started   time.Time
	// overdue reports whether the call can no longer meet its class's latency target.
	overdue bool
	// startsFirst reports whether it is not known on whose behalf the one-shot call is made. It then
	// starts before all others with Config.ByPriority.
	startsFirst bool
	// passedOver reports whether a more urgent call has started before this one-shot call.
	passedOver bool
	sequence   uint64
	state      entryState
	// busyAtStart is how many calls ran when this one started, itself included.
	busyAtStart int
	element     *list.Element
	notify      func(*call.Refusal)
}

func (e *Entry) before(o *Entry) bool { return e.sequence < o.sequence }

// Event reports that a waiting call was started or, if Refusal is set, refused.
type Event struct {
	Entry   *Entry
	Refusal *call.Refusal
}

// QueueOptions configures a Queue. FixedLimit, NoYielding and NoPrediction switch
// off parts of it for comparison in tests and measurements.
type QueueOptions struct {
	Order Order      // OvertakingCap over EarliestTarget when nil
	Rand  *rand.Rand // jitters RetryAfter; must not be nil
	// FixedLimit keeps the limit at the announced slots.
	FixedLimit bool
	// NoYielding reserves no slots, and refuses a new call when the queue is
	// full.
	NoYielding bool
	// NoPrediction bounds the queue by length and deadline only, and starts
	// calls in order of arrival even if they miss their latency target.
	NoPrediction bool
}

// Queue decides which calls run. It is not safe for concurrent use.
type Queue struct {
	options  QueueOptions
	cfg      Config
	classes  map[string]*classState
	ordered  []*classState // by name, so that decisions don't follow map order
	adaptive adaptiveLimit
	// advertised is the rate limit of the backend server itself.
	advertised advertisedLimit
	running    int
	waiting    int
	sequence   uint64
	draining   bool
	// completionInterval is the average time between two completions while
	// calls were waiting.
	completionInterval average
	lastCompletion     time.Time
	windowEnd          time.Time
	candidates         []*classState // scratch
	events             []Event
	windowsWithoutMiss int
}

// NewQueue returns a Queue with one slot and no classes.
func NewQueue(o QueueOptions) *Queue {
	if o.Order == nil {
		o.Order = defaultOrder()
	}
	q := &Queue{options: o, classes: make(map[string]*classState)}
	q.Configure(time.Time{}, Config{})
	return q
}

// Configure applies a new configuration and ends a drain. Running and waiting
// calls are kept, also those of a removed class.
func (q *Queue) Configure(now time.Time, cfg Config) {
	cfg = cfg.withDefaults()
	q.draining = false
	if q.cfg.Incarnation != 0 && cfg.Incarnation != q.cfg.Incarnation {
		q.advertised = advertisedLimit{}
	}
	q.resizeUnreserved(q.cfg.Slots, cfg.Slots)
	if q.adaptive.setSlots(cfg.Slots) {
		for _, c := range q.ordered {
			c.lightServiceTime = average{}
		}
	}
	q.cfg = cfg
	named := make(map[string]bool, len(cfg.Classes)+1)
	for _, c := range cfg.Classes {
		named[c.Name] = true
		q.setClass(now, c)
	}
	if !named[unknownClass] {
		named[unknownClass] = true
		q.setClass(now, Class{Name: unknownClass, Priority: config.DefaultPriority})
	}
	q.dropClasses(named)
	q.dispatch(now)
}

// resizeUnreserved allows the unrestricted classes all of a new number of slots.
// Otherwise added slots would become usable one by one, as reserved slots do.
func (q *Queue) resizeUnreserved(old, slots int) {
	for _, c := range q.ordered {
		if c.allowedSlots >= old {
			c.allowedSlots = slots
		}
	}
}

func (q *Queue) setClass(now time.Time, c Class) {
	state := q.classes[c.Name]
	if state == nil {
		state = &classState{allowedSlots: q.cfg.Slots, alwaysFIFO: q.options.NoPrediction, rate: NewRateLimiter(now, c.RatePerSecond)}
		q.classes[c.Name] = state
	}
	if state.RatePerSecond != c.RatePerSecond {
		state.rate.SetRate(now, c.RatePerSecond)
	}
	state.Class = c
	state.allowedSlots = min(max(state.allowedSlots, 1), q.cfg.Slots)
}

func (q *Queue) dropClasses(named map[string]bool) {
	for name, c := range q.classes {
		if !named[name] && c.running == 0 && c.queued() == 0 {
			delete(q.classes, name)
		}
	}
	q.ordered = q.ordered[:0]
	for _, c := range q.classes {
		q.ordered = append(q.ordered, c)
	}
	slices.SortFunc(q.ordered, func(a, b *classState) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Limit returns how many calls may run at once at present.
func (q *Queue) Limit() int {
	if q.options.FixedLimit {
		return q.cfg.Slots
	}
	return q.adaptive.limit()
}

// Observe records the rate limit that the backend server advertised in its answer to a call that
// was sent at sent. It reports whether the limit in force has changed.
func (q *Queue) Observe(now, sent time.Time, r AdvertisedRate) (RateChange, bool) {
	defer q.dispatch(now)
	return q.advertised.observe(now, sent, r)
}

// Adopt applies a rate limit that the backend server advertised to another process, unless a lower
// one is in force. It reports whether the limit in force has changed.
func (q *Queue) Adopt(now time.Time, r AdvertisedRate) (RateChange, bool) {
	return q.advertised.adopt(now, r)
}

// AdvertisedRate returns the rate limit of the backend server that is in force.
func (q *Queue) AdvertisedRate() AdvertisedRate { return q.advertised.rate }

// Load returns the number of running calls and the present limit.
func (q *Queue) Load() (busy, slots int) { return q.running, q.Limit() }

// Waiting returns the number of waiting calls.
func (q *Queue) Waiting() int { return q.waiting }

// Drain refuses the waiting calls, and all new ones until Configure is called.
func (q *Queue) Drain(now time.Time) {
	q.draining = true
	for _, c := range q.ordered {
		for _, lane := range c.lanes() {
			for e := head(lane); e != nil; e = head(lane) {
				q.refuseWaiting(now, e, call.ReasonDraining, "")
			}
		}
	}
}

// Offer admits or refuses a call. If it returns nil, e has either started, as
// e.Started reports, or waits, and an Event will follow.
func (q *Queue) Offer(now time.Time, e *Entry, class string, deadline time.Time) *call.Refusal {
	c := q.classes[class]
	if c == nil {
		c = q.classes[unknownClass]
	}
	q.rollWindow(now)
	q.sequence++
	e.class, e.arrived, e.deadline, e.sequence = c, now, deadline, q.sequence
	if e.FirstAttempt.IsZero() {
		e.FirstAttempt = now
	}
	e.startsFirst = q.cfg.ByPriority && e.OneShot && e.Caller == Caller{}
	e.overdue = !e.OneShot && !q.options.NoPrediction && c.likelyLate(e, now)
	e.waitUntil = q.waitsUntil(now, e)
	if q.draining {
		return q.refuse(now, c, call.ReasonDraining, "")
	}
	if c.expired(e, now) {
		return q.refuse(now, c, call.ReasonExpired, "")
	}
	if ok, after := c.rate.Allow(now); !ok {
		c.stats.OverRate++
		return &call.Refusal{Reason: call.ReasonOverRate, RetryAfter: max(after, minRetryAfter)}
	}
	if r := q.refuseBeyondRate(now, e); r != nil {
		c.rate.GiveBack(now)
		return r
	}
	if q.waiting == 0 && q.running < q.Limit() && q.mayStart(c) && q.advertised.allows(now) {
		q.start(now, e)
		return nil
	}
	if e.NoWait {
		// Not counted as a miss of the class: its call is sent on to find a free
		// slot at another endpoint.
		c.rate.GiveBack(now)
		c.stats.Busy++
		return &call.Refusal{Reason: call.ReasonBusy}
	}
	if r := q.admit(now, e); r != nil {
		c.rate.GiveBack(now)
		return r
	}
	q.enqueue(e)
	q.dispatch(now)
	return nil
}

func (q *Queue) enqueue(e *Entry) {
	e.state = entryWaiting
	q.waiting++
	e.element = e.class.enqueue(e)
	e.addToWorkspace(1, 0)
}

// Started reports whether the call holds a slot.
func (e *Entry) Started() bool { return e.state == entryRunning }

// WaitsUntil returns when a waiting call must be passed to Expire; zero means never.
func (e *Entry) WaitsUntil() time.Time { return e.waitUntil }

// Done frees the slot of a call that has ended. It does nothing for a call that is
// not running.
func (q *Queue) Done(now time.Time, e *Entry, r Result) {
	if e.state != entryRunning {
		return
	}
	e.state = entryEnded
	c := e.class
	c.running--
	e.addToWorkspace(0, -1)
	q.running--
	if r.NotSent {
		q.advertised.giveBack(now)
	}
	q.recordResult(now, e, r)
	q.rollWindow(now)
	q.dispatch(now)
}

// Expire refuses a waiting call at the end of its time to wait. It returns nil if
// the call has already started or ended.
func (q *Queue) Expire(now time.Time, e *Entry) *call.Refusal {
	if e.state != entryWaiting {
		return nil
	}
	q.dequeue(e)
	e.class.rate.GiveBack(now)
	defer q.dispatch(now)
	if !e.class.expired(e, now) {
		return q.refuse(now, e.class, q.overloadReason(e.class), "no slot came free in its time to wait")
	}
	return q.refuse(now, e.class, call.ReasonExpired, "waited past its deadline")
}

// Abandon removes a waiting call whose caller gave up or whose deadline passed. It
// reports false if the call has already started or ended.
func (q *Queue) Abandon(now time.Time, e *Entry) bool {
	if e.state != entryWaiting {
		return false
	}
	q.dequeue(e)
	e.class.rate.GiveBack(now)
	if e.class.expired(e, now) {
		e.class.stats.Expired++
	}
	q.dispatch(now)
	return true
}

// Tick refuses the waiting calls whose deadline has passed.
func (q *Queue) Tick(now time.Time) {
	q.rollWindow(now)
	for _, c := range q.ordered {
		for _, lane := range c.lanes() {
			for el := lane.Front(); el != nil; {
				e := el.Value.(*Entry)
				el = el.Next()
				if c.expired(e, now) {
					q.refuseWaiting(now, e, call.ReasonExpired, "")
				}
			}
		}
	}
	q.dispatch(now)
}

// Events returns the events of waiting calls since it was last called. The slice
// is valid until the next call of any method.
func (q *Queue) Events() []Event {
	ev := q.events
	q.events = q.events[:0]
	return ev
}

// Stats returns the state of each class, sorted by name.
func (q *Queue) Stats(now time.Time) []ClassStats {
	out := make([]ClassStats, len(q.ordered))
	for i, c := range q.ordered {
		out[i] = c.stats
		out[i].Class = c.Name
		out[i].Running = c.running
		out[i].Waiting = c.queued()
		out[i].AllowedSlots = min(c.allowedSlots, q.Limit())
		out[i].LatencyRatio = c.latencyRatio()
	}
	return out
}
