package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Archive pulls aim at 2.5 s and may take 4 s. Under twice the load they wait
// for a slot as their class allows, and the entry node cut them off after 2 s,
// half of their time, when they were running: callers saw 504, the slot's work
// was lost and the endpoint counted as failing.
func TestFirstAttemptOutlastsTheAnswerTimeOfItsClass(t *testing.T) {
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

// Callers of a slow lookup gave up, or its time passed, at two endpoints. The
// entry node took both for crashes and refused the lookup to everybody for three
// seconds as quarantined, though no backend server had crashed.
func TestOnlyBrokenConnectionsAreHeldAgainstARequest(t *testing.T) {
	for _, tt := range []struct {
		name string
		a    answer
		want bool
	}{
		{"broken here", answer{err: io.ErrUnexpectedEOF}, true},
		{"broken at the destination", answer{err: &unknownError{unknownLost}}, true},
		{"waited here", answer{err: errAnswerTimeout, expired: true}, false},
		{"waited at the destination", answer{err: &unknownError{unknownTimeout}}, false},
		{"broken by the bound", answer{err: io.ErrUnexpectedEOF, expired: true}, false},
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

// Bookings waited for a slot until their deadline. Their entry nodes gave up in
// the same moment and told the callers that the bookings may have run, which
// none had, so that none could be sent again.
func TestWaitEndsInTimeToTell(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct{ left, want time.Duration }{
		{time.Second, 980 * time.Millisecond},
		{160 * time.Millisecond, 140 * time.Millisecond},
		{80 * time.Millisecond, 70 * time.Millisecond},
		{0, 0},
	} {
		if got := latestStart(now, now.Add(tt.left)).Sub(now); got != tt.want {
			t.Errorf("%s left: waits %s, want %s", tt.left, got, tt.want)
		}
	}
}
