package load

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FaultCounts are what a fault came to under one set of policies.
type FaultCounts struct {
	// Sent counts calls; a resend of a call is the same call.
	Sent int `json:"sent"`
	// Answered counts calls with a whole answer of their own.
	Answered int `json:"answered"`
	// Lost counts calls whose caller was told of success although nothing
	// ran, and idempotent or keyed calls whose last sending got no answer, no
	// refusal and no word that they may have run.
	Lost int `json:"lost"`
	// Doubled counts calls that are not idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// Partial counts answers that ended cleanly and were not whole, or
	// another call's.
	Partial int `json:"partial"`
	// FalseNotRun counts calls that ran although all that their caller was
	// ever told is that they were not run.
	FalseNotRun int `json:"false_not_run"`
	// CutOff counts calls in flight that broke off during planned stops.
	CutOff int `json:"cut_off"`
	// AfterDrainS is how many seconds after its order to drain a backend
	// server got its last new request.
	AfterDrainS float64 `json:"after_drain_s"`

	// Refused, Unknown and Failed count the calls that were not answered, by
	// what their caller was told: not run, may have run, a server error of a
	// backend server.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// EndpointsDown counts backend servers that crashed.
	EndpointsDown int `json:"endpoints_down"`
	// LockedOut counts innocent calls that were refused as quarantined.
	LockedOut int   `json:"locked_out"`
	P99ms     int64 `json:"p99_ms"` // of the answered calls that are no downloads

	// notes tell of the calls that were not answered, one a line.
	notes []string
}

// broken reports whether a promise was broken.
func (c *FaultCounts) broken() bool { return c.promises() > 0 }

// tally collects what callers saw.
type tally struct {
	mu    sync.Mutex // guards calls
	calls []*seen
}

func (t *tally) add(s *seen) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, s)
}

// count sums up against the runs at the backend servers. planned says that the
// fault is a planned stop.
func (t *tally) count(runs map[string]int, planned bool) FaultCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c FaultCounts
	hist := newHistogram()
	for _, s := range t.calls {
		c.add(s, runs[s.call.id], planned, hist)
	}
	c.P99ms = hist.ValueAtQuantile(99) / int64(time.Millisecond/time.Microsecond)
	return c
}

func (c *FaultCounts) add(s *seen, runs int, planned bool, hist *hdrhistogram.Histogram) {
	k := s.call
	repeats := k.class.idempotent || k.class.keyed
	before := c.promises()
	c.Sent++
	c.Partial += s.partial
	if k.class.keyed && s.reused {
		// Another request under the key of a first one: the runs are the first's.
		c.Refused++
		return
	}
	switch {
	case s.answered:
		c.Answered++
		if k.class.query == "" {
			_ = hist.RecordValue(min(max(s.latency.Microseconds(), lowest), highest))
		}
	case s.unknown > 0 || s.broken+s.silent > 0:
		c.Unknown++
	case s.failed > 0:
		c.Failed++
	default:
		c.Refused++
	}
	if s.answered && runs == 0 || repeats && !s.answered && s.unanswered {
		c.Lost++
	}
	if !k.class.idempotent && runs > 1 {
		c.Doubled++
	}
	if runs > 0 && s.notRun > 0 && !s.answered && s.unknown+s.failed+s.broken+s.silent+s.partial == 0 {
		c.FalseNotRun++
	}
	if planned && (s.broken > 0 || s.unknown > 0 || s.silent > 0) {
		c.CutOff++
	}
	if s.locked && k.header == nil {
		c.LockedOut++
	}
	if !s.answered || before != c.promises() {
		c.notes = append(c.notes, s.String()+" runs="+strconv.Itoa(runs))
	}
}

// promises returns how many promises were broken.
func (c *FaultCounts) promises() int {
	return c.Lost + c.Doubled + c.Partial + c.FalseNotRun + c.CutOff
}

// String tells what the caller saw, for the notes of the report.
func (s *seen) String() string {
	return fmt.Sprintf("%s %s: sent=%d answered=%t not_run=%d%v unknown=%d failed=%d broken=%d silent=%d partial=%d after %s, began at %s",
		s.call.class.name, s.call.id, s.sendings, s.answered, s.notRun, s.reasons, s.unknown, s.failed,
		s.broken, s.silent, s.partial, s.latency.Round(time.Millisecond), s.began.Round(time.Millisecond))
}
