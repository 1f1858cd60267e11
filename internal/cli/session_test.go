package cli

import (
	"testing"
	"time"
)

// What an operator sees without it: with four servers and the default timeout of
// 10 s, each had 1.25 s for a handover. A node that waited 2 s for one that had
// just died was given up on, and so was every other: no handover at all.
func TestReadsAreGivenTime(t *testing.T) {
	for _, c := range []struct {
		whole   time.Duration
		servers int
		want    time.Duration
	}{
		{10 * time.Second, 1, 10 * time.Second},
		{10 * time.Second, 2, 5 * time.Second},
		{10 * time.Second, 4, 4 * time.Second},
		{time.Second, 4, time.Second},
	} {
		if got := readBound(c.whole, c.servers); got != c.want {
			t.Errorf("%s over %d servers: %s, want %s", c.whole, c.servers, got, c.want)
		}
	}
}

// What an operator sees without it: with two servers and the default timeout each
// had 2.5 s for a change. A platform that came back empty makes a node refuse it as
// older-head, after reading the head again for about as long; the command line gave
// up before the answer and told the operator that the outcome was unknown.
func TestWritesAreGivenTime(t *testing.T) {
	for _, c := range []struct {
		whole   time.Duration
		servers int
		want    time.Duration
	}{
		{10 * time.Second, 1, 5 * time.Second},
		{10 * time.Second, 2, 4 * time.Second},
		{10 * time.Second, 4, 4 * time.Second},
		{20 * time.Second, 2, 5 * time.Second},
		{2 * time.Second, 4, time.Second},
	} {
		if got := writeBound(c.whole, c.servers); got != c.want {
			t.Errorf("%s over %d servers: %s, want %s", c.whole, c.servers, got, c.want)
		}
	}
}
