package node

import (
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// Guards against a backend server that is too slow to renew its lease, returns, and gets calls beyond
// the rate limit that it had advertised.
func TestExpiredLeaseKeepsTheRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newGates()
	b := announce.Backend{Announcement: announce.Announcement{Instance: "i-1", Service: "s", Slots: 6, Started: 100}}
	none := func(string) int { return 1 }
	rate := limit.AdvertisedRate{PerSecond: 4, Present: true}
	g.update(now, []announce.Backend{b}, &program{}, none)
	g.observe(now, now, backendOf(b), rate)
	for _, c := range []struct {
		name    string
		away    time.Duration
		started int64
		want    limit.AdvertisedRate
	}{
		{"soon", 4 * time.Second, 100, rate},
		{"another incarnation", 4 * time.Second, 200, limit.AdvertisedRate{}},
	} {
		g.update(now, nil, &program{}, none)
		now = now.Add(c.away)
		g.update(now, nil, &program{}, none)
		b.Started = c.started
		g.update(now, []announce.Backend{b}, &program{}, none)
		if got := (*g.byInstance.Load())["i-1"].AdvertisedRate(); got != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	g.observe(now, now, backendOf(b), rate)
	g.update(now, nil, &program{}, none)
	g.update(now.Add(2*keepDepartedLimit), nil, &program{}, none)
	if len(g.departed) != 0 {
		t.Errorf("%d gates of backend servers that left long ago", len(g.departed))
	}
}

// Guards against calls that wait for a slot of a backend server that leaves, and reach it long after
// it has said so.
func TestWaitingCallsLeaveADrainingBackendServer(t *testing.T) {
	now := time.Now()
	g := newGates()
	b := announce.Backend{Announcement: announce.Announcement{Instance: "i-1", Service: "s", Slots: 1, State: membership.BackendReady}}
	none := func(string) int { return 1 }
	g.update(now, []announce.Backend{b}, &program{}, none)
	acquire := func() (proxy.Permit, error) {
		return g.Acquire(t.Context(), backendOf(b), &config.Target{Name: "a"}, limit.AcquireOptions{Deadline: now.Add(time.Minute)})
	}
	running, err := acquire()
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error)
	go func() {
		_, err := acquire()
		refused <- err
	}()
	for g.slotUse(backendOf(b)).Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	b.State = membership.BackendDraining
	g.update(now, []announce.Backend{b}, &program{}, none)
	var r *call.Refusal
	if err := <-refused; !errors.As(err, &r) || r.Reason != call.ReasonDraining {
		t.Errorf("the waiting call got %v", err)
	}
	running.Release(limit.Result{})
}
