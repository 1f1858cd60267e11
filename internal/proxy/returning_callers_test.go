package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/quarantine"
)

var refusedAt = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newRefusedCall(n byte, t *config.Target) *entryCall {
	return &entryCall{fp: quarantine.Fingerprint{7: n}, firstAttempt: refusedAt, start: refusedAt, deadline: refusedAt.Add(t.Timeout()), target: t}
}

// A refused caller retries after Retry-After. Its waiting time must count once, and not for the next
// caller that sends the same request.
func TestReturningCallerIsRecognised(t *testing.T) {
	var r returningCallers
	c := newRefusedCall(1, &config.Target{Name: "previews", TimeoutMS: 2000})
	r.recordRefusal(refusedAt, c, &call.Refusal{RetryAfter: time.Second})
	back := refusedAt.Add(1100 * time.Millisecond)
	if got := r.firstAttempt(back, quarantine.Fingerprint{7: 2}); !got.Equal(back) {
		t.Errorf("first attempt of another caller at %v", got)
	}
	if got := r.firstAttempt(back, c.fp); !got.Equal(refusedAt) {
		t.Errorf("first attempt of the caller at %v, want %v", got, refusedAt)
	}
	if got := r.firstAttempt(back, c.fp); !got.Equal(back) {
		t.Errorf("first attempt of the next caller at %v", got)
	}
	r.recordRefusal(refusedAt, c, &call.Refusal{RetryAfter: time.Second})
	late := refusedAt.Add(time.Minute)
	if got := r.firstAttempt(late, c.fp); !got.Equal(late) {
		t.Errorf("first attempt of a caller a minute later at %v", got)
	}
}

// Calls that backend servers make while serving another call are not retried after a refusal. The node
// must recognise such classes by their missing retries, and only from refusals old enough to be
// decided.
func TestOneShotCallsAreRecognised(t *testing.T) {
	var r returningCallers
	previews := &config.Target{Name: "previews", TimeoutMS: 2000}
	lookups := &config.Target{Name: "lookups", TimeoutMS: 600}
	now := refusedAt
	for i := range byte(40) {
		now = now.Add(100 * time.Millisecond)
		for n, target := range []*config.Target{previews, lookups} {
			c := newRefusedCall(2*i+byte(n), target)
			c.firstAttempt, c.start = now, now
			c.deadline = now.Add(target.Timeout() - time.Millisecond) // the caller's own
			r.recordRefusal(now, c, &call.Refusal{RetryAfter: time.Second})
			if i < 4 && r.oneShot(target.Name) {
				t.Fatalf("%s are rated one-shot before a retry was possible", target.Name)
			}
		}
		if i >= 11 { // previews are retried after 1.1 s
			r.firstAttempt(now, quarantine.Fingerprint{7: 2 * (i - 11)})
		}
	}
	if r.oneShot("previews") || !r.oneShot("lookups") {
		t.Errorf("one-shot: previews %v, lookups %v", r.oneShot("previews"), r.oneShot("lookups"))
	}
}

// recordingGate sends the options of each call to the channel. It refuses the first call and admits
// the others.
type recordingGate chan limit.AcquireOptions

func (g recordingGate) Acquire(_ context.Context, _ Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	g <- times
	if len(g) == 1 {
		return nil, &call.Refusal{Reason: call.ReasonOverloaded, RetryAfter: 30 * time.Millisecond}
	}
	return noPermit{}, nil
}

type noPermit struct{}

func (noPermit) Release(limit.Result) {}

// A refused caller retries. The destination, on another VM, must receive the time since the caller's
// first attempt.
func TestDestinationReceivesWaitingTime(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.useOnly(0)
	seen := make(recordingGate, 2)
	m.dest[0].Gates = seen
	m.entry.Retrier = RetryUpTo(1)
	resp, _, err := m.call("GET", "/lookup", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v", resp, err)
	}
	time.Sleep(4 * minWaited)
	if resp, _, err = m.call("GET", "/lookup", ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	first, second := <-seen, <-seen
	if waited := second.Deadline.Sub(second.FirstAttempt) - first.Deadline.Sub(first.FirstAttempt); waited < 2*minWaited {
		t.Errorf("the destination counts %v more waiting time for the retry", waited)
	}
}
