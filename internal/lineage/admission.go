package lineage

import (
	"math"
	"sync"
	"time"
)

const (
	// outcomeMemory is the time constant with which outcomes of runs are forgotten. It is shorter
	// than the surges of a few seconds that exhaust a nested service.
	outcomeMemory = 2 * time.Second
	// minOutcomes is how many runs must be remembered before new ones are refused.
	minOutcomes = 4
	// maxLostShare is the share of lost runs up to which all new runs are admitted. With a lower
	// bound, refusals grow faster than lost runs fall.
	maxLostShare = 0.5
	// refusedFor is the least time after which a refused caller is told to return, before jitter. The
	// nested service tells its own callers the time until its queue drains, which is shorter than a
	// surge: runs that return by then are refused again.
	refusedFor = time.Second
	// probeInterval is the longest time without an admitted run while calls come.
	probeInterval = time.Second
)

// Admission refuses new runs of a class in the share at which its runs end because a nested call was
// refused, while that share exceeds a half. It is safe for concurrent use.
type Admission struct {
	mu      sync.Mutex
	classes map[string]*outcomes
	refused uint64
}

// outcomes are the recent outcomes of a class's runs.
type outcomes struct {
	running int
	// runs and lost count ended runs and those lost for a refused nested call, as of at.
	runs, lost float64
	at         time.Time
	// pending counts refused nested calls whose run has not ended.
	pending int
	// roomAt is when the nested service is expected to have room.
	roomAt   time.Time
	admitted time.Time // the last run
}

// class returns the outcomes of a class as of now.
func (a *Admission) class(now time.Time, name string) *outcomes {
	if a.classes == nil {
		a.classes = make(map[string]*outcomes)
	}
	c := a.classes[name]
	if c == nil {
		c = &outcomes{at: now}
		a.classes[name] = c
	}
	if elapsed := now.Sub(c.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(outcomeMemory))
		c.runs, c.lost, c.at = c.runs*keep, c.lost*keep, now
	}
	return c
}

// Admit decides whether a run of a class may start; x is a random number in [0, 1). Otherwise it
// returns the time after which the nested service is expected to have room, with a jitter.
func (a *Admission) Admit(now time.Time, name string, x float64) (after time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(now, name)
	high := c.runs >= minOutcomes && c.lost > maxLostShare*c.runs
	if !high || x < 1-c.lost/c.runs || now.Sub(c.admitted) >= probeInterval {
		c.admitted = now
		return 0, true
	}
	a.refused++
	after = max(c.roomAt.Sub(now), refusedFor)
	return time.Duration((0.5 + x) * float64(after)), false
}

// Started records that a run has started.
func (a *Admission) Started(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.class(now, name).running++
}

// NestedRefused records that a nested call of a run was refused, and the time after which the nested
// service is expected to have room.
func (a *Admission) NestedRefused(now time.Time, name string, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(now, name)
	c.pending = min(c.pending+1, c.running)
	c.roomAt = now.Add(after)
}

// Ended records the end of a run. A failed run counts as lost if a nested call was refused; which of
// several runs made that call is not known.
func (a *Admission) Ended(now time.Time, name string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(now, name)
	c.running--
	c.runs++
	if failed && c.pending > 0 {
		c.lost++
		c.pending--
	}
	c.pending = min(c.pending, c.running)
}

// Refused returns how many runs were refused.
func (a *Admission) Refused() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}
