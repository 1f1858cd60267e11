// Package limit implements admission control at the destination node: it decides
// which calls a backend server runs now, which wait and which are refused.
//
// There is one Gate for each backend server. Its concurrency limit starts at the
// slots that the backend server announces, and falls when the backend server is
// slower under load than when nearly idle. Each class of work has its own queue,
// bounded in length and by the wait predicted for a new call. A class that holds
// its share of the slots yields to the others as slots become free; running calls
// are not preempted. A call whose deadline has passed is refused before it runs.
//
// Queue makes the decisions. It takes no lock, starts no goroutine and receives
// the time as an argument. Gate adds the lock and the waiting.
package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Class configures one class of work.
type Class struct {
	Name string
	// Share is the fraction of the slots that the class may hold while other
	// classes wait; zero means no limit.
	Share float64
	// Priority is config.MinPriority (first to yield) to config.MaxPriority;
	// zero means config.DefaultPriority.
	Priority int
	// AnswerWithin is the latency target; zero means none.
	AnswerWithin time.Duration
	// RatePerSecond limits the calls of the class at this backend server; zero
	// means no limit. RatePerBackend derives it from a limit on the whole mesh.
	RatePerSecond float64
}

// Config configures a Gate for its backend server.
type Config struct {
	// Slots is the number of concurrent calls that the backend server announces.
	Slots int
	// Classes are the classes of the backend server's service.
	Classes []Class
	// Incarnation identifies the start of the backend server; zero if not known. What another one
	// advertised doesn't apply to it.
	Incarnation int64
	// MaxWaiting limits the waiting calls; zero means DefaultWaitingPerSlot for
	// each slot.
	MaxWaiting int
	// ByPriority starts one-shot and on-time calls by the priority of their callers, and admits
	// them to a full queue in that order. Otherwise one-shot calls come first whatever their
	// priority.
	ByPriority bool
}

// DefaultWaitingPerSlot is the queue length per slot when Config.MaxWaiting is zero.
const DefaultWaitingPerSlot = 16

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = c.Slots * DefaultWaitingPerSlot
	}
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		if c.Classes[i].Priority == 0 {
			c.Classes[i].Priority = config.DefaultPriority
		}
	}
	slices.SortFunc(c.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// Result describes how a call that held a permit ended.
type Result struct {
	// Latency is the service time at the backend server.
	Latency time.Duration
	// Failed reports that the call ended without an answer whose latency counts.
	Failed bool
	// Shed reports that the backend server refused the call.
	Shed bool
	// NotSent reports that the call did not reach the backend server.
	NotSent bool
}

// ClassStats holds the state and the counters of one class.
type ClassStats struct {
	Class   string
	Running int
	Waiting int
	// AllowedSlots is the number of busy slots at which the class starts no more
	// calls, unless it has none running.
	AllowedSlots int
	Started      uint64
	Done         uint64
	Refused      uint64
	Busy         uint64 // calls with NoWait that found no free slot
	OverRate     uint64
	// OverBackendRate counts the calls refused for the rate that the backend server advertises.
	OverBackendRate uint64
	Expired         uint64
	OnTarget        uint64 // answers within AnswerWithin, waiting included
	// LatencyRatio is the recent high latency over AnswerWithin; above one the
	// class misses its latency target.
	LatencyRatio float64
}
