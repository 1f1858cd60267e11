package route

import (
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against an endpoint with a rate limit that looks cheap since its slots are free, and against
// one that is avoided long after its limit may have ended.
func TestRateLimitMakesAnEndpointDearer(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Options{Self: "vm0", DataCentre: "dc", Seed: 1})
	eps := []Endpoint{{ID: "a", VM: "a", DataCentre: "dc", Slots: 6, Ready: true}, {ID: "b", VM: "b", DataCentre: "dc", Slots: 6, Ready: true}}
	p.Update(now.Add(-time.Minute), eps)
	use := func(id string, limited bool) {
		c, err := p.PickByKey(now, 1, nil)
		for key := uint64(2); err == nil && c.Endpoint().ID != id; key++ {
			c.Done(now, Report{Outcome: call.NotRun, Refused: call.ReasonExpired})
			c, err = p.PickByKey(now, key, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		c.Done(now, Report{Outcome: call.Ran, Latency: 250 * time.Millisecond, RateLimited: limited, RateLimit: 1.2})
	}
	share := func() float64 {
		n := 0
		for range 1000 {
			c, err := p.Pick(now, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.Endpoint().ID == "a" {
				n++
			}
			c.Done(now, Report{Outcome: call.NotRun, Refused: call.ReasonExpired})
		}
		return float64(n) / 1000
	}
	use("b", false)
	use("a", true)
	if got := share(); got > 0.01 {
		t.Errorf("%.3f of the calls go to the limited endpoint", got)
	}
	now = now.Add(10 * time.Minute)
	if got := share(); got < 0.3 {
		t.Errorf("%.3f of the calls go to an endpoint whose limit was heard of ten minutes ago", got)
	}
	use("a", true)
	use("a", false)
	if got := share(); got < 0.4 {
		t.Errorf("%.3f of the calls go to an endpoint whose limit has ended", got)
	}
}

// Guards against a call that is sent round endpoints of which each is known to be at its rate limit,
// and against one that is told to return at once.
func TestEndpointsAtTheirRateLimitsAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Options{Self: "vm0", DataCentre: "dc", Seed: 1})
	p.Update(now, []Endpoint{{ID: "a", DataCentre: "dc", Slots: 6, Ready: true}, {ID: "b", DataCentre: "dc", Slots: 6, Ready: true}})
	for range 2 {
		c, err := p.Pick(now, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.Done(now, Report{Outcome: call.NotRun, Refused: call.ReasonBackendRate, RetryAfter: 700 * time.Millisecond})
	}
	var r *call.Refusal
	if _, err := p.Pick(now, nil); !errors.As(err, &r) || r.Reason != call.ReasonBackendRate || r.RetryAfter < 700*time.Millisecond || r.RetryAfter > 1400*time.Millisecond {
		t.Errorf("all endpoints are at their limits: %v, come back after %v", err, r.RetryAfter)
	}
	if !p.TriedAll(now, nil) {
		t.Error("endpoints at their limits count as left to try")
	}
	if _, err := p.PickByKey(now, 1, nil); err != nil {
		t.Errorf("a call with a fixed endpoint: %v", err)
	}
	if p.Ejected() != 0 {
		t.Error("an endpoint is ejected for its rate limit")
	}
	if _, err := p.Pick(now.Add(time.Second), nil); err != nil {
		t.Errorf("later: %v", err)
	}
}
