package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxWait is the longest time for which a call waits for the answer of a collector.
const MaxWait = 200 * time.Millisecond

// Hold bounds the calls that one node admits until its next answer, for a workspace near its quota.
type Hold struct {
	// Calls is the node's part of the tolerance: calls beyond the foreseen ones.
	Calls float64
	// Foreseen is the fraction of the node's average rate that it may admit, above 1 in a surge.
	Foreseen float64
	// Granted is how many of the waiting calls may pass.
	Granted int
}

// Verdict is the decision on one call.
type Verdict int

const (
	// Refused means that the workspace is over its quota.
	Refused Verdict = iota
	// Waiting means that only the next answer of a collector decides.
	Waiting
	// Admitted means that the call may run.
	Admitted
)

// holdState is the bound on the calls of one workspace at a node.
type holdState struct {
	on      atomic.Bool
	waiting atomic.Int64

	mu       sync.Mutex
	tokens   float64 // calls that may pass, as of filledAt
	rate     float64 // calls per second by which tokens grow
	filledAt int64   // in nanoseconds since 1970
	// reportedAt and reported are the time of the last report and the calls admitted until then.
	reportedAt, reported int64
}

func (h *holdState) active() bool { return h.on.Load() }

// admit takes a token if there is one, and else counts the call as waiting.
func (h *holdState) admit(now int64) bool {
	if !h.on.Load() || h.take(now) {
		return true
	}
	h.waiting.Add(1)
	return false
}

func (h *holdState) take(now int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fill(now)
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

func (h *holdState) fill(now int64) {
	if now > h.filledAt {
		h.tokens += h.rate * time.Duration(now-h.filledAt).Seconds()
		h.filledAt = now
	}
}

func (h *holdState) leave() { h.waiting.Add(-1) }

// report returns the admitted and the waiting calls, and remembers what was reported.
func (h *holdState) report(now time.Time, admitted *atomic.Int64) (reported int64, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedAt, h.reported = now.UnixNano(), admitted.Load()
	return h.reported, int(h.waiting.Load())
}

// apply puts the bound of an answer in force. Calls admitted since the report are not known to the
// collector, so they count against the new bound.
func (h *holdState) apply(bound *Hold, averageRate float64, admitted int64) {
	if bound == nil {
		h.on.Store(false)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = bound.Calls + float64(bound.Granted) - float64(admitted-h.reported)
	h.rate, h.filledAt = bound.Foreseen*averageRate, h.reportedAt
	h.on.Store(true)
}

// Ask counts a call of a workspace and decides on it; overdue says that the call can't be in time any
// more. A waiting call has to call AskAgain after each answer, until it is admitted or calls Leave.
func (l *Limiter) Ask(now time.Time, workspace string, overdue bool) Verdict {
	return l.ask(now.UnixNano(), l.meter(workspace), overdue)
}

// AskAgain decides on a waiting call. It returns Waiting or Admitted.
func (l *Limiter) AskAgain(now time.Time, workspace string) Verdict {
	m := l.meter(workspace)
	if m.hold.active() && !m.hold.take(now.UnixNano()) {
		l.reportEarly()
		return Waiting
	}
	m.hold.leave()
	m.admitted.Add(1)
	return Admitted
}

// Leave ends the wait of a call that was not admitted.
func (l *Limiter) Leave(workspace string) { l.meter(workspace).hold.leave() }

// Applied returns a channel that is closed with the next answer.
func (l *Limiter) Applied() <-chan struct{} { return l.applied.wait() }

// broadcast wakes all that wait for an event.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{} // nil while nobody waits
}

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
