package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Model says how a cost depends on a size. It comes from the mechanism that
// carries the cost, not from the figures.
type Model string

// Models.
const (
	// Linear is a + b·n: each of n things adds its part.
	Linear Model = "a + b·n"
	// Shared is a + b/n: a cost of the whole that n nodes share.
	Shared Model = "a + b/n"
	// Logarithmic is a + b·log2 n: one step more for twice the size.
	Logarithmic Model = "a + b·log2 n"
)

// of returns what b is multiplied with.
func (m Model) of(n float64) float64 {
	switch m {
	case Shared:
		return 1 / n
	case Logarithmic:
		return math.Log2(n)
	}
	return n
}

// Point is one measured figure.
type Point struct{ N, Y float64 }

// Fit is a model with its two parameters, by least squares.
type Fit struct {
	Model    Model
	Points   []Point
	A, B     float64
	Residual float64 // standard deviation of the points from the line
	Worst    float64 // largest deviation, as a part of the point
	R2       float64
	// Held is by how much the line misses the largest point when it is fitted
	// to the others, as a part of that point. It is the test of the line
	// beyond what it was fitted to. NaN with fewer than three sizes.
	Held float64
}

// NewFit fits a model to points.
func NewFit(m Model, points []Point) Fit {
	f := Fit{Model: m, Points: points, Held: math.NaN()}
	if len(points) == 0 {
		return f
	}
	f.A, f.B = regress(m, points)
	var xs, ys []float64
	var squares float64
	for _, p := range points {
		d := f.At(p.N) - p.Y
		squares += d * d
		if p.Y != 0 {
			f.Worst = max(f.Worst, math.Abs(d/p.Y))
		}
		xs, ys = append(xs, m.of(p.N)), append(ys, p.Y)
	}
	f.Residual = math.Sqrt(squares / float64(max(len(points)-2, 1)))
	f.R2 = stat.RSquared(xs, ys, nil, f.A, f.B)
	f.hold()
	return f
}

// hold fits the line again without the points of the largest size.
func (f *Fit) hold() {
	largest := 0.0
	for _, p := range f.Points {
		largest = max(largest, p.N)
	}
	var kept, left []Point
	sizes := make(map[float64]bool)
	for _, p := range f.Points {
		if p.N == largest {
			left = append(left, p)
			continue
		}
		kept = append(kept, p)
		sizes[p.N] = true
	}
	if len(sizes) < 2 {
		return
	}
	a, b := regress(f.Model, kept)
	var measured float64
	for _, p := range left {
		measured += p.Y / float64(len(left))
	}
	if measured != 0 {
		f.Held = (a + b*f.Model.of(largest) - measured) / measured
	}
}

func regress(m Model, points []Point) (a, b float64) {
	if len(points) == 1 {
		return points[0].Y, 0
	}
	var xs, ys []float64
	for _, p := range points {
		xs, ys = append(xs, m.of(p.N)), append(ys, p.Y)
	}
	return stat.LinearRegression(xs, ys, nil, false)
}

// At evaluates the line.
func (f *Fit) At(n float64) float64 { return f.A + f.B*f.Model.of(n) }

// Largest returns the largest size that was measured.
func (f *Fit) Largest() float64 {
	largest := 0.0
	for _, p := range f.Points {
		largest = max(largest, p.N)
	}
	return largest
}
