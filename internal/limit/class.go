package limit

import (
	"container/list"
	"math"
	"time"
)

// serviceWeight is the weight of one new sample in the averages of a class.
const serviceWeight = 0.05

// classState is what a Queue keeps for one class.
type classState struct {
	Class
	once    list.List // of *Entry whose callers don't come back, oldest first
	waiting list.List // of *Entry that can be answered in time, oldest first
	overdue list.List // of *Entry that cannot, in the order in which they became so
	running int
	// inOrder keeps to the order of arrival whatever happens.
	inOrder bool
	// upTo is the trunk reservation of the class: it starts a call only
	// while fewer slots than this are busy, and so leaves the others free
	// for classes that miss their targets.
	upTo    int
	tallies tallies
	service average
	// serviceHigh is a high quantile of the service time.
	serviceHigh quantile
	light       average // service time while the backend server is at most a quarter full
	// The starts from each lane.
	onceGrants, grants, overdueGrants grants

	high     quantile
	window   windowCounts
	missRate float64 // part of the calls late or refused in the last window
	rate     *RateLimiter
	stats    ClassStats
}

// grants follow the starts of calls out of one lane of a class.
type grants struct {
	// every is the average time between two starts while calls were waiting: the
	// rate at which the lane drains.
	every average
	last  time.Time
}

// granted takes in a start. Waiting says that more calls wait behind it.
func (g *grants) granted(now time.Time, waiting bool) {
	if waiting && !g.last.IsZero() {
		g.every.add(now.Sub(g.last))
	}
	g.last = now
}

// windowCounts are the events of one class within one control window.
type windowCounts struct {
	answered int
	late     int
	refused  int
}

// average is an exponentially weighted mean of durations.
type average struct {
	value float64
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	// The first samples weigh as in a plain mean, so that the average does
	// not cling to the first one.
	weight := max(serviceWeight, 1/float64(a.count))
	a.value += weight * (float64(d) - a.value)
}

func (a *average) duration() time.Duration { return time.Duration(a.value) }

// quantile follows a high quantile of a stream by stochastic approximation: it
// steps up by more than it steps down, in the ratio that balances at the
// quantile. Steps are relative, so that it needs no scale.
type quantile struct{ value float64 }

const (
	quantileAimed = 0.95
	quantileStep  = 0.05
)

func (q *quantile) add(d time.Duration) {
	if q.value == 0 {
		q.value = float64(d)
		return
	}
	if float64(d) > q.value {
		q.value *= 1 + quantileStep*quantileAimed
		return
	}
	q.value *= 1 - quantileStep*(1-quantileAimed)
}

// standing is the recent high latency over the answer time aimed at. A class
// without a target stands at zero: nothing that it does can miss.
func (c *classState) standing() float64 {
	if c.AnswerWithin <= 0 {
		return 0
	}
	return c.high.value / float64(c.AnswerWithin)
}

// shareSlots is how many slots the class may hold while others wait.
func (c *classState) shareSlots(limit int) int {
	if c.Share <= 0 || c.Share >= 1 {
		return limit
	}
	return max(1, int(math.Floor(c.Share*float64(limit)+shareRounding)))
}

// shareRounding keeps a share that is a whole number of slots, such as 1/3 of
// six, from falling to the slot below.
const shareRounding = 1e-6

// overShare reports whether the class holds its share or more.
func (c *classState) overShare(limit int) bool { return c.running >= c.shareSlots(limit) }

func (c *classState) lanes() [3]*list.List { return [3]*list.List{&c.once, &c.waiting, &c.overdue} }

// queued returns how many calls of the class wait.
func (c *classState) queued() int { return c.once.Len() + c.waiting.Len() + c.overdue.Len() }

func (c *classState) laneOf(e *Entry) *list.List {
	switch {
	case e.OneShot:
		return &c.once
	case e.overdue:
		return &c.overdue
	}
	return &c.waiting
}

// place puts e into its lane. Those that can be in time keep to the order of arrival.
func (c *classState) place(e *Entry) *list.Element {
	lane := c.laneOf(e)
	if lane == &c.waiting {
		return lane.PushBack(e)
	}
	return insert(lane, e)
}

func (c *classState) grantsOf(e *Entry) *grants {
	switch {
	case e.OneShot:
		return &c.onceGrants
	case e.overdue:
		return &c.overdueGrants
	}
	return &c.grants
}

func (c *classState) head() *Entry { return head(&c.waiting) }

// foremost returns the call that is next among those that wait to be answered in time:
// the oldest, or a newest one while the class misses its target.
//
// Under overload some calls must miss. Oldest first, each is started when hardly any
// time is left to it, and all are at the edge; newest first, most have nearly all of
// their time, and the few that are never reached miss.
func (c *classState) foremost() *Entry {
	if c.misses() && !c.inOrder {
		return c.newest()
	}
	return c.head()
}

func head(lane *list.List) *Entry {
	if f := lane.Front(); f != nil {
		return f.Value.(*Entry)
	}
	return nil
}

// late reports whether e, started now, is more likely than not to miss its class's
// target. A class that cannot meet it at this backend server is never late: it has
// nothing to lose.
func (c *classState) late(e *Entry, now time.Time) bool {
	left := c.AnswerWithin - c.service.duration()
	return left > 0 && now.Sub(e.FirstAttempt) > left
}

// leastBudget is the part of the answer time, less the mean run, that a call may wait
// in any case.
const leastBudget = 0.25

// waitBudget is how long a call may wait and still be expected to meet its
// class's target: even if it is a slow one, or at least a part of what a common one
// leaves. Without that part a class whose slow calls take just under its target would
// be refused as soon as one waits, and without any bound once they take longer. Zero or
// less means that there is no target, or none that the backend server could meet.
func (c *classState) waitBudget() time.Duration {
	common := float64(c.AnswerWithin - c.service.duration())
	return max(c.AnswerWithin-time.Duration(c.serviceHigh.value), time.Duration(leastBudget*common))
}

// hopelessPart is the part of the mean service time below which the time left to a
// call is too short to start it.
const hopelessPart = 0.5

// hopeless reports whether e, started now, would hardly be answered by its deadline.
//
// It guards against work that is thrown away, and against a booking whose caller is
// told that nobody knows whether it ran: both begin with a call that got its slot
// when there was no time left to run it. Refused, it may be sent again.
func (c *classState) hopeless(e *Entry, now time.Time) bool {
	if e.deadline.IsZero() || c.service.count < minLight {
		return false
	}
	least := time.Duration(hopelessPart * float64(c.service.duration()))
	return e.deadline.Sub(now) < least
}

// expired reports whether e can no longer be answered by its deadline.
func (c *classState) expired(e *Entry, now time.Time) bool {
	return !e.deadline.IsZero() && !now.Before(e.deadline)
}
