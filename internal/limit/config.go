// Package limit decides, at the destination node, which calls a backend server
// runs now, which wait and which are refused.
//
// There is one Gate for each backend server. It holds a limit on the calls that
// run at once, which starts at the slots that the backend server announces and
// falls when the backend server proves slower under load than when nearly idle.
// Each class of work has a queue of its own, bounded in number and by the wait
// that is predicted for a newcomer. A class that holds its share of the slots
// gives way to the others as slots become free; no running call is ever stopped
// for another. Work whose deadline has passed is refused before it runs.
//
// Queue makes the decisions. It takes no lock, starts no goroutine and is told
// the time. Gate adds the lock and the waiting.
package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Class is one class of work as a Gate knows it.
type Class struct {
	Name string
	// Share is the part of the slots that the class may hold while other
	// classes wait; zero means no bound.
	Share float64
	// Priority is config.MinPriority (first to give way) to
	// config.MaxPriority; zero means config.DefaultPriority.
	Priority int
	// AnswerWithin is the answer time aimed at; zero means none.
	AnswerWithin time.Duration
	// RatePerSecond bounds the calls of the class at this backend server;
	// zero means no bound. RatePerBackend gives it from a bound on the whole mesh.
	RatePerSecond float64
}

// Config is what a Gate is told of its backend server and of the classes that
// call it.
type Config struct {
	// Slots is how many calls the backend server says that it runs at once.
	Slots int
	// Classes are the classes of the backend server's service.
	Classes []Class
	// MaxWaiting bounds the calls that wait; zero means
	// DefaultWaitingPerSlot for each slot.
	MaxWaiting int
}

// DefaultWaitingPerSlot bounds the queue where Config.MaxWaiting is zero.
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

// Result is how a call that held a permit ended.
type Result struct {
	// Latency is how long the backend server took.
	Latency time.Duration
	// Failed says that the call ended without an answer to measure by.
	Failed bool
	// Shed says that the backend server refused the call.
	Shed bool
}

// ClassStats is what a Gate knows of one class.
type ClassStats struct {
	Class   string
	Running int
	Waiting int
	// AllowedSlots is how many slots may be busy for the class to start a call.
	AllowedSlots int
	Started      uint64
	Done         uint64
	Refused      uint64
	Busy         uint64 // calls that were not to wait, and found no free slot
	OverRate     uint64
	Expired      uint64
	OnTarget     uint64 // answers within AnswerWithin, the wait included
	// LatencyRatio is the recent high latency over AnswerWithin; above one the
	// class misses its target.
	LatencyRatio float64
}
