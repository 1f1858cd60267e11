// Package decisions writes one log line for each decision that touches a call,
// within a bound on how many of each kind there may be a second. What is left out
// is counted and told.
package decisions

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/telemetry"
)

// Kind is what was decided. It stands in each line as "decision".
type Kind string

// Kinds of decision. The entry node is the one that a caller sent its call to,
// the destination the one beside the backend server.
const (
	Refused  Kind = "refused"  // the entry node told the caller that the call was not run
	Unknown  Kind = "unknown"  // the entry node told the caller that the call may have run
	Retried  Kind = "retried"  // the entry node sends the call to another endpoint
	Late     Kind = "late"     // the answer came after the class's answer time
	Failed   Kind = "failed"   // the backend server's own failure was passed on
	Cut      Kind = "cut"      // the answer broke off, or its caller left
	TurnedBy Kind = "turned"   // the destination node turned the call away
	Waited   Kind = "waited"   // the destination node let the call wait for a slot
	Declined Kind = "declined" // the destination node declined a call that would run slowly there
	Dropped  Kind = "dropped"  // the backend server gave no answer that can be passed on
	// Advertised tells of a backend server, not of a call: its rate limit begins, changes or ends,
	// or it leaves.
	Advertised Kind = "advertised"
	Summary    Kind = "summary" // counts of what needed no line
)

// kinds lists those whose lines are bounded.
var kinds = []Kind{Refused, Unknown, Retried, Late, Failed, Cut, TurnedBy, Waited, Declined, Dropped, Advertised}

// PerSecond is how many lines of a kind are written a second. A node of a third
// of a core spends some 20 microseconds on a line, so that all kinds together stay
// below 0.4% of a core.
const PerSecond = 20

// SummaryEvery is the time between two summaries.
const SummaryEvery = 5 * time.Second

// Log writes decisions. A nil Log writes nothing. It is safe for concurrent use.
type Log struct {
	out zerolog.Logger

	mu      sync.Mutex // guards what follows
	written map[Kind]*window
	answers map[answerKey]uint64
	lost    func() uint64
}

// window counts the lines of one kind in one second.
type window struct {
	second  int64
	lines   int
	leftOut uint64
}

type answerKey struct{ class, endpoint string }

// New returns a log that writes to out. Lost tells how many lines the writer below
// has dropped; it may be nil.
func New(out zerolog.Logger, lost func() uint64) *Log {
	l := &Log{out: out, written: make(map[Kind]*window), answers: make(map[answerKey]uint64), lost: lost}
	for _, k := range kinds {
		l.written[k] = new(window)
	}
	return l
}

// Line begins a line about the call id, which is shortened if it is long, or returns nil, on which all methods do
// nothing, when this second's lines of the kind are used up.
func (l *Log) Line(now time.Time, k Kind, id string) *zerolog.Event {
	if l == nil || !l.take(now.Unix(), k) {
		return nil
	}
	return l.out.Info().Str("decision", string(k)).Str("call", telemetry.Label(id))
}

func (l *Log) take(second int64, k Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.written[k]
	if w.second != second {
		w.second, w.lines = second, 0
	}
	if w.lines >= PerSecond {
		w.leftOut++
		return false
	}
	w.lines++
	return true
}

// Answered counts a call that was answered as it should be.
func (l *Log) Answered(class, endpoint string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[answerKey{class, endpoint}]++
}

// Summarise writes what was counted since the last time.
func (l *Log) Summarise() {
	l.mu.Lock()
	answers := l.answers
	l.answers = make(map[answerKey]uint64, len(answers))
	leftOut := zerolog.Dict()
	total := uint64(0)
	for _, k := range kinds {
		if w := l.written[k]; w.leftOut > 0 {
			leftOut.Uint64(string(k), w.leftOut)
			total += w.leftOut
			w.leftOut = 0
		}
	}
	l.mu.Unlock()
	for k, n := range answers {
		l.out.Info().Str("decision", string(Summary)).Str("class", k.class).Str("endpoint", k.endpoint).
			Uint64("answered", n).Msg("calls: answered as they should be")
	}
	if total > 0 {
		l.out.Warn().Str("decision", string(Summary)).Dict("left_out", leftOut).Msg("calls: more decisions than lines")
	}
	if l.lost == nil {
		return
	}
	if n := l.lost(); n > 0 {
		l.out.Warn().Str("decision", string(Summary)).Uint64("lost", n).Msg("calls: lines were lost, the reader of the log is too slow")
	}
}
