package query

import (
	"slices"
	"testing"
	"time"
)

func TestHistogramsAddUp(t *testing.T) {
	a := Histogram{{ms(10), 98}, {ms(20), 1}}
	b := Histogram{{ms(5), 1}, {ms(20), 2}, {ms(900), 1}}
	sum := a.Add(b)
	if !slices.Equal(sum, Histogram{{ms(5), 1}, {ms(10), 98}, {ms(20), 3}, {ms(900), 1}}) {
		t.Fatalf("%v", sum)
	}
	for q, want := range map[float64]time.Duration{0: ms(5), 0.5: ms(10), 0.99: ms(20), 0.995: ms(900), 1: ms(900)} {
		if got := sum.Quantile(q); got != want {
			t.Errorf("quantile %g: %v, want %v", q, got, want)
		}
	}
	if got := (Histogram{}).Quantile(0.99); got != 0 {
		t.Errorf("of nothing: %v", got)
	}
}

// A coarse bound may say that answers took longer than they did, by a quarter
// at most, and never that they were quicker.
func TestCoarseBounds(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for us := int64(0); us < 1<<32; us += 1 + us/50 {
		d := time.Duration(us) * time.Microsecond
		got := coarse(d)
		if got < d || got > d+d/4 {
			t.Fatalf("%v became %v", d, got)
		}
		if coarse(got) != got {
			t.Fatalf("%v is rounded again, to %v", got, coarse(got))
		}
		seen[got] = true
	}
	if len(seen) > 128 {
		t.Errorf("%d bounds", len(seen))
	}
	h := Histogram{{ms(100), 1}, {ms(101), 2}}.Coarse()
	if len(h) != 1 || h[0].Calls != 3 {
		t.Errorf("%v", h)
	}
}
