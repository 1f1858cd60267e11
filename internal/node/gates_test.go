package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/proxy"
)

// A backend server is so busy that it does not renew its lease in time, and
// announces itself a moment later. Its calls still ran, yet it was given as many
// again, twice what it takes. A call must wait until one of the first has ended.
func TestLapsedBackendGetsNoSecondSetOfCalls(t *testing.T) {
	g := newGates()
	listed := []announce.Backend{{Announcement: announce.Announcement{Instance: "a", Service: "berths", Slots: 1}}}
	p := &program{limits: map[string][]limit.Class{}}
	holders := func(string) int { return 1 }
	target, b := &config.Target{Name: "bookings", Service: "berths"}, proxy.Backend{Service: "berths", Instance: "a"}
	acquire := func() (proxy.Permit, error) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // a call that would wait gives up
		return g.Acquire(ctx, b, target, time.Now().Add(time.Hour))
	}
	g.update(time.Now(), listed, p, holders)
	first, err := acquire()
	if err != nil {
		t.Fatal(err)
	}
	g.update(time.Now(), nil, p, holders)
	if _, err := acquire(); !errors.Is(err, errNotHeld) {
		t.Errorf("while it is gone: %v", err)
	}
	g.update(time.Now(), listed, p, holders)
	if _, err := acquire(); !errors.Is(err, context.Canceled) {
		t.Errorf("beside a running call: %v, want a wait", err)
	}
	first.Release(limit.Result{})
	second, err := acquire()
	if err != nil {
		t.Fatalf("with a free slot: %v", err)
	}
	second.Release(limit.Result{})
	g.update(time.Now(), nil, p, holders)
	g.update(time.Now(), nil, p, holders)
	if n := len(g.gone); n != 0 {
		t.Errorf("%d gates of idle backend servers are kept", n)
	}
	var refused *call.Refusal
	if _, err := acquire(); !errors.As(err, &refused) {
		t.Errorf("when it is gone: %v", err)
	}
}
