package rollout

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Buckets is the number of buckets of response times. Bucket i holds answers that took less than
// 2^(i/2) milliseconds and no less than the previous bucket's bound; the last one has no upper
// bound.
const Buckets = 28

// Counts holds the results of the calls of one class.
type Counts struct {
	Calls, Failed uint32
	// Took counts the answers by response time.
	Took [Buckets]uint32
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Calls += other.Calls
	c.Failed += other.Failed
	for i, n := range other.Took {
		c.Took[i] += n
	}
}

// since returns the counts after before. A server whose node has restarted counts from zero.
func (c Counts) since(before Counts) Counts {
	if c.Calls < before.Calls || c.Failed < before.Failed {
		return c
	}
	c.Calls -= before.Calls
	c.Failed -= before.Failed
	for i, n := range before.Took {
		c.Took[i] -= min(n, c.Took[i])
	}
	return c
}

// answered returns the number of answers with a response time.
func (c Counts) answered() uint32 {
	var n uint32
	for _, v := range c.Took {
		n += v
	}
	return n
}

// mean returns the mean bucket of the answers, a logarithm of their response times.
func (c Counts) mean() float64 {
	var sum float64
	for i, v := range c.Took {
		sum += float64(i) * float64(v)
	}
	return sum / float64(max(c.answered(), 1))
}

func bucketOf(took time.Duration) int {
	ms := max(took.Seconds()*1000, 0)
	if ms < 1 {
		return 0
	}
	return min(int(2*math.Log2(ms))+1, Buckets-1)
}

// Tally counts the calls of one backend server by class. It is safe for concurrent use.
type Tally struct {
	byClass sync.Map // class to *classTally
}

type classTally struct {
	calls, failed atomic.Uint32
	took          [Buckets]atomic.Uint32
}

// Add counts a call that has ended. Its response time counts only if timed is set, because a server
// that has just started is slow whatever its version.
func (t *Tally) Add(class string, took time.Duration, timed, failed bool) {
	v, ok := t.byClass.Load(class)
	if !ok {
		v, _ = t.byClass.LoadOrStore(class, new(classTally))
	}
	c := v.(*classTally)
	c.calls.Add(1)
	if failed {
		c.failed.Add(1)
		return
	}
	if timed {
		c.took[bucketOf(took)].Add(1)
	}
}

// Load returns the counts by class.
func (t *Tally) Load() map[string]Counts {
	out := make(map[string]Counts)
	t.byClass.Range(func(class, v any) bool {
		c := v.(*classTally)
		counts := Counts{Failed: c.failed.Load()}
		for i := range c.took {
			counts.Took[i] = c.took[i].Load()
		}
		counts.Calls = c.calls.Load()
		out[class.(string)] = counts
		return true
	})
	return out
}

// addAll adds the counts of each class in from to those in to.
func addAll(to, from map[string]Counts) {
	for class, c := range from {
		sum := to[class]
		sum.Add(c)
		to[class] = sum
	}
}

// sinceAll returns the counts after before, by class.
func sinceAll(now, before map[string]Counts) map[string]Counts {
	out := maps.Clone(now)
	for class, c := range before {
		out[class] = out[class].since(c)
	}
	return out
}

// totalCalls returns the number of calls of all classes.
func totalCalls(counts map[string]Counts) uint32 {
	var n uint32
	for _, c := range counts {
		n += c.Calls
	}
	return n
}
