package query

import (
	"cmp"
	"slices"
	"time"
)

// LatencyCount counts the answers that took at most AtMost and longer than the
// bound before it.
type LatencyCount struct {
	AtMost time.Duration
	Calls  uint64
}

// Histogram counts answers by latency, shortest first. Histograms of several
// nodes add up exactly, which quantiles do not.
type Histogram []LatencyCount

// Add returns the counts of both.
func (h Histogram) Add(o Histogram) Histogram {
	all := slices.Concat(h, o)
	slices.SortFunc(all, func(a, b LatencyCount) int { return cmp.Compare(a.AtMost, b.AtMost) })
	out := all[:0]
	for _, c := range all {
		if n := len(out); n > 0 && out[n-1].AtMost == c.AtMost {
			out[n-1].Calls += c.Calls
			continue
		}
		out = append(out, c)
	}
	return out
}

// Coarse returns the histogram with fewer bounds, none more than a quarter
// above those before. A node tells its histograms so: each class costs a few
// dozen bytes, whatever its latencies are.
func (h Histogram) Coarse() Histogram {
	out := make(Histogram, len(h))
	for i, c := range h {
		out[i] = LatencyCount{coarse(c.AtMost), c.Calls}
	}
	return out.Add(nil)
}

// coarseBits is how many leading bits of a bound are kept.
const coarseBits = 3

// coarse rounds a bound up to the next one whose microseconds, plus one, have
// coarseBits significant bits.
func coarse(d time.Duration) time.Duration {
	us := uint64(max(0, d.Microseconds())) + 1
	unit := uint64(1)
	for us>>coarseBits >= unit {
		unit <<= 1
	}
	return time.Duration((us+unit-1)/unit*unit-1) * time.Microsecond
}

// Quantile returns a bound that the share q of the answers does not exceed; 0
// without any.
func (h Histogram) Quantile(q float64) time.Duration {
	var total uint64
	for _, c := range h {
		total += c.Calls
	}
	rank := uint64(q * float64(total))
	var seen uint64
	for _, c := range h {
		seen += c.Calls
		if seen > rank || seen == total {
			return c.AtMost
		}
	}
	return 0
}
