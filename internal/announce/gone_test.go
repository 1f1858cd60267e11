package announce

import (
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// numbered is a heartbeat of an instance that numbers them and tells no start.
func numbered(sequence uint64, s membership.BackendState) Announcement {
	a := berth("a", "127.0.0.1:1")
	a.Sequence, a.State = sequence, s
	return a
}

// A node is restarted while its backend server leaves. The first that the new process
// hears of it is its word to leave, which is acknowledged. Then a heartbeat arrives that
// was sent before: the backend server was taken for a new one, and got calls three
// seconds after it was told that none would come.
func TestLeaveOfAnUnknownInstanceBinds(t *testing.T) {
	for name, before := range map[string]func(*Registry){
		"unheard of": func(*Registry) {},
		"known by a probe alone, which has no number": func(r *Registry) {
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
				t.Errorf("a probe that was answered late: got %v", err)
			}
			if l := r.Load(); len(l) > 0 {
				t.Errorf("held: %+v", l)
			}
		})
	}
}

// A backend server says that it drains, and is cut off with its node's other traffic until
// its lease ends. Then a heartbeat arrives that was sent before the drain. It brought the
// backend server back as ready, with an acknowledged drain behind it.
func TestDrainOutlastsTheLease(t *testing.T) {
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

// Where names are used again, a backend server that left and starts anew under its name
// must come back into service at once.
func TestNamesMayBeUsedAgain(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Minute, MaxBackends: 4})
	r.Withdraw(Withdrawal{Instance: "a"})
	put(t, r, start, berth("a", "127.0.0.1:1"))
	if l := r.Load(); len(l) != 1 {
		t.Errorf("held: %+v", l)
	}
}
