package proxy

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

func TestBuckets(t *testing.T) {
	last := -1
	for us := int64(0); us < 1<<22; us += 1 + us/64 {
		d := time.Duration(us) * time.Microsecond
		i := bucketOf(d)
		if i < last {
			t.Fatalf("%v: bucket %d after %d", d, i, last)
		}
		last = i
		up := bucketUpperBound(i)
		if up < d || up > d+d/subBuckets+time.Microsecond {
			t.Fatalf("%v: the bound of its bucket is %v", d, up)
		}
	}
	if i := bucketOf(100 * time.Hour); i != buckets-1 {
		t.Fatalf("too long: bucket %d of %d", i, buckets)
	}
}

func TestClassStats(t *testing.T) {
	m := NewMeters()
	target := lookups()
	target.AnswerWithinMS = 50
	now := time.Unix(1_000_000, 0)
	c := m.Class(target)
	for i := range 100 {
		c.Answered(now, time.Duration(i+1)*time.Millisecond, i == 0)
	}
	c.Refused(now, call.ReasonOverloaded)
	f := m.Stats(now)[0]
	if f.Answered != 100 || f.Failed != 1 || f.InTarget != 49 || f.Refused[call.ReasonOverloaded] != 1 {
		t.Fatalf("got %+v", f)
	}
	if f.P50 < 50*time.Millisecond || f.P50 > 54*time.Millisecond || f.P99 < 99*time.Millisecond {
		t.Fatalf("p50 %v, p99 %v", f.P50, f.P99)
	}
	var calls uint64
	for i, l := range f.Latency {
		calls += l.Calls
		if l.Calls == 0 || i > 0 && l.AtMost <= f.Latency[i-1].AtMost {
			t.Fatalf("latency %v", f.Latency)
		}
	}
	if last := f.Latency[len(f.Latency)-1].AtMost; calls != 100 || last < 100*time.Millisecond {
		t.Fatalf("%d calls in the histogram, up to %v", calls, last)
	}
	// After a minute the counts are gone, and the windows are reused.
	later := now.Add(windowCount * windowLength)
	if f := m.Stats(later)[0]; f.Answered != 0 || len(f.Refused) != 0 {
		t.Fatalf("a minute later: %+v", f)
	}
	c.Answered(later, time.Millisecond, false)
	if f := m.Stats(later)[0]; f.Answered != 1 {
		t.Fatalf("used again: %+v", f)
	}
}
