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

func refusedCallOf(n byte, t *config.Target) *entryCall {
	return &entryCall{fp: quarantine.Fingerprint{7: n}, firstAttempt: refusedAt, start: refusedAt, deadline: refusedAt.Add(t.Timeout()), target: t}
}

// A caller is refused and comes back when it was told to. The time that it waited must
// count, once: the next caller who sends the same request has waited for nothing.
func TestReturningCallerIsKnown(t *testing.T) {
	var r returningCallers
	c := refusedCallOf(1, &config.Target{Name: "previews", TimeoutMS: 2000})
	r.recordRefusal(refusedAt, c, time.Second)
	back := refusedAt.Add(1100 * time.Millisecond)
	if got := r.firstAttempt(back, quarantine.Fingerprint{7: 2}); !got.Equal(back) {
		t.Errorf("another caller asked at %v", got)
	}
	if got := r.firstAttempt(back, c.fp); !got.Equal(refusedAt) {
		t.Errorf("the caller first asked at %v, want %v", got, refusedAt)
	}
	if got := r.firstAttempt(back, c.fp); !got.Equal(back) {
		t.Errorf("the next caller asked at %v", got)
	}
	r.recordRefusal(refusedAt, c, time.Second)
	late := refusedAt.Add(time.Minute)
	if got := r.firstAttempt(late, c.fp); !got.Equal(late) {
		t.Errorf("a caller of a minute later asked at %v", got)
	}
}

// Lookups that backend servers make for work in progress are not sent again: refused,
// they fail the work. Those of callers who come back are. The node learns which is
// which from what comes back, and only from refusals that are old enough to tell.
func TestCallsThatNeverReturnAreKnown(t *testing.T) {
	var r returningCallers
	previews := &config.Target{Name: "previews", TimeoutMS: 2000}
	lookups := &config.Target{Name: "lookups", TimeoutMS: 600}
	now := refusedAt
	for i := range byte(40) {
		now = now.Add(100 * time.Millisecond)
		for n, target := range []*config.Target{previews, lookups} {
			c := refusedCallOf(2*i+byte(n), target)
			c.firstAttempt, c.start = now, now
			c.deadline = now.Add(target.Timeout() - time.Millisecond) // the caller's own
			r.recordRefusal(now, c, time.Second)
			if i < 4 && r.oneShot(target.Name) {
				t.Fatalf("%s are taken for lost before anybody could come back", target.Name)
			}
		}
		if i >= 11 { // the previews come back after 1.1 s
			r.firstAttempt(now, quarantine.Fingerprint{7: 2 * (i - 11)})
		}
	}
	if r.oneShot("previews") || !r.oneShot("lookups") {
		t.Errorf("never back: previews %v, lookups %v", r.oneShot("previews"), r.oneShot("lookups"))
	}
}

// gateOf hands the times of each call to a channel and lets it run.
type gateOf chan limit.AcquireOptions

func (g gateOf) Acquire(_ context.Context, _ Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	g <- times
	if len(g) == 1 {
		return nil, &call.Refusal{Reason: call.ReasonOverloaded, RetryAfter: 30 * time.Millisecond}
	}
	return noPermit{}, nil
}

type noPermit struct{}

func (noPermit) Release(limit.Result) {}

// A caller is refused, waits as told and sends its lookup again. The destination, on
// another VM, must learn that it first asked a while ago.
func TestDestinationLearnsSinceWhenACallerWaits(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.useOnly(0)
	seen := make(gateOf, 2)
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
		t.Errorf("the destination counts %v of waiting more for the second sending", waited)
	}
}
