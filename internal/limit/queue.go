package limit

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// otherClass stands for every class that the configuration in force here does
// not name. An entry node on a newer version may send one.
const otherClass = ""

type entryState uint8

const (
	entryNew entryState = iota
	entryWaiting
	entryRunning
	entryEnded
)

// Entry is one call in a Queue. Its zero value is ready for Offer.
type Entry struct {
	// FirstAttempt is when the caller first asked, if it was refused before and came back;
	// zero means that it asks now.
	FirstAttempt time.Time
	// OneShot says that the caller will not come back when it is refused.
	OneShot bool
	// NoWait says that the call is to start now or be refused as busy.
	NoWait bool
	Caller Caller

	class    *classState
	arrived  time.Time
	deadline time.Time
	// until is the moment after which the call waits no more; zero for none.
	until   time.Time
	started time.Time
	// overdue says that the call can only be answered later than its class aims at.
	overdue  bool
	sequence uint64
	state    entryState
	// busy is how many calls ran when this one started, itself included.
	busy    int
	element *list.Element
	notify  func(*call.Refusal)
}

func (e *Entry) before(o *Entry) bool { return e.sequence < o.sequence }

// Event tells that a waiting call was started or, with a refusal, that it was
// not and never will be.
type Event struct {
	Entry   *Entry
	Refusal *call.Refusal
}

// QueueOptions are the parts of a Queue that tests and measurements replace.
type QueueOptions struct {
	Order Order      // OvertakingCap over EarliestTarget when nil
	Rand  *rand.Rand // spreads RetryAfter; must not be nil
	// FixedLimit keeps the limit at the announced slots.
	FixedLimit bool
	// NoYielding reserves no slots and refuses the newcomer when the queue is
	// full.
	NoYielding bool
	// NoPrediction bounds the queue by number and deadline only, and runs
	// calls that are late for their class's target in their turn.
	NoPrediction bool
}

// Queue decides which calls run. It is not safe for concurrent use.
type Queue struct {
	options  QueueOptions
	cfg      Config
	classes  map[string]*classState
	ordered  []*classState // by name, so that decisions don't follow map order
	adaptive adaptive
	running  int
	waiting  int
	sequence uint64
	draining bool
	// doneEvery is the average time between two ends while calls waited.
	doneEvery   average
	lastDone    time.Time
	windowEnd   time.Time
	candidates  []*classState // scratch
	events      []Event
	calmWindows int
}

// NewQueue returns a Queue of one slot and no classes.
func NewQueue(o QueueOptions) *Queue {
	if o.Order == nil {
		o.Order = defaultOrder()
	}
	q := &Queue{options: o, classes: make(map[string]*classState)}
	q.Configure(time.Time{}, Config{})
	return q
}

// Configure takes a new configuration. Calls that run or wait are kept, those
// of a class that is gone too. It ends a drain.
func (q *Queue) Configure(now time.Time, cfg Config) {
	cfg = cfg.withDefaults()
	q.draining = false
	q.moveUpTo(q.cfg.Slots, cfg.Slots)
	if q.adaptive.setSlots(cfg.Slots) {
		for _, c := range q.ordered {
			c.light = average{}
		}
	}
	q.cfg = cfg
	named := make(map[string]bool, len(cfg.Classes)+1)
	for _, c := range cfg.Classes {
		named[c.Name] = true
		q.setClass(now, c)
	}
	if !named[otherClass] {
		named[otherClass] = true
		q.setClass(now, Class{Name: otherClass, Priority: config.DefaultPriority})
	}
	q.dropClasses(named)
	q.dispatch(now)
}

// moveUpTo lets the classes that nothing is reserved from use all of a new number
// of slots. Otherwise a backend server that announces more slots would wait for
// them to be released one by one, as reservations are.
func (q *Queue) moveUpTo(old, slots int) {
	for _, c := range q.ordered {
		if c.upTo >= old {
			c.upTo = slots
		}
	}
}

func (q *Queue) setClass(now time.Time, c Class) {
	st := q.classes[c.Name]
	if st == nil {
		st = &classState{upTo: q.cfg.Slots, inOrder: q.options.NoPrediction, rate: NewRateLimiter(now, c.RatePerSecond)}
		q.classes[c.Name] = st
	}
	if st.RatePerSecond != c.RatePerSecond {
		st.rate.SetRate(now, c.RatePerSecond)
	}
	st.Class = c
	st.upTo = min(max(st.upTo, 1), q.cfg.Slots)
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

// Limit is how many calls may run at once at present.
func (q *Queue) Limit() int {
	if q.options.FixedLimit {
		return q.cfg.Slots
	}
	return q.adaptive.limit()
}

// Load returns the calls running and the present limit.
func (q *Queue) Load() (busy, slots int) { return q.running, q.Limit() }

// Waiting returns how many calls wait.
func (q *Queue) Waiting() int { return q.waiting }

// Drain refuses the calls that wait and all that come.
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

// Offer brings a call. When it returns nil, e has either started, which
// e.Started tells, or waits, and an Event will follow.
func (q *Queue) Offer(now time.Time, e *Entry, class string, deadline time.Time) *call.Refusal {
	c := q.classes[class]
	if c == nil {
		c = q.classes[otherClass]
	}
	q.turnWindow(now)
	q.sequence++
	e.class, e.arrived, e.deadline, e.sequence = c, now, deadline, q.sequence
	if e.FirstAttempt.IsZero() {
		e.FirstAttempt = now
	}
	e.overdue = !e.OneShot && !q.options.NoPrediction && c.late(e, now)
	e.until = q.waitsUntil(now, e)
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
	if q.waiting == 0 && q.running < q.Limit() && q.mayStart(c) {
		q.start(now, e)
		return nil
	}
	if e.NoWait {
		// No miss of the class: its call goes on to look for a free slot elsewhere.
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
	e.element = e.class.place(e)
	e.count(1, 0)
}

// Started reports whether the call holds a slot.
func (e *Entry) Started() bool { return e.state == entryRunning }

// WaitsUntil returns the moment after which a call that waits must be given to Expire, or
// zero for none.
func (e *Entry) WaitsUntil() time.Time { return e.until }

// Done takes the slot of a call that has ended.
func (q *Queue) Done(now time.Time, e *Entry, r Result) {
	if e.state != entryRunning {
		return
	}
	e.state = entryEnded
	c := e.class
	c.running--
	e.count(0, -1)
	q.running--
	q.learn(now, e, r)
	q.turnWindow(now)
	q.dispatch(now)
}

// Expire refuses a call that waits and has done so for as long as it may. It
// returns nil if the call has started or ended already.
func (q *Queue) Expire(now time.Time, e *Entry) *call.Refusal {
	if e.state != entryWaiting {
		return nil
	}
	q.remove(e)
	e.class.rate.GiveBack(now)
	defer q.dispatch(now)
	if !e.class.expired(e, now) {
		return q.refuse(now, e.class, q.overReason(e.class), "no slot came free in its time to wait")
	}
	return q.refuse(now, e.class, call.ReasonExpired, "waited past its deadline")
}

// Abandon removes a call that waits, because its caller gave up or its deadline
// passed. It reports false if the call has started or ended already.
func (q *Queue) Abandon(now time.Time, e *Entry) bool {
	if e.state != entryWaiting {
		return false
	}
	q.remove(e)
	e.class.rate.GiveBack(now)
	if e.class.expired(e, now) {
		e.class.stats.Expired++
	}
	q.dispatch(now)
	return true
}

// Tick refuses the calls whose deadline has passed.
func (q *Queue) Tick(now time.Time) {
	q.turnWindow(now)
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

// Events returns what happened to waiting calls since it was last called. The
// slice is good until the next call of any method.
func (q *Queue) Events() []Event {
	ev := q.events
	q.events = q.events[:0]
	return ev
}

// Stats returns the state of each class, by name.
func (q *Queue) Stats(now time.Time) []ClassStats {
	out := make([]ClassStats, len(q.ordered))
	for i, c := range q.ordered {
		out[i] = c.stats
		out[i].Class = c.Name
		out[i].Running = c.running
		out[i].Waiting = c.queued()
		out[i].AllowedSlots = min(c.upTo, q.Limit())
		out[i].LatencyRatio = c.standing()
	}
	return out
}
