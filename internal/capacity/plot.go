package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotted are the lines that get a plot.
func plotted() []string {
	return []string{
		"idle-bytes", "alone-cpu", "idle-cpu", "change-bytes", "change-cpu", "force-time", "force-bytes", "reads", "storm", "alone-rss", "rss", "files",
		"connection", "pickers-time", "entry-cpu", "dest-cpu", "chain-p50", "chain-p99",
	}
}

// measured returns the lines that get a plot: those with at least one point.
func measured(lines []Line) []*Line {
	var out []*Line
	for _, id := range plotted() {
		if l := find(lines, id); len(l.Fit.Points) > 0 {
			out = append(out, l)
		}
	}
	return out
}

// plotLinks shows the plots on the page.
func plotLinks(_ *Raw, lines []Line) string {
	var b strings.Builder
	for _, l := range measured(lines) {
		fmt.Fprintf(&b, "![%s](%s/%s.svg)\n", l.Name, filepath.Base(defaultPlots), l.ID)
	}
	return b.String()
}

func writePlots(lines []Line, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, l := range measured(lines) {
		if err := writePlot(l, filepath.Join(folder, l.ID+".svg")); err != nil {
			return fmt.Errorf("capacity: plot %s: %w", l.ID, err)
		}
	}
	return nil
}

// writePlot draws the points, the line to the size that decides the design, and
// the goal and limit if they are near.
func writePlot(l *Line, path string) error {
	p := plot.New()
	p.Title.Text = l.Name
	p.Title.TextStyle.Font.Size = vg.Points(10)
	p.X.Label.Text = l.X
	p.Y.Label.Text = l.Unit
	p.Y.Min = 0
	var points plotter.XYs
	for _, q := range l.Fit.Points {
		points = append(points, plotter.XY{X: q.N, Y: q.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Shape = draw.CircleGlyph{}
	line := plotter.NewFunction(l.Fit.At)
	first := l.Fit.Points[0].N
	last := max(l.AtN, l.Fit.Largest())
	line.XMin, line.XMax, line.Samples = first, last, 400
	p.X.Min, p.X.Max = 0, last
	p.Y.Max = 1.15 * max(l.Fit.At(first), l.Fit.At(last), highest(l.Fit.Points))
	p.Add(plotter.NewGrid(), line, scatter)
	for _, b := range []float64{l.Goal, l.Limit} {
		if b > 0 && b < 4*p.Y.Max {
			mark := plotter.NewFunction(func(float64) float64 { return b })
			mark.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			mark.XMin, mark.XMax = 0, last
			p.Add(mark)
			p.Y.Max = max(p.Y.Max, 1.1*b)
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func highest(points []Point) float64 {
	y := 0.0
	for _, p := range points {
		y = max(y, p.Y)
	}
	return y
}
