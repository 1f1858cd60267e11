package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/marlpass/marlpass/internal/load/control"
)

// Line is one cost: what was measured, the line through it, and its value at
// the size that decides the design.
type Line struct {
	ID        string
	Name      string
	Unit      string
	Mechanism string // package and type that carry the cost
	Fit       Fit
	X         string  // what n counts
	AtN       float64 // the n of the size that decides the design
	Goal      float64 // none if zero
	Limit     float64 // none if zero
	Slope     bool    // the value is that of one more, not that at AtN
}

// Value is the line at the size that decides the design, NaN if nothing was
// measured.
func (l *Line) Value() float64 {
	switch {
	case len(l.Fit.Points) == 0:
		return math.NaN()
	case l.Slope:
		return l.Fit.B
	}
	return l.Fit.At(l.AtN)
}

// Bounds beyond which a line is named among those that do not fit.
const (
	poorResidual = 0.25 // of a point
	poorHeld     = 0.25 // of the largest point
	fewSizes     = 4
	noLine       = 0.5 // of a point; beyond it no verdict is given
)

// Verdict is what can be said of a line.
type Verdict string

// Verdicts.
const (
	Fits      Verdict = "fits"
	OverGoal  Verdict = "over the goal"
	OverLimit Verdict = "over the limit"
	NoBound   Verdict = "no bound is set"
	NotRun    Verdict = "not measured"
	Unproved  Verdict = "unproved"
)

// Verdict compares the line with its goal and limit.
func (l *Line) Verdict() Verdict {
	v := l.Value()
	switch {
	case len(l.Fit.Points) == 0:
		return NotRun
	case l.Fit.Worst > noLine && (l.Goal > 0 || l.Limit > 0):
		return Unproved
	case l.Limit > 0 && v > l.Limit:
		return OverLimit
	case l.Goal > 0 && v > l.Goal:
		return OverGoal
	case l.Limit == 0 && l.Goal == 0:
		return NoBound
	}
	return Fits
}

// Doubts says what speaks against the line itself.
func (l *Line) Doubts() []string {
	var out []string
	if n := len(l.Fit.Points); n < fewSizes {
		out = append(out, fmt.Sprintf("measured at %d sizes only", n))
	}
	if l.Fit.Worst > poorResidual {
		out = append(out, "it misses a point by "+percent(l.Fit.Worst))
	}
	if h := l.Fit.Held; h > poorHeld || h < -poorHeld {
		out = append(out, "fitted without the largest size, it misses that by "+percent(h))
	}
	return out
}

// Reach is how many times the largest measured size the line is evaluated at.
func (l *Line) Reach() float64 {
	if len(l.Fit.Points) == 0 || l.Slope {
		return math.NaN()
	}
	return l.AtN / l.Fit.Largest()
}

// medians returns the median of the figures at each size, in the order of the
// sizes.
func medians[T any](list []T, keep func(*T) bool, figure func(*T) Point) []Point {
	at := make(map[float64][]float64)
	for i := range list {
		if keep(&list[i]) {
			p := figure(&list[i])
			at[p.N] = append(at[p.N], p.Y)
		}
	}
	var out []Point
	for n, ys := range at {
		out = append(out, Point{N: n, Y: median(ys)})
	}
	slices.SortFunc(out, func(a, b Point) int { return int(a.N) - int(b.N) })
	return out
}

func all[T any](*T) bool { return true }

// restPoints returns a figure of the meshes of a profile at rest.
func (r *Raw) restPoints(profile string, f func(*MeshPoint) float64) []Point {
	return medians(r.Mesh,
		func(p *MeshPoint) bool { return p.Profile == profile && !p.burst() },
		func(p *MeshPoint) Point { return Point{float64(p.Nodes), f(p)} })
}

// spreadPoints returns a figure of the meshes that marlpass-load's measurement
// of spreading was run on.
func (r *Raw) spreadPoints(profile string, f func(*control.SpreadReport) float64) []Point {
	return medians(r.Spreads,
		func(p *SpreadPoint) bool { return p.Report.Profile == profile },
		func(p *SpreadPoint) Point { return Point{float64(p.Report.Nodes), f(&p.Report)} })
}

// stormPoints returns a figure of the storms.
func (r *Raw) stormPoints(f func(*control.StormReport) float64) []Point {
	return medians(r.Storms, all[StormPoint],
		func(p *StormPoint) Point { return Point{float64(p.Report.Nodes), f(&p.Report)} })
}

// burstPoints returns a figure of the meshes of one size with changes made
// before, by the files that a node has open.
func (r *Raw) burstPoints(f func(*MeshPoint) float64) []Point {
	return medians(r.Mesh,
		func(p *MeshPoint) bool { return p.Profile == timeProfile && p.Nodes == burstNodes },
		func(p *MeshPoint) Point { return Point{p.Files, f(p)} })
}

// benchPoints returns the figures in a unit of the benchmarks whose name is
// prefix/N.
func (r *Raw) benchPoints(prefix, unit string, scale float64) []Point {
	var out []Point
	for _, b := range r.Benches {
		size, ok := strings.CutPrefix(b.Name, prefix+"/")
		if !ok {
			continue
		}
		if v, ok := b.Value(unit); ok {
			out = append(out, Point{number([]byte(size)), v * scale})
		}
	}
	return out
}

// spreadBench returns a figure of BenchmarkSpread of a profile.
func (r *Raw) spreadBench(profile, unit string) []Point {
	var out []Point
	for _, b := range r.Benches {
		rest, ok := strings.CutPrefix(b.Name, "Spread/nodes=")
		nodes, name, _ := strings.Cut(rest, "/")
		if !ok || name != profile {
			continue
		}
		if v, ok := b.Value(unit); ok {
			out = append(out, Point{number([]byte(nodes)), v})
		}
	}
	return out
}

// wayPoints returns a figure of one way of calls, by rate.
func (r *Raw) wayPoints(way string, f func(*CallPoint) float64) []Point {
	return medians(r.Calls,
		func(p *CallPoint) bool { return p.Way == way },
		func(p *CallPoint) Point { return Point{p.Rate, f(p)} })
}

// minus subtracts the figures of b from those of a at the same sizes.
func minus(a, b []Point) []Point {
	var out []Point
	for _, p := range a {
		for _, q := range b {
			if p.N == q.N {
				out = append(out, Point{p.N, p.Y - q.Y})
			}
		}
	}
	return out
}
