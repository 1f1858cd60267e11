package command

import (
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/config/match"
)

// The yard team had a target for /bookings at desk.example. The harbour team
// stated one for /bookings/7 at every host. The longest path goes first, so that
// yard's calls ran by harbour's target, at its service, and yard saw them vanish:
// a target with a host counted as safe from those without. What takesFrom says
// must be what the matcher does.
func TestTakesFromAgreesWithTheMatcher(t *testing.T) {
	var all []config.Match
	for _, host := range []string{"", "desk.example", "gate.example"} {
		for _, prefix := range []string{"/bookings", "/bookings/7", "/bookings2"} {
			all = append(all, config.Match{Host: host, PathPrefix: prefix})
		}
	}
	for _, o := range all {
		for _, m := range all {
			if m.Host == o.Host && m.PathPrefix == o.PathPrefix {
				continue // config.Check refuses the two together
			}
			if got, want := takesFrom(m, o), takesCalls(t, m, o); got != want {
				t.Errorf("%+v takes calls from %+v: %v, want %v", m, o, got, want)
			}
		}
	}
}

// takesCalls tries calls that o matches when it is alone.
func takesCalls(t *testing.T, m, o config.Match) bool {
	alone := matcherOf(t, target("o", "yard", "a", o))
	both := matcherOf(t, target("o", "yard", "a", o), target("m", "harbour", "a", m))
	for _, host := range []string{"desk.example", "gate.example", "elsewhere.example"} {
		for _, path := range []string{"/bookings", "/bookings/7", "/bookings/7/hull", "/bookings/8", "/bookings2"} {
			if alone.Match(host, path, "GET") == nil {
				continue
			}
			if both.Match(host, path, "GET").Target.Name == "m" {
				return true
			}
		}
	}
	return false
}

func matcherOf(t *testing.T, targets ...config.Object) *match.Matcher {
	t.Helper()
	s, _, err := config.Empty().Next(append([]config.Object{service("a", "")}, targets...), nil)
	if err != nil {
		t.Fatal(err)
	}
	return match.Compile(s)
}
