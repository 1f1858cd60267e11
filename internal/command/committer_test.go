package command

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

var ctx = context.Background()

func target(name, team, service string, m config.Match) config.Object {
	return config.EncodeTarget(config.Target{Name: name, Team: team, Service: service, Match: m})
}

func foreignService(name string) config.Object {
	return config.EncodeService(config.Service{Name: name, Team: "other"})
}

func key(k config.Kind, name string) config.Key { return config.Key{Kind: k, Name: name} }

// prepared is a platform at version 2: team "t" has service a with target x,
// team "other" has service o with target y at /o.
func prepared(t *testing.T) (*flaky, *Reader, *Committer) {
	t.Helper()
	f := newFlaky()
	r, c := node(f)
	first := set("p1", 0, service("a", ""), target("x", "t", "a", config.Match{PathPrefix: "/x"}))
	second := Command{ID: "p2", Operator: "q", Team: "other", Set: []config.Object{
		foreignService("o"), target("y", "other", "o", config.Match{PathPrefix: "/o"})}}
	for _, cmd := range []Command{first, second} {
		if res := c.Submit(ctx, cmd); res.Outcome != Accepted {
			t.Fatalf("%+v", res)
		}
	}
	return f, r, c
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		reason Reason
		cmd    Command
	}{
		{"no id", ReasonMalformed, set("", 0, service("b", ""))},
		{"nothing to do", ReasonMalformed, set("c", 0)},
		// From a peer that means harm: it would go to every node with the version.
		{"a long operator", ReasonMalformed, Command{ID: "c", Operator: strings.Repeat("o", 64), Team: "t", Set: []config.Object{service("b", "")}}},
		{"a long team", ReasonMalformed, Command{ID: "c", Operator: "o", Team: strings.Repeat("t", 64), Set: []config.Object{service("b", "")}}},
		{"an object twice", ReasonMalformed, set("c", 0, service("b", ""), service("b", "x"))},
		{"the id of another command", ReasonIDReused, set("p1", 0, service("b", ""))},
		{"another team's service", ReasonForbidden, set("c", 0, foreignService("o"))},
		{"taking over a service", ReasonForbidden, set("c", 0, service("o", ""))},
		{"giving away a service", ReasonForbidden, set("c", 0, foreignService("a"))},
		{"a target on another team's service", ReasonForbidden,
			set("c", 0, target("z", "t", "o", config.Match{PathPrefix: "/z"}))},
		{"taking another team's calls", ReasonForbidden,
			set("c", 0, target("z", "t", "a", config.Match{PathPrefix: "/o/deep", Host: "h"}))},
		{"withdrawing another team's target", ReasonForbidden,
			Command{ID: "c", Operator: "o", Team: "t", Unset: []config.Key{key(config.KindTarget, "y")}}},
		{"a missing service", ReasonInvalid, set("c", 0, target("z", "t", "none", config.Match{PathPrefix: "/z"}))},
		{"a service that a target needs", ReasonInvalid,
			Command{ID: "c", Operator: "o", Team: "t", Unset: []config.Key{key(config.KindService, "a")}}},
		{"bytes that are no object", ReasonInvalid,
			set("c", 0, config.Object{Key: key(config.KindService, "b"), Raw: []byte("{")})},
		{"what is not there", ReasonNotFound,
			Command{ID: "c", Operator: "o", Team: "t", Unset: []config.Key{key(config.KindTarget, "z")}}},
		{"a base still to come", ReasonConflict, set("c", 9, service("b", ""))},
		{"a base before a change", ReasonConflict,
			Command{ID: "c", Operator: "o", Team: "other", Base: new(uint64), Set: []config.Object{foreignService("o")}}},
	}
	for _, c := range cases {
		f, r, com := prepared(t)
		res := com.Submit(ctx, c.cmd)
		if res.Outcome != Refused || res.Reason != c.reason || res.Detail == "" {
			t.Errorf("%s: got %+v", c.name, res)
		}
		if h, err := r.Head(ctx); err != nil || h.Version.Number != 2 {
			t.Errorf("%s: the head moved to %v, %v", c.name, h.Version, err)
		}
		if again := com.Submit(ctx, c.cmd); again.Reason != c.reason {
			t.Errorf("%s: a repeat got %+v", c.name, again)
		}
		_ = f
	}
}

func TestConflictTellsWhatChanged(t *testing.T) {
	_, _, c := prepared(t)
	if res := c.Submit(ctx, set("c3", 2, service("a", "early"))); res.Outcome != Accepted || res.Version.Number != 3 || res.Created {
		t.Fatalf("%+v", res)
	}
	res := c.Submit(ctx, set("c4", 2, service("a", "late")))
	if res.Reason != ReasonConflict || len(res.Conflicts) != 1 {
		t.Fatalf("%+v", res)
	}
	got := res.Conflicts[0]
	if got.Version != 3 || got.By != "o" || len(got.Fields) != 1 || got.Fields[0].After != `"early"` {
		t.Errorf("%+v", got)
	}
	if res := c.Submit(ctx, set("c5", 2, service("b", ""))); res.Outcome != Accepted || !res.Created {
		t.Errorf("an object that has not changed: %+v", res)
	}
}

// An operator withdraws a service and is told that a target needs it. The
// target goes. A doubled copy of the first request, or a client that repeats
// it, must not withdraw the service behind the operator's back.
func TestToldRefusalStays(t *testing.T) {
	_, _, c := prepared(t)
	withdraw := Command{ID: "w", Operator: "o", Team: "t", Unset: []config.Key{key(config.KindService, "a")}}
	first := c.Submit(ctx, withdraw)
	gone := Command{ID: "g", Operator: "o", Team: "t", Unset: []config.Key{key(config.KindTarget, "x")}}
	if first.Reason != ReasonInvalid || c.Submit(ctx, gone).Outcome != Accepted {
		t.Fatalf("%+v", first)
	}
	if again := c.Submit(ctx, withdraw); again.Outcome != Refused || again.AtMS != first.AtMS {
		t.Errorf("%+v", again)
	}
	withdraw.ID = "w2"
	if res := c.Submit(ctx, withdraw); res.Outcome != Accepted {
		t.Errorf("under a new id: %+v", res)
	}
}

// The platform takes the write and goes down before it answers. The operator
// is told "unknown", asks again while it is still down, and must not hear
// "refused"; once it is back, the same id gives the first outcome.
func TestLostAnswerStaysUnknownUntilSettled(t *testing.T) {
	f, _, c := prepared(t)
	first := true
	f.next = func() event {
		if f.writes == 2 || f.writes == 0 {
			return event{} // the reads before the write
		}
		if first {
			first = false
			return event{fault: lostAfter}
		}
		return event{fault: fails}
	}
	cmd := set("c", 0, service("b", ""))
	if res := c.Submit(ctx, cmd); res.Outcome != Unknown || res.Command != "c" {
		t.Fatalf("%+v", res)
	}
	if res := c.Submit(ctx, cmd); res.Outcome != Unknown {
		t.Errorf("while down: %+v", res)
	}
	if res := c.Submit(ctx, set("d", 0, service("b", ""))); res.Reason != ReasonUnavailable {
		t.Errorf("a first submission: %+v", res)
	}
	_, elsewhere := node(f)
	repeat := cmd
	repeat.Repeat = true
	if res := elsewhere.Submit(ctx, repeat); res.Outcome != Unknown {
		t.Errorf("a repeat at another node: %+v", res)
	}
	f.next = func() event { return event{} }
	if res := elsewhere.Submit(ctx, cmd); res.Outcome != Accepted || res.Version.Number != 3 {
		t.Errorf("%+v", res)
	}
	if res := c.Submit(ctx, set("e", 0, service("b", ""))); !res.Unchanged || res.Version.Number != 3 {
		t.Errorf("setting what is already so: %+v", res)
	}
}

func TestAcceptedHookAndTeamBound(t *testing.T) {
	f := newFlaky()
	r, _ := node(f)
	o := testOptions()
	o.ObjectsPerTeam = 1
	var told []uint64
	o.Accepted = func(s *config.Snapshot, d *config.Delta) {
		if s.Version() != d.To || d.By != "o" || d.AtMS == 0 {
			t.Errorf("%+v", d)
		}
		told = append(told, d.To.Number)
	}
	c := NewCommitter(r, f, o)
	c.Submit(ctx, set("c1", 0, service("a", "")))
	if res := c.Submit(ctx, set("c2", 0, service("b", ""))); res.Reason != ReasonTeamFull {
		t.Errorf("%+v", res)
	}
	if len(told) != 1 || told[0] != 1 {
		t.Errorf("told of %v", told)
	}
}

// A stale replica answers, or the platform's table was restored from a backup.
// Feeders and committers must not go on from what it shows.
func TestHeadIsNeverTakenBack(t *testing.T) {
	f, r, c := prepared(t)
	f.next = func() event { return event{fault: stale, back: 1} }
	if _, err := r.Head(ctx); !errors.Is(err, ErrOlderHead) {
		t.Errorf("a stale read: %v", err)
	}
	if res := c.Submit(ctx, set("c", 0, service("b", ""))); res.Reason != ReasonOlderHead {
		t.Errorf("%+v", res)
	}
	g, other, _ := prepared(t)
	head, err := other.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	s, err := other.Snapshot(ctx, head)
	if err != nil {
		t.Fatal(err)
	}
	foreign, _, err := config.Empty().Next([]config.Object{service("f", "")}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, held := range []*config.Snapshot{foreign, childOf(t, foreign)} {
		r := NewReader(g, g.Objects(), SnapshotFunc(func() *config.Snapshot { return held }))
		c := NewCommitter(r, g, testOptions())
		if res := c.Submit(ctx, set("c", 0, service("b", ""))); res.Reason != ReasonOtherHistory {
			t.Errorf("held %s, platform %s: %+v", held.Version(), s.Version(), res)
		}
		if _, err := r.Since(ctx, foreign.Version(), 5); !errors.Is(err, ErrOtherHistory) {
			t.Errorf("since: %v", err)
		}
	}
}

// The platform's table is wiped while the mesh runs version 2, and an operator's
// command reaches a node that has just started. It holds nothing, so the empty
// table looks right to it: the operator would be told "accepted" of a change
// that no other node ever follows.
func TestStartingNodeAcceptsNothing(t *testing.T) {
	_, r, _ := prepared(t)
	h, err := r.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		held   config.Version
		known  bool
		reason Reason
	}{
		{"not heard of the mesh yet", config.Empty().Version(), false, ReasonUnavailable},
		{"holds version 2, not in force", h.Version, true, ReasonOlderHead},
		{"the first node of a mesh", config.Empty().Version(), true, ""},
	}
	for _, c := range cases {
		wiped := newFlaky()
		o := testOptions()
		o.Held = func() (config.Version, bool) { return c.held, c.known }
		reader := NewReader(wiped, wiped.Objects(), SnapshotFunc(config.Empty))
		com := NewCommitter(reader, wiped, o)
		res := com.Submit(ctx, set("c", 0, service("b", "")))
		if res.Reason != c.reason || (res.Outcome == Accepted) != (c.reason == "") {
			t.Errorf("%s: %+v", c.name, res)
		}
		if _, err := wiped.Store.Get(ctx, platform.HeadKey); (err == nil) != (c.reason == "") {
			t.Errorf("%s: the head row: %v", c.name, err)
		}
	}
}

func childOf(t *testing.T, s *config.Snapshot) *config.Snapshot {
	t.Helper()
	n, _, err := s.Next([]config.Object{service("g", "")}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestLookup(t *testing.T) {
	f, r, _ := prepared(t)
	if rec, err := r.Lookup(ctx, "p2"); err != nil || rec.Result.Version.Number != 2 || rec.Operator != "q" {
		t.Errorf("%+v %v", rec, err)
	}
	if _, err := r.Lookup(ctx, "none"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("%v", err)
	}
	f.next = func() event { return event{fault: stale, back: 1} }
	if _, err := r.Lookup(ctx, "p2"); err == nil || errors.Is(err, platform.ErrNotFound) {
		t.Errorf("a stale read: %v", err)
	}
}

func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"version":{"number":1,"hash":""},"floor":1}`))
	f.Add([]byte(`{"to":{"number":7},"set":[{"key":{"kind":"target","name":"a"},"raw":"{}"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		row := platform.Row{Key: platform.LogKey(7), Value: b, Revision: 1}
		if d, err := decodeDelta(row); err == nil && d.To.Number != 7 {
			t.Fatal("took the row of another version")
		}
		_, _ = decodeHead(row)
		var rec Record
		_ = decodeRow(row, &rec)
	})
}
