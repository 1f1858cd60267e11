package limit

import (
	"container/list"
	"math"
	"time"
)

// sampleWeight is the weight of a new sample in an average.
const sampleWeight = 0.05

// classState is the state of one class in a Queue.
type classState struct {
	Class
	oneShot list.List // of *Entry, calls whose callers don't retry; by priority, then oldest first
	onTime  list.List // of *Entry, calls that can meet the latency target; oldest first
	overdue list.List // of *Entry, calls that cannot; by priority, then in the order they became overdue
	running int
	// alwaysFIFO starts calls in order of arrival even if the class misses its target.
	alwaysFIFO bool
	// allowedSlots is the trunk reservation of the class: it starts a call only
	// while fewer slots than this are busy, which leaves the others to classes
	// that miss their latency targets.
	allowedSlots int
	workspaces   workspaceCounts
	serviceTime  average
	// serviceTimeHigh is a high quantile of the service time.
	serviceTimeHigh  quantile
	lightServiceTime average // service time under light load
	// The starts from each lane.
	oneShotStarts, onTimeStarts, overdueStarts laneStarts
	// floorCredit is how many one-shot calls may start before more urgent calls.
	floorCredit float64

	latencyHigh quantile
	window      windowCounts
	missRate    float64 // fraction of calls late or refused in the last window
	rate        *RateLimiter
	stats       ClassStats
}

// laneStarts tracks the starts of calls from one lane of a class.
type laneStarts struct {
	// interval is the average time between two starts while calls were waiting,
	// the inverse of the lane's drain rate.
	interval average
	last     time.Time
}

// record records a start. waiting reports whether more calls wait in the lane.
func (s *laneStarts) record(now time.Time, waiting bool) {
	if waiting && !s.last.IsZero() {
		s.interval.add(now.Sub(s.last))
	}
	s.last = now
}

// windowCounts counts the calls of one class in one control window.
type windowCounts struct {
	answered int
	late     int
	refused  int
}

// average is an exponentially weighted moving average of durations.
type average struct {
	value float64
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	// The first samples are weighted as in an arithmetic mean, so that the
	// first one does not dominate.
	weight := max(sampleWeight, 1/float64(a.count))
	a.value += weight * (float64(d) - a.value)
}

func (a *average) duration() time.Duration { return time.Duration(a.value) }

// quantile estimates a high quantile of a stream by stochastic approximation: it
// steps up by more than it steps down, in the ratio that balances at the
// quantile. Steps are relative, so that no scale is needed.
type quantile struct{ value float64 }

const (
	quantileTarget = 0.95
	quantileStep   = 0.05
)

func (q *quantile) add(d time.Duration) {
	if q.value == 0 {
		q.value = float64(d)
		return
	}
	if float64(d) > q.value {
		q.value *= 1 + quantileStep*quantileTarget
		return
	}
	q.value *= 1 - quantileStep*(1-quantileTarget)
}

// latencyRatio returns the recent high latency over the latency target, or zero
// for a class without a target.
func (c *classState) latencyRatio() float64 {
	if c.AnswerWithin <= 0 {
		return 0
	}
	return c.latencyHigh.value / float64(c.AnswerWithin)
}

// shareSlots returns how many slots the class may hold while others wait.
func (c *classState) shareSlots(limit int) int {
	if c.Share <= 0 || c.Share >= 1 {
		return limit
	}
	return max(1, int(math.Floor(c.Share*float64(limit)+shareRounding)))
}

// shareRounding keeps a share that is a whole number of slots, such as 1/3 of
// six, from being rounded down to the next lower number.
const shareRounding = 1e-6

// overShare reports whether the class holds its share or more.
func (c *classState) overShare(limit int) bool { return c.running >= c.shareSlots(limit) }

func (c *classState) lanes() [3]*list.List { return [3]*list.List{&c.oneShot, &c.onTime, &c.overdue} }

// queued returns how many calls of the class wait.
func (c *classState) queued() int { return c.oneShot.Len() + c.onTime.Len() + c.overdue.Len() }

func (c *classState) laneOf(e *Entry) *list.List {
	switch {
	case e.OneShot:
		return &c.oneShot
	case e.overdue:
		return &c.overdue
	}
	return &c.onTime
}

// enqueue adds e to its lane. The on-time lane is in order of arrival, the others
// are ordered by priority.
func (c *classState) enqueue(e *Entry) *list.Element {
	lane := c.laneOf(e)
	if lane == &c.onTime {
		return lane.PushBack(e)
	}
	return insertByPriority(lane, e)
}

func (c *classState) startsOf(e *Entry) *laneStarts {
	switch {
	case e.OneShot:
		return &c.oneShotStarts
	case e.overdue:
		return &c.overdueStarts
	}
	return &c.onTimeStarts
}

func (c *classState) head() *Entry { return head(&c.onTime) }

// nextOnTime returns the next call of the on-time lane: the oldest, or a newest one
// while the class misses its latency target.
//
// Under overload some calls must miss. Oldest first, every call starts with hardly any
// time left; newest first, most start with nearly all of it, and only the few that are
// never reached miss.
func (c *classState) nextOnTime() *Entry {
	if c.missesTarget() && !c.alwaysFIFO {
		return c.newestOnTime()
	}
	return c.head()
}

func head(lane *list.List) *Entry {
	if f := lane.Front(); f != nil {
		return f.Value.(*Entry)
	}
	return nil
}

// likelyLate reports whether e, started now, is likely to miss its class's latency
// target. It is false for a class without a target, and for one whose mean service
// time at this backend server exceeds it, since all its calls would be overdue.
func (c *classState) likelyLate(e *Entry, now time.Time) bool {
	maxWait := c.AnswerWithin - c.serviceTime.duration()
	return maxWait > 0 && now.Sub(e.FirstAttempt) > maxWait
}

// minWaitFraction is the fraction of the latency target, less the mean service time,
// that a call may wait in any case.
const minWaitFraction = 0.25

// waitBudget returns how long a call may wait and still be expected to meet its class's
// latency target: the target less the time of a slow call, but at least a fraction of
// what a mean call leaves. Without that minimum, a class whose slow calls take just under
// its target would be refused as soon as one waits, and without any bound once they take
// longer. Zero or less means that there is no target, or one that the backend server
// cannot meet.
func (c *classState) waitBudget() time.Duration {
	meanBudget := float64(c.AnswerWithin - c.serviceTime.duration())
	return max(c.AnswerWithin-time.Duration(c.serviceTimeHigh.value), time.Duration(minWaitFraction*meanBudget))
}

// minRunFraction is the fraction of the mean service time that must remain before the
// deadline for a call to be started.
const minRunFraction = 0.5

// tooLateToRun reports whether e, started now, is unlikely to be answered by its
// deadline.
//
// A call started too late is cut off at its deadline: its work is lost, and its caller
// cannot know whether it ran. A refused call can safely be sent again.
func (c *classState) tooLateToRun(e *Entry, now time.Time) bool {
	if e.deadline.IsZero() || c.serviceTime.count < minLightSamples {
		return false
	}
	minRun := time.Duration(minRunFraction * float64(c.serviceTime.duration()))
	return e.deadline.Sub(now) < minRun
}

// expired reports whether the deadline of e has passed.
func (c *classState) expired(e *Entry, now time.Time) bool {
	return !e.deadline.IsZero() && !now.Before(e.deadline)
}
