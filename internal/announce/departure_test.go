package announce

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
)

// restarted returns the registry of a process that has just started.
func restarted() *Registry {
	return NewRegistry(Limits{TTL: 7500 * time.Millisecond, MaxBackends: 4, AllowNonLoopback: true, NoInstanceReuse: true, RestoreDepartures: true})
}

// announcement returns an announcement without a start; all are of one address.
func announcement(instance string, sequence uint64, state membership.BackendState) Announcement {
	a := berth(instance, "127.0.0.1:1")
	a.Sequence, a.State = sequence, state
	return a
}

func stateOf(r *Registry, instance string) membership.BackendState {
	if at, known := find(r.Load(), instance); known {
		return r.Load()[at].State
	}
	return 0
}

// Guards against a late announcement that brings back a backend server which had said that it leaves
// before its node restarted.
func TestLateAnnouncementAfterARestart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, withdrawn := range []bool{false, true} {
		for _, early := range []bool{false, true} { // whether it arrives before the departures are restored
			r := restarted()
			late := announcement("i-1", 4, membership.BackendReady)
			restore := func() { r.RestoreDepartures(now, []Departure{{Instance: "i-1", Withdrawn: withdrawn}}) }
			if !early {
				restore()
			}
			_, _ = r.Put(now, late)
			if s := stateOf(r, "i-1"); s == membership.BackendReady {
				t.Errorf("withdrawn %v, early %v: ready by a late announcement", withdrawn, early)
			}
			if early {
				restore()
			}
			if s := stateOf(r, "i-1"); s != 0 && s != membership.BackendDraining {
				t.Errorf("withdrawn %v, early %v: %v once the departure is restored", withdrawn, early, s)
			}
		}
	}
}

// Guards against a late announcement that brings back a backend server whose departure was acknowledged
// while the table was away, although it says itself that it is not in service.
func TestUnrecordedDepartureIsToldByTheBackendServer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, restored := range []bool{false, true} { // whether the table answers, and the announcement comes, before the probe
		r := restarted()
		if !restored {
			r.Deny(now, "i-1")
		} else {
			r.RestoreDepartures(now, nil)
		}
		_, _ = r.Put(now, announcement("i-1", 4, membership.BackendReady))
		if restored {
			r.Deny(now, "i-1")
		}
		r.RestoreDepartures(now, nil)
		if s := stateOf(r, "i-1"); s != membership.BackendStarting {
			t.Errorf("restored before %v: %v", restored, s)
		}
		for i := range 4 {
			_, _ = r.Put(now.Add(time.Duration(i)*maxHold/3), announcement("i-1", uint64(i+5), membership.BackendReady))
		}
		if s := stateOf(r, "i-1"); s != membership.BackendReady {
			t.Errorf("restored before %v: %v after it has announced itself for some time", restored, s)
		}
	}
}

// Guards against a backend server that stays out of service although nothing says that it leaves.
func TestReadyBackendServerIsHeldForABoundedTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name string
		end  func(r *Registry)
	}{
		{"departures restored", func(r *Registry) { r.RestoreDepartures(now, []Departure{{Instance: "i-0", Withdrawn: true}}) }},
		{"confirmed by a probe", func(r *Registry) {
			r.Confirm(now, "i-1")
		}},
		{"confirmed before it announces itself", func(r *Registry) {
			r.Expire(now.Add(time.Minute))
			r.Expire(now.Add(2 * time.Minute))
			r.Confirm(now, "i-1")
			_, _ = r.Put(now, announcement("i-1", 2, membership.BackendReady))
		}},
		{"announced for some time", func(r *Registry) {
			for i := range 4 {
				_, _ = r.Put(now.Add(time.Duration(i)*maxHold/3), announcement("i-1", uint64(i+2), membership.BackendReady))
			}
		}},
	} {
		r := restarted()
		_, _ = r.Put(now, announcement("i-1", 1, membership.BackendReady))
		if s := stateOf(r, "i-1"); s != membership.BackendStarting {
			t.Errorf("%s: %v at first", c.name, s)
		}
		c.end(r)
		if s := stateOf(r, "i-1"); s != membership.BackendReady {
			t.Errorf("%s: %v at the end", c.name, s)
		}
	}
}

// Guards against a late announcement of a backend server that has crashed, which keeps its successor
// at the same address out of service for good.
func TestLateAnnouncementOfACrashedBackendServer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := restarted()
	r.RestoreDepartures(now, nil)
	_, _ = r.Put(now, announcement("new", 3, membership.BackendReady))
	_, _ = r.Put(now, announcement("crashed", 9, membership.BackendReady))
	for i := range 2 {
		now = now.Add(1500 * time.Millisecond)
		_, _ = r.Put(now, announcement("new", uint64(4+i), membership.BackendReady))
	}
	if s := stateOf(r, "new"); s != membership.BackendReady {
		t.Errorf("the successor is %v after two further announcements", s)
	}
	if _, err := r.Put(now, announcement("crashed", 10, membership.BackendReady)); !errors.Is(err, ErrStale) {
		t.Errorf("another late announcement: got %v", err)
	}
	if s := stateOf(r, "new"); s != membership.BackendReady {
		t.Errorf("the successor is %v after another late announcement", s)
	}
}

// Guards against any order of announcements, late ones among them, departures, restarts and lost
// answers of the table in which an acknowledged departure is forgotten, or another incarnation is kept
// out of service.
func TestDeparturesOutliveTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := restarted()
		var stored []Departure
		var sent []Announcement // in order; any may arrive again, late
		departed := map[string]bool{}
		name, starts, sequence := "i-1", 1, uint64(0)
		restoreAt := now
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if !now.Before(restoreAt) {
				r.RestoreDepartures(now, stored)
			}
			switch rapid.SampledFrom([]string{"announce", "announce", "late", "leave", "crash", "restart", "expire"}).Draw(t, "event") {
			case "announce":
				sequence++
				a := announcement(name, sequence, membership.BackendReady)
				if departed[name] {
					a.State = membership.BackendDraining
				}
				sent = append(sent, a)
				_, _ = r.Put(now, a)
			case "late":
				if len(sent) > 0 {
					_, _ = r.Put(now, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			case "leave":
				withdrawn := rapid.Bool().Draw(t, "withdrawn")
				if withdrawn {
					r.Withdraw(Withdrawal{Instance: name})
				} else {
					sequence++
					_, _ = r.Put(now, announcement(name, sequence, membership.BackendDraining))
				}
				stored = append(stored, Departure{Instance: name, Withdrawn: withdrawn})
				departed[name] = true
				if rapid.Bool().Draw(t, "replaced") {
					starts++
					name, sequence = fmt.Sprintf("i-%d", starts), 0
				}
			case "crash":
				starts++
				name, sequence = fmt.Sprintf("i-%d", starts), 0
			case "restart":
				r = restarted()
				restoreAt = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "silent")) * time.Millisecond)
			case "expire":
				r.Expire(now)
			}
			for _, b := range r.Load() {
				if departed[b.Instance] && b.State == membership.BackendReady {
					t.Fatalf("%s has left and is ready", b.Instance)
				}
			}
		}
		if departed[name] {
			return
		}
		r.RestoreDepartures(now, stored)
		for range 3 { // a successor is in service soon, whatever came late
			now, sequence = now.Add(1500*time.Millisecond), sequence+1
			_, _ = r.Put(now, announcement(name, sequence, membership.BackendReady))
		}
		if s := stateOf(r, name); s != membership.BackendReady {
			t.Fatalf("%s is %v; list %v", name, s, slices.Clone(r.Load()))
		}
	})
}
