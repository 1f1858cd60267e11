package config

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func problemsOf(t *testing.T, err error) []Problem {
	t.Helper()
	var ce *CheckError
	if err != nil && !errors.As(err, &ce) {
		t.Fatalf("not a CheckError: %v", err)
	}
	if ce == nil {
		return nil
	}
	return ce.Problems
}

func TestCheckFindsEachBadField(t *testing.T) {
	cases := []struct {
		field  string
		change func(*Target)
	}{
		{"", func(*Target) {}},
		{"", func(x *Target) { x.Match.PathPrefix = "/"; x.Match.Host = "prijzen.example.nl" }},
		{"", func(x *Target) { x.Percentile, x.Share, x.Priority, x.RatePerSecond = 99.9, 1, 9, 0.5 }},
		{"name", func(x *Target) { x.Name = "Book" }},
		{"team", func(x *Target) { x.Team = "" }},
		{"service", func(x *Target) { x.Service = "" }},
		{"service", func(x *Target) { x.Service = "crane" }},
		{"match.host", func(x *Target) { x.Match.Host = "A.lk" }},
		{"match.host", func(x *Target) { x.Match.Host = "a.lk:80" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "berths" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "/a/../b" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "/a//b" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "/a?b" }},
		{"match.path_prefix", func(x *Target) { x.Match.PathPrefix = "/" + strings.Repeat("a", 512) }},
		{"match.methods", func(x *Target) { x.Match.Methods = []string{"post"} }},
		{"match.methods", func(x *Target) { x.Match.Methods = []string{"GET", "GET"} }},
		{"answer_within_ms", func(x *Target) { x.AnswerWithinMS = -1 }},
		{"answer_within_ms", func(x *Target) { x.AnswerWithinMS = 31_000 }},
		{"deadline_ms", func(x *Target) { x.DeadlineMS = MaxDeadline.Milliseconds() + 1 }},
		{"percentile", func(x *Target) { x.Percentile = 100 }},
		{"percentile", func(x *Target) { x.Percentile = -1 }},
		{"share", func(x *Target) { x.Share = 1.01 }},
		{"share", func(x *Target) { x.Share = -0.1 }},
		{"rate_per_second", func(x *Target) { x.RatePerSecond = -1 }},
		{"priority", func(x *Target) { x.Priority = 10 }},
		{"audience", func(x *Target) { x.Audience = "all" }},
		{"on_store_down", func(x *Target) { x.OnStoreDown = "run" }},
	}
	for i, c := range cases {
		x := berths()
		c.change(&x)
		o := EncodeTarget(x)
		ps := problemsOf(t, mustNew(t, EncodeService(berthService()), o).Check())
		if c.field == "" {
			if len(ps) != 0 {
				t.Errorf("case %d: %v", i, ps)
			}
			continue
		}
		if len(ps) != 1 || ps[0].Field != c.field || ps[0].Key != o.Key || ps[0].Reason == "" {
			t.Errorf("case %d: want one problem with %s, got %v", i, c.field, ps)
		}
	}
}

func TestCheckAfterNamesDependents(t *testing.T) {
	before := mustNew(t, EncodeService(berthService()), EncodeTarget(berths()))
	after, _, err := before.Next(nil, []Key{{KindService, "berth"}})
	if err != nil {
		t.Fatal(err)
	}
	ps := problemsOf(t, after.CheckAfter(before))
	if len(ps) != 1 || ps[0].Key != (Key{KindService, "berth"}) || !slices.Equal(ps[0].Dependents, []string{"book"}) {
		t.Errorf("got %v", ps)
	}
	ps = problemsOf(t, after.Check())
	if len(ps) != 1 || !slices.Equal(ps[0].Missing, []string{"berth"}) {
		t.Errorf("got %v", ps)
	}
}

func TestCheckRefusesTheSameMatchTwice(t *testing.T) {
	cases := []struct {
		a, b  Match
		clash bool
	}{
		{Match{PathPrefix: "/a"}, Match{PathPrefix: "/a"}, true},
		{Match{PathPrefix: "/a/"}, Match{PathPrefix: "/a/"}, true},
		{Match{PathPrefix: "/a"}, Match{PathPrefix: "/a/"}, false},
		{Match{PathPrefix: "/a"}, Match{PathPrefix: "/b"}, false},
		{Match{PathPrefix: "/a"}, Match{PathPrefix: "/a", Host: "h"}, false},
		{Match{PathPrefix: "/a", Methods: []string{"GET"}}, Match{PathPrefix: "/a"}, false},
		{Match{PathPrefix: "/a", Methods: []string{"GET"}}, Match{PathPrefix: "/a", Methods: []string{"PUT"}}, false},
		{Match{PathPrefix: "/a", Methods: []string{"GET"}}, Match{PathPrefix: "/a", Methods: []string{"PUT", "GET"}}, true},
	}
	for i, c := range cases {
		x, y := berths(), berths()
		x.Match, y.Match, y.Name = c.a, c.b, "other"
		s := mustNew(t, EncodeService(berthService()), EncodeTarget(x), EncodeTarget(y))
		if got := s.Check() != nil; got != c.clash {
			t.Errorf("case %d: clash = %v", i, got)
		}
	}
}

func TestCheckRefusesWhatItCannotDecode(t *testing.T) {
	k := Key{KindService, "berth"}
	for _, raw := range []string{`{"name":"berth","team":"t","colour":1}`, `{"name":"berth","team":"t"} {}`, `[]`, ``} {
		s := mustNew(t, Object{Key: k, Raw: []byte(raw)})
		if ps := problemsOf(t, s.Check()); len(ps) != 1 || ps[0].Key != k {
			t.Errorf("%q: got %v", raw, ps)
		}
	}
	s := mustNew(t, Object{Key: k, Raw: EncodeService(Service{Name: "crane", Team: "t"}).Raw})
	if ps := problemsOf(t, s.Check()); len(ps) != 1 || ps[0].Field != "name" {
		t.Errorf("an object under another name: got %v", ps)
	}
}

func TestTeamObjects(t *testing.T) {
	s := mustNew(t, EncodeService(berthService()), EncodeTarget(berths()))
	if a, b := s.TeamObjects("berths"), s.TeamObjects("records"); a != 2 || b != 0 {
		t.Errorf("got %d and %d", a, b)
	}
}

func TestDiffNamesFields(t *testing.T) {
	a := mustNew(t, EncodeService(berthService()), EncodeTarget(berths()))
	x := berths()
	x.AnswerWithinMS, x.Match.Host = 150, "h"
	b, _, err := a.Next([]Object{EncodeTarget(x), EncodeService(Service{Name: "crane", Team: "berths"})}, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := Diff(a, b)
	if len(got) != 2 || got[0].Op != OpAdded || got[0].Key.Name != "crane" || got[1].Op != OpChanged {
		t.Fatalf("got %+v", got)
	}
	want := []FieldChange{{"answer_within_ms", "200", "150"}, {"match.host", "", `"h"`}}
	if !slices.Equal(got[1].Fields, want) {
		t.Errorf("got %+v", got[1].Fields)
	}
	if back := Diff(b, a); len(back) != 2 || back[0].Op != OpRemoved {
		t.Errorf("got %+v", back)
	}
}
