package announce

import (
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// numbered returns an announcement with a sequence but without a start.
func numbered(sequence uint64, s membership.BackendState) Announcement {
	a := berth("a", "127.0.0.1:1")
	a.Sequence, a.State = sequence, s
	return a
}

// Guards against a late heartbeat that brings back an instance after its withdrawal was
// acknowledged, where the withdrawal was the first message that a restarted node received from
// it.
func TestWithdrawalOfUnknownInstanceIsRemembered(t *testing.T) {
	for name, before := range map[string]func(*Registry){
		"unknown": func(*Registry) {},
		"known only by a probe, which has no sequence": func(r *Registry) {
			put(t, r, start, berth("a", "127.0.0.1:1"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(Limits{TTL: time.Minute, MaxBackends: 4, NoInstanceReuse: true})
			before(r)
			r.Withdraw(Withdrawal{Instance: "a"})
			if _, err := r.Put(start, numbered(7, membership.BackendReady)); !errors.Is(err, ErrStale) {
				t.Errorf("a late heartbeat: got %v", err)
			}
			if _, err := r.Put(start, berth("a", "127.0.0.1:1")); !errors.Is(err, ErrStale) {
				t.Errorf("a late answer to a probe: got %v", err)
			}
			if l := r.Load(); len(l) > 0 {
				t.Errorf("held: %+v", l)
			}
		})
	}
}

// Guards against a heartbeat from before the drain that arrives after the lease expired behind a
// partition and puts the backend server back into service, although its drain was acknowledged.
func TestDrainingIsRememberedAfterExpiry(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Second, MaxBackends: 4, NoInstanceReuse: true})
	r.Expire(start)
	put(t, r, start, numbered(7, membership.BackendDraining))
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.Expire(now)
	}
	if l := r.Load(); len(l) > 0 {
		t.Fatalf("held: %+v", l)
	}
	if _, err := r.Put(start.Add(2*time.Second), numbered(6, membership.BackendReady)); !errors.Is(err, ErrStale) {
		t.Errorf("a late heartbeat: got %v", err)
	}
}

// Where instance names are reused, a backend server that left and starts again under its name
// must return to service at once.
func TestInstanceNamesCanBeReused(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Minute, MaxBackends: 4})
	r.Withdraw(Withdrawal{Instance: "a"})
	put(t, r, start, berth("a", "127.0.0.1:1"))
	if l := r.Load(); len(l) != 1 {
		t.Errorf("held: %+v", l)
	}
}
