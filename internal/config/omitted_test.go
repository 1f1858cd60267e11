package config

import (
	"slices"
	"testing"
)

// Guards against calls that run twice, or at different services on different nodes, where two targets
// match the same calls.
func TestOneOfTwoEqualTargetsGetsTheCalls(t *testing.T) {
	target := func(name, host, prefix string, idempotent bool) Object {
		x := berths()
		x.Name, x.Match, x.Idempotent = name, Match{Host: host, PathPrefix: prefix}, idempotent
		return EncodeTarget(x)
	}
	s := mustNew(t, EncodeService(berthService()),
		target("a", "gal.lk", "/book/", true), target("b", "GAL.lk", "/book/", false), target("c", "gal.lk.", "/book/", false),
		target("d", "gal.lk", "/book", true), target("e", "neg.lk", "/book/", true), target("f", "", "/book/", true),
	)
	var shadowed []string
	for _, x := range s.Targets() {
		if s.Shadowed(x.Name) {
			shadowed = append(shadowed, x.Name)
		}
	}
	if !slices.Equal(shadowed, []string{"a", "c"}) || len(s.Omitted()) != 2 {
		t.Errorf("%v get no calls, omitted: %v", shadowed, s.Omitted())
	}
}

func TestOmittedNamesTargetsWithoutAService(t *testing.T) {
	target := func(name, service string, parts ...Part) Object {
		x := berths()
		x.Name, x.Service, x.Match.PathPrefix, x.Split = name, service, "/"+name+"/", parts
		return EncodeTarget(x)
	}
	known := berthService().Name
	s := mustNew(t, EncodeService(berthService()),
		target("good", known, Part{known, 1}), target("unknown", "nobody"), target("nowhere", ""),
		target("part", known, Part{known, 1}, Part{"nobody", 1}), target("weightless", known, Part{known, 0}, Part{known, -3}),
	)
	var names []string
	for _, p := range s.Omitted() {
		names = append(names, p.Key.Name)
	}
	if !slices.Equal(names, []string{"nowhere", "part", "unknown", "weightless"}) {
		t.Errorf("%v", s.Omitted())
	}
}
