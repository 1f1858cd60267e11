package capacity

import (
	"slices"
	"strings"
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
	Virtual   bool    // from state machines in virtual time
}

// Value is the line at the size that decides the design.
func (l *Line) Value() float64 { return l.Fit.At(l.AtN) }

// Bounds beyond which a line is named among those that do not fit.
const (
	poorResidual = 0.25 // of a point
	poorHeld     = 0.25 // of the largest point
)

// Verdict is what can be said of a line.
type Verdict string

// Verdicts.
const (
	Fits      Verdict = "fits"
	OverGoal  Verdict = "over the goal"
	OverLimit Verdict = "over the limit"
	NoBound   Verdict = "no bound is set"
)

// Verdict compares the line with its goal and limit.
func (l *Line) Verdict() Verdict {
	v := l.Value()
	switch {
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
	if l.Fit.Worst > poorResidual {
		out = append(out, "it misses a point by "+percent(l.Fit.Worst))
	}
	if h := l.Fit.Held; h > poorHeld || h < -poorHeld {
		out = append(out, "fitted without the largest size, it misses that by "+percent(h))
	}
	if l.AtN > 2*l.Fit.Largest() {
		out = append(out, "the size is "+number3(l.AtN/l.Fit.Largest())+" times the largest measured")
	}
	return out
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

// meshPoints returns a figure of the meshes of a profile.
func (r *Raw) meshPoints(profile string, f func(*MeshPoint) float64) []Point {
	return medians(r.Mesh,
		func(p *MeshPoint) bool { return p.Profile == profile && p.Prior == 0 },
		func(p *MeshPoint) Point { return Point{float64(p.Nodes), f(p)} })
}

// burstPoints returns a figure of the meshes with changes made before, by the
// files that a node has open.
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
