package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Guards against an attempt timeout below the latency target of the class: under overload, calls with
// a target of 2.5 s and a deadline of 4 s were cut off after 2 s while running, callers got 504 and the
// endpoint counted as failing.
func TestFirstAttemptTimeoutCoversLatencyTarget(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name       string
		idempotent bool
		within     time.Duration
		attempt    int
		want       time.Duration
	}{
		{"half is enough", true, time.Second, 1, 2 * time.Second},
		{"half is too short", true, 2400 * time.Millisecond, 1, 3600 * time.Millisecond},
		{"later than the deadline", true, time.Minute, 1, 4 * time.Second},
		{"no answer time", true, 0, 1, 2 * time.Second},
		{"second attempt", true, time.Second, 2, 4 * time.Second},
		{"not idempotent", false, time.Second, 1, 4 * time.Second},
	} {
		c := &entryCall{attempts: tt.attempt, deadline: now.Add(4 * time.Second), target: &config.Target{
			Idempotent: tt.idempotent, AnswerWithinMS: tt.within.Milliseconds(),
		}}
		if got := new(Entry).attemptTimeout(c, now); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// Guards against cancellations and timeouts that count as crashes: a slow request was quarantined for
// three seconds for all callers although no backend server had crashed.
func TestOnlyBrokenConnectionsCountAsCrashes(t *testing.T) {
	for _, tt := range []struct {
		name string
		a    answer
		want bool
	}{
		{"broken here", answer{err: io.ErrUnexpectedEOF}, true},
		{"broken at the destination", answer{err: &unknownError{unknownLost}}, true},
		{"timed out here", answer{err: errAnswerTimeout, expired: true}, false},
		{"timed out at the destination", answer{err: &unknownError{unknownTimeout}}, false},
		{"broken by the timeout", answer{err: io.ErrUnexpectedEOF, expired: true}, false},
		{"caller left", answer{err: context.Canceled}, false},
		{"key", answer{err: &unknownError{unknownKeyOutcome}}, false},
		{"refused", answer{refusal: refuse("overloaded", 0, "")}, false},
		{"answered", answer{resp: new(http.Response)}, false},
	} {
		if got := tt.a.connBroke(); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

// Guards against calls that queue until their deadline: their entry nodes time out at the same moment
// and answer "may have run" for calls that never ran and could have been retried.
func TestQueueingEndsBeforeDeadline(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct{ left, want time.Duration }{
		{time.Second, 980 * time.Millisecond},
		{160 * time.Millisecond, 140 * time.Millisecond},
		{80 * time.Millisecond, 70 * time.Millisecond},
		{0, 0},
	} {
		if got := latestStart(now, now.Add(tt.left)).Sub(now); got != tt.want {
			t.Errorf("%s left: queues for %s, want %s", tt.left, got, tt.want)
		}
	}
}
