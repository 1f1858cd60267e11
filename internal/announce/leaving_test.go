package announce

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// Guards against announcements that bring a backend server back into service which said in its
// answers that it leaves, and against a later incarnation that is held to that.
func TestLeavingOutlastsAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		limits  Limits
		started int64 // of the incarnation that leaves
		next    int64 // of the one that starts after it
		back    membership.BackendState
	}{
		{"with its start", Limits{}, 100, 200, membership.BackendReady},
		{"unique names", Limits{NoInstanceReuse: true}, 0, 0, membership.BackendDraining},
		{"names used again", Limits{}, 0, 0, membership.BackendReady},
	} {
		c.limits.TTL, c.limits.MaxBackends = 3*time.Second, 4
		r := NewRegistry(c.limits)
		say := func(state membership.BackendState, started int64) {
			a := berth("i-1", "127.0.0.1:8080")
			a.State, a.Started = state, started
			put(t, r, now, a)
		}
		want := func(what string, state membership.BackendState) {
			t.Helper()
			if list := r.Load(); len(list) != 1 || list[0].State != state {
				t.Errorf("%s, %s: %+v", c.name, what, list)
			}
		}
		say(membership.BackendReady, c.started)
		if n := len(RecordChanges(r.MarkLeaving("i-1", c.started))); n != 1 {
			t.Errorf("%s: %d changes for the mesh", c.name, n)
		}
		if len(r.MarkLeaving("i-1", c.started)) != 0 {
			t.Errorf("%s: the second time is a change", c.name)
		}
		say(membership.BackendReady, c.started)
		want("a later announcement", membership.BackendDraining)
		say(membership.BackendStarting, c.next)
		say(membership.BackendReady, c.next)
		want("the next incarnation", c.back)
	}
}

// Guards against a node that has just started and is told that its backend server leaves before it
// has an announcement of it.
func TestLeavingBeforeTheFirstAnnouncement(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Second, MaxBackends: 4, NoInstanceReuse: true})
	r.MarkLeaving("i-1", 0)
	a := berth("i-1", "127.0.0.1:8080")
	a.Started = 100
	if _, err := r.Put(time.Unix(1000, 0), a); err != nil || r.Load()[0].State != membership.BackendDraining {
		t.Errorf("%+v, %v", r.Load(), err)
	}
	a.Started = 200
	if _, err := r.Put(time.Unix(1001, 0), a); err != nil || r.Load()[0].State != membership.BackendReady {
		t.Errorf("the next incarnation: %+v, %v", r.Load(), err)
	}
	if r.MarkLeaving("i-1", 100); r.IsDraining("i-1") {
		t.Error("a late answer of the former incarnation was believed of the next one")
	}
}

// Guards against a backend server that is taken out of service for good since another incarnation left:
// a node that has just started knows its instance from a probe, which does not tell its start.
func TestLeavingOfAnEarlierIncarnationBeforeTheStartIsKnown(t *testing.T) {
	r := NewRegistry(Limits{TTL: time.Minute, MaxBackends: 4, NoInstanceReuse: true})
	probed := berth("i-1", "127.0.0.1:8080")
	put(t, r, start, probed)
	r.MarkLeaving("i-1", 100)
	for _, c := range []struct {
		started int64
		want    membership.BackendState
	}{{100, membership.BackendDraining}, {200, membership.BackendReady}} {
		a := probed
		a.Started = c.started
		put(t, r, start, a)
		if got := r.Load()[0].State; got != c.want {
			t.Errorf("the incarnation of %d is %v, want %v", c.started, got, c.want)
		}
	}
}
