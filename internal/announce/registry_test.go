package announce

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

var start = time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)

func berth(instance, address string) Announcement {
	return Announcement{
		Instance: instance,
		Service:  "berth",
		Address:  netip.MustParseAddrPort(address),
		Slots:    6,
		State:    membership.BackendReady,
	}
}

func put(t *testing.T, r *Registry, now time.Time, a Announcement) []Change {
	t.Helper()
	changes, err := r.Put(now, a)
	if err != nil {
		t.Fatal(err)
	}
	return changes
}

func kinds(changes []Change) []ChangeKind {
	var out []ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

func wantKinds(t *testing.T, got []Change, want ...ChangeKind) {
	t.Helper()
	k := kinds(got)
	if len(k) != len(want) {
		t.Fatalf("changes %v, want %v", k, want)
	}
	for i := range want {
		if k[i] != want[i] {
			t.Fatalf("changes %v, want %v", k, want)
		}
	}
}

func TestPutTellsWhatChanged(t *testing.T) {
	first := berth("a", "127.0.0.1:1")
	tests := []struct {
		name      string
		next      func(*Announcement)
		want      ChangeKind
		keepsWarm bool
	}{
		{"the same", func(*Announcement) {}, Renewed, true},
		{"another load", func(a *Announcement) { a.Load = 5 }, Renewed, true},
		{"fewer slots", func(a *Announcement) { a.Slots = 3 }, Changed, true},
		{"draining", func(a *Announcement) { a.State = membership.BackendDraining }, Changed, false},
		{"another service", func(a *Announcement) { a.Service = "survey" }, Replaced, false},
		{"another address", func(a *Announcement) { a.Address = netip.MustParseAddrPort("127.0.0.1:2") }, Replaced, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
			wantKinds(t, put(t, r, start, first), Added)
			next := first
			test.next(&next)
			wantKinds(t, put(t, r, start.Add(time.Second), next), test.want)
			got := r.Load()[0]
			if got.ReadySince.Equal(start) != test.keepsWarm {
				t.Errorf("ready since %v, want kept: %v", got.ReadySince, test.keepsWarm)
			}
			if got.Announcement != next {
				t.Errorf("holds %+v, want %+v", got.Announcement, next)
			}
		})
	}
}

func TestPutRefuses(t *testing.T) {
	tests := []struct {
		field  string
		change func(*Announcement)
	}{
		{"instance", func(a *Announcement) { a.Instance = "Not/A/Name" }},
		{"service", func(a *Announcement) { a.Service = "" }},
		{"slots", func(a *Announcement) { a.Slots = 0 }},
		{"load", func(a *Announcement) { a.Load = -1 }},
		{"state", func(a *Announcement) { a.State = 0 }},
		{"address", func(a *Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.1:80") }},
		{"address", func(a *Announcement) { a.Address = netip.MustParseAddrPort("127.0.0.1:0") }},
		{"address", func(a *Announcement) { a.Address = netip.AddrPort{} }},
	}
	for _, test := range tests {
		r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
		a := berth("a", "127.0.0.1:1")
		test.change(&a)
		_, err := r.Put(start, a)
		var f *FieldError
		if !errors.As(err, &f) || f.Field != test.field {
			t.Errorf("%+v: got %v, want a fault of %s", a, err, test.field)
		}
		if len(r.Load()) != 0 {
			t.Errorf("%+v was taken in", a)
		}
	}
}

func TestEveryKindOfChangeHasAName(t *testing.T) {
	seen := make(map[string]bool)
	for k := Renewed; k <= Expired; k++ {
		if name := k.String(); seen[name] || changeNames[k] == "" {
			t.Errorf("kind %d is named %q", k, name)
		}
		seen[k.String()] = true
	}
}

func TestPutBoundsTheNumber(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: 1})
	put(t, r, start, berth("a", "127.0.0.1:1"))
	if _, err := r.Put(start, berth("b", "127.0.0.1:2")); !errors.Is(err, ErrTooMany) {
		t.Errorf("got %v", err)
	}
	wantKinds(t, put(t, r, start, berth("a", "127.0.0.1:1")), Renewed)
}

// A backend server crashes and returns at once under a new instance name on its
// old port. Callers would see it get twice its calls until the old lease ends,
// because both entries lead to the one process.
func TestSameAddressTakesThePlace(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: 1})
	put(t, r, start, berth("old", "127.0.0.1:1"))
	wantKinds(t, put(t, r, start, berth("new", "127.0.0.1:1")), Replaced, Added)
	if list := r.Load(); len(list) != 1 || list[0].Instance != "new" {
		t.Errorf("holds %+v", list)
	}
}

// A backend server restarts on another port. The old process withdraws after
// the new one has announced itself, and takes the new one out of the mesh: its
// callers are refused until the next renewal.
func TestLateWithdrawalLeavesTheSuccessor(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	old, successor := berth("a", "127.0.0.1:1"), berth("a", "127.0.0.1:2")
	put(t, r, start, old)
	put(t, r, start, successor)
	wantKinds(t, r.Withdraw(Withdrawal{Instance: "a", Address: old.Address}))
	if len(r.Load()) != 1 {
		t.Fatal("the successor is gone")
	}
	wantKinds(t, r.Withdraw(Withdrawal{Instance: "a", Address: successor.Address}), Withdrawn)
	wantKinds(t, r.Withdraw(Withdrawal{Instance: "a"}))
}

func TestSilentBackendExpires(t *testing.T) {
	const step = DefaultTTL / sweepsPerTTL
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	put(t, r, start, berth("silent", "127.0.0.1:1"))
	var gone []Change
	for now := start; now.Before(start.Add(DefaultTTL + step)); now = now.Add(step) {
		put(t, r, now, berth("renews", "127.0.0.1:2"))
		gone = append(gone, r.Expire(now)...)
	}
	wantKinds(t, gone, Expired)
	if gone[0].Backend.Instance != "silent" || len(r.Load()) != 1 {
		t.Errorf("gone %+v, left %+v", gone, r.Load())
	}
}

// The VM stands still for a minute and goes on. No renewal could arrive, so
// every lease has run out: the node takes all its backend servers out of the
// mesh although all are well, and callers are refused.
func TestPauseOfTheNodeExpiresNothing(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	put(t, r, start, berth("a", "127.0.0.1:1"))
	r.Expire(start)
	back := start.Add(time.Minute)
	wantKinds(t, r.Expire(back))
	if len(r.Load()) != 1 {
		t.Fatal("expired by the pause")
	}
	r.Expire(back.Add(DefaultTTL / 2))
	wantKinds(t, r.Expire(back.Add(DefaultTTL)), Expired)
}

func TestLoadedListNeverChanges(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	put(t, r, start, berth("b", "127.0.0.1:1"))
	before := r.Load()
	put(t, r, start, berth("a", "127.0.0.1:2"))
	changed := berth("b", "127.0.0.1:1")
	changed.Slots = 1
	put(t, r, start, changed)
	r.Withdraw(Withdrawal{Instance: "b"})
	if len(before) != 1 || before[0].Instance != "b" || before[0].Slots != 6 {
		t.Errorf("the list changed to %+v", before)
	}
}

func TestMembers(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	put(t, r, start, berth("a", "127.0.0.1:1"))
	cold := berth("b", "127.0.0.1:2")
	cold.State = membership.BackendStarting
	put(t, r, start, cold)
	got := MembershipBackends(r.Load())
	want := []membership.Backend{
		{Service: "berth", Instance: "a", Slots: 6, State: membership.BackendReady, ReadySince: start.UnixMilli()},
		{Service: "berth", Instance: "b", Slots: 6, State: membership.BackendStarting},
	}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A backend server crashes behind a cut. Another starts at its address. Then the
// cut heals, and the heartbeats of the first arrive: taken in, they would bring
// back an instance that is gone, and calls meant for it would be refused.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Minute, MaxBackends: 4, AllowNonLoopback: true})
	now := time.Unix(1000, 0)
	put := func(instance string, sequence uint64, s membership.BackendState) error {
		_, err := r.Put(now, Announcement{
			Instance: instance, Service: "berth", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Slots: 6, State: s, Sequence: sequence,
		})
		return err
	}
	for _, step := range []struct {
		instance string
		sequence uint64
		state    membership.BackendState
		want     error
	}{
		{"old", 4, membership.BackendReady, nil},
		{"old", 4, membership.BackendReady, ErrStale},
		{"old", 3, membership.BackendReady, ErrStale},
		{"old", 6, membership.BackendDraining, nil},
		{"old", 5, membership.BackendReady, ErrStale},
		{"new", 1, membership.BackendReady, nil},
		{"old", 7, membership.BackendReady, ErrStale},
	} {
		if err := put(step.instance, step.sequence, step.state); !errors.Is(err, step.want) {
			t.Errorf("%s %d: got %v, want %v", step.instance, step.sequence, err, step.want)
		}
	}
	if l := r.Load(); len(l) != 1 || l[0].Instance != "new" {
		t.Fatalf("held: %+v", l)
	}
	r.Withdraw(Withdrawal{Instance: "new"})
	if err := put("new", 2, membership.BackendReady); !errors.Is(err, ErrStale) {
		t.Errorf("an instance that left came back: %v", err)
	}
}
