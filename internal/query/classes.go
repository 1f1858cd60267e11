package query

import (
	"slices"
	"strings"

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

// ClassReport is what the meters of a class tell about a recent period.
type ClassReport struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Calls is the number of calls answered, Within how many of them were
	// answered within AimMS, and Shed how many were refused.
	Calls  uint64  `json:"calls"`
	Within uint64  `json:"within"`
	Shed   uint64  `json:"shed"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	// AimMS and Percentile are what the target asks for.
	AimMS      int64   `json:"aim_ms,omitempty"`
	Percentile float64 `json:"percentile,omitempty"`
	// WithinPercent is the percentage of calls answered within AimMS.
	WithinPercent float64    `json:"within_percent"`
	State         ClassState `json:"state"`
	Nodes         int        `json:"nodes"` // how many nodes' meters are in it
}

// ClassCounts is what a node's meter of one class has counted.
type ClassCounts struct {
	Calls, Within, Shed uint64
	P50MS, P99MS        float64
}

// NewClassReport compares counts with the target.
func NewClassReport(t *config.Target, c ClassCounts) ClassReport {
	r := ClassReport{
		Class: t.Name, Service: t.Service, Calls: c.Calls, Within: c.Within, Shed: c.Shed,
		P50MS: c.P50MS, P99MS: c.P99MS, AimMS: t.AnswerWithinMS, Nodes: 1,
	}
	if r.AimMS > 0 {
		r.Percentile = t.PercentileOrDefault()
	}
	r.judge()
	return r
}

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

// MergeClasses adds up the reports of several nodes by class. Counts add up
// exactly, and so the state is exact; of the quantiles the worst node's is
// kept, which is an upper bound. Aims are taken from the first report.
func MergeClasses(nodes ...[]ClassReport) []ClassReport {
	at := make(map[string]int)
	out := []ClassReport{}
	for _, reports := range nodes {
		for _, r := range reports {
			i, ok := at[r.Class]
			if !ok {
				at[r.Class] = len(out)
				out = append(out, r)
				continue
			}
			out[i].add(r)
		}
	}
	slices.SortFunc(out, func(a, b ClassReport) int { return strings.Compare(a.Class, b.Class) })
	return out
}

func (r *ClassReport) add(o ClassReport) {
	r.Calls += o.Calls
	r.Within += o.Within
	r.Shed += o.Shed
	r.P50MS = max(r.P50MS, o.P50MS)
	r.P99MS = max(r.P99MS, o.P99MS)
	r.Nodes += o.Nodes
	r.judge()
}
