package query

import (
	"maps"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// ClassState says whether a class of work meets its target.
type ClassState string

// States of a class.
const (
	ClassMet     ClassState = "met"
	ClassMissed  ClassState = "missed"
	ClassNoAim   ClassState = "no-aim"   // its target states no answer time
	ClassNoCalls ClassState = "no-calls" // nothing to measure by
)

// ClassReport is what the meters of a class tell about a recent period, over
// all nodes that reported.
type ClassReport struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Calls is the number of calls answered, Failed how many of them were
	// server errors or cut off, Within how many were good and within AimMS, and
	// Shed how many were refused.
	Calls  uint64            `json:"calls"`
	Failed uint64            `json:"failed"`
	Within uint64            `json:"within"`
	Shed   uint64            `json:"shed"`
	ShedBy map[string]uint64 `json:"shed_by,omitempty"` // by reason
	P50MS  float64           `json:"p50_ms"`
	P99MS  float64           `json:"p99_ms"`
	// AimMS and Percentile are what the target asks for, and MeasuredMS the
	// latency at Percentile.
	AimMS      int64   `json:"aim_ms,omitempty"`
	Percentile float64 `json:"percentile,omitempty"`
	MeasuredMS float64 `json:"measured_ms"`
	// WithinPercent is the percentage of calls answered within AimMS.
	WithinPercent float64    `json:"within_percent"`
	State         ClassState `json:"state"`
	Nodes         int        `json:"nodes"` // how many nodes counted calls of it
}

// ClassCounts is what a node's meter of one class has counted.
type ClassCounts struct {
	Calls, Failed, Within uint64
	ShedBy                map[string]uint64
	Latency               Histogram
}

func (c ClassCounts) shed() uint64 {
	var n uint64
	for _, calls := range c.ShedBy {
		n += calls
	}
	return n
}

// add returns the counts of both. All of them add up exactly.
func (c ClassCounts) add(o ClassCounts) ClassCounts {
	sum := ClassCounts{
		Calls: c.Calls + o.Calls, Failed: c.Failed + o.Failed, Within: c.Within + o.Within,
		ShedBy: maps.Clone(c.ShedBy), Latency: c.Latency.Add(o.Latency),
	}
	if sum.ShedBy == nil {
		sum.ShedBy = make(map[string]uint64, len(o.ShedBy))
	}
	for why, calls := range o.ShedBy {
		sum.ShedBy[why] += calls
	}
	return sum
}

// NewClassReport compares the counts of one class at several nodes with the
// target. The state follows from counts alone, so it is exact.
func NewClassReport(t *config.Target, nodes ...ClassCounts) ClassReport {
	var c ClassCounts
	for _, n := range nodes {
		c = c.add(n)
	}
	r := ClassReport{
		Class: t.Name, Service: t.Service, Calls: c.Calls, Failed: c.Failed, Within: c.Within,
		Shed: c.shed(), ShedBy: c.ShedBy, AimMS: t.AnswerWithinMS, Nodes: len(nodes),
		P50MS: millis(c.Latency.Quantile(0.50)), P99MS: millis(c.Latency.Quantile(0.99)),
		MeasuredMS: millis(c.Latency.Quantile(t.PercentileOrDefault() / 100)),
	}
	if r.AimMS > 0 {
		r.Percentile = t.PercentileOrDefault()
	}
	r.judge()
	return r
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *ClassReport) judge() {
	r.WithinPercent = 0
	if r.Calls > 0 {
		r.WithinPercent = 100 * float64(r.Within) / float64(r.Calls)
	}
	switch {
	case r.AimMS == 0:
		r.State = ClassNoAim
	case r.Calls == 0:
		r.State = ClassNoCalls
	case r.WithinPercent >= r.Percentile:
		r.State = ClassMet
	default:
		r.State = ClassMissed
	}
}
