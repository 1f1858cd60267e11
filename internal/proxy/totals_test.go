package proxy

import (
	"math"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

func TestTotals(t *testing.T) {
	m := NewMeters()
	c := m.Class(&config.Target{Name: "lookups", AnswerWithinMS: 10})
	now := time.Now()
	for _, d := range []time.Duration{0, 256 * time.Microsecond, 257 * time.Microsecond, 20 * time.Millisecond, time.Minute} {
		c.Answered(now, d, false)
	}
	c.Answered(now, time.Millisecond, true)
	c.Refused(now, call.ReasonOverloaded)
	c.Refused(now, call.ReasonOverloaded)
	got := m.Totals()[0]
	if got.Answered.Count != 6 || got.InTarget != 3 || got.Failed != 1 || got.Refused[call.ReasonOverloaded] != 2 {
		t.Errorf("%+v", got)
	}
	want := map[float64]uint64{0.000256: 2, 0.000512: 3, 0.001024: 4, 0.032768: 5, 33.554432: 5, math.Inf(1): 6}
	for _, b := range got.Answered.Buckets {
		if n, ok := want[b.UpperBound]; ok && n != b.Calls {
			t.Errorf("within %g s: %d, want %d", b.UpperBound, b.Calls, n)
		}
		delete(want, b.UpperBound)
	}
	if len(want) > 0 {
		t.Errorf("missing buckets %v", want)
	}
}
