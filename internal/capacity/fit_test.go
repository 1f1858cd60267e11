package capacity

import (
	"math"
	"testing"
)

func TestFitFindsTheLine(t *testing.T) {
	for _, m := range []Model{Linear, Shared, Logarithmic} {
		var points []Point
		for _, n := range []float64{12, 36, 108, 240} {
			points = append(points, Point{n, 3 + 5*m.of(n)})
		}
		f := NewFit(m, points)
		if near(f.A, 3) && near(f.B, 5) && near(f.Residual, 0) && near(f.Worst, 0) && near(f.Held, 0) && near(f.R2, 1) {
			continue
		}
		t.Errorf("%s: got %+v", m, f)
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// A cost that grows with the square of the size looks like a good line over
// small sizes: R² is above 0.9. Evaluated at five times the largest, the line
// is far too low. The miss of the largest size, left out of the fit, shows it.
func TestHeldShowsAWrongModel(t *testing.T) {
	var points []Point
	for _, n := range []float64{12, 36, 108, 240} {
		points = append(points, Point{n, n * n})
	}
	f := NewFit(Linear, points)
	if f.R2 < 0.9 || f.Held > -0.4 {
		t.Errorf("R² %.2f, held %.2f", f.R2, f.Held)
	}
	l := Line{Fit: f, AtN: 1200}
	if len(l.Doubts()) != 2 || l.Reach() != 5 {
		t.Errorf("doubts: %q, reach %v", l.Doubts(), l.Reach())
	}
}

func TestFitOfFewPoints(t *testing.T) {
	if f := NewFit(Linear, nil); f.At(7) != 0 || !math.IsNaN(f.Held) {
		t.Errorf("no points: %+v", f)
	}
	if f := NewFit(Linear, []Point{{4, 9}}); f.At(7) != 9 || !math.IsNaN(f.Held) {
		t.Errorf("one point: %+v", f)
	}
}

func TestBetween(t *testing.T) {
	points := []Point{{10, 1}, {20, 2}, {40, 6}}
	for _, test := range []Point{{10, 1}, {15, 1.5}, {30, 4}, {50, 8}, {0, 0}} {
		if got := between(points, test.N); !near(got, test.Y) {
			t.Errorf("at %v: %v, want %v", test.N, got, test.Y)
		}
	}
}

func TestVerdict(t *testing.T) {
	for _, test := range []struct {
		value, goal, limit float64
		want               Verdict
	}{
		{1, 2, 3, Fits}, {2.5, 2, 3, OverGoal}, {4, 2, 3, OverLimit}, {4, 0, 3, OverLimit}, {4, 0, 0, NoBound},
	} {
		l := Line{Fit: NewFit(Linear, []Point{{1, test.value}}), Goal: test.goal, Limit: test.limit}
		if got := l.Verdict(); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

func TestNoVerdictOnScatter(t *testing.T) {
	l := Line{Fit: NewFit(Linear, []Point{{1, 1}, {2, 50}, {3, -40}, {4, 9}}), AtN: 4, Limit: 1000}
	if got := l.Verdict(); got != Unproved {
		t.Errorf("got %s", got)
	}
}

func TestMediansTakeEachSizeOnce(t *testing.T) {
	list := []Point{{36, 9}, {12, 1}, {36, 5}, {36, 700}, {12, 3}}
	got := medians(list, all[Point], func(p *Point) Point { return *p })
	if len(got) != 2 || got[0] != (Point{12, 2}) || got[1] != (Point{36, 9}) {
		t.Errorf("got %v", got)
	}
}
