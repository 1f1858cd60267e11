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
	waiting list.List // of *Entry, oldest first
	running int
	// upTo is the trunk reservation of the class: it starts a call only
	// while fewer slots than this are busy, and so leaves the others free
	// for classes that miss their targets.
	upTo    int
	service average
	// serviceHigh is a high quantile of the service time.
	serviceHigh quantile
	light       average // service time while the backend server is at most a quarter full
	// grantEvery is the average time between two starts while calls of this
	// class were waiting: the class's own drain rate.
	grantEvery average
	lastGrant  time.Time
	high       quantile
	window     windowCounts
	missRate   float64 // part of the calls late or refused in the last window
	rate       *Rate
	stats      ClassStats
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

func (c *classState) head() *Entry {
	if f := c.waiting.Front(); f != nil {
		return f.Value.(*Entry)
	}
	return nil
}

// late reports whether e, started now, is expected to miss its class's target.
func (c *classState) late(e *Entry, now time.Time) bool {
	budget := c.waitBudget()
	return budget > 0 && now.Sub(e.arrived) > budget
}

// waitBudget is how long a call may wait and still be expected to meet its
// class's target even if it is a slow one. Zero or less means that there is no
// target, or none that the backend server could meet.
func (c *classState) waitBudget() time.Duration {
	return c.AnswerWithin - time.Duration(c.serviceHigh.value)
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
