package config

import (
	"fmt"
	"slices"
	"strings"
)

// omissions is what of a snapshot a node cannot put in force.
type omissions struct {
	problems []Problem
	// shadowed holds the targets that get no calls.
	shadowed map[string]bool
	keyring  *Keyring
}

// Omitted returns what a node leaves out when it puts s in force, with the reasons, in key order.
// The rest of s is in force. It depends on s alone, so that every node leaves out the same:
//
//   - Of targets that match the same calls, one gets them: one that isn't idempotent before one that
//     is, then the first by name.
//   - A key that several workspaces hold, or a workspace whose name no header can carry, serves no
//     calls; see Keyring.Unusable.
//   - Calls of a target, or of a part of its split, whose service is not stated are refused as not
//     run, unless a backend server announces itself for that service.
//   - A target without a service, or whose parts have no weight, refuses its calls as not run.
//
// Check has more rules. They are for operators who write through marlpass and don't bind versions
// that were accepted elsewhere.
func (s *Snapshot) Omitted() []Problem { return s.omissions().problems }

// Shadowed reports whether a target gets no calls because another one matches the same.
func (s *Snapshot) Shadowed(target string) bool { return s.omissions().shadowed[target] }

// Keyring returns the keyring of s, or nil if its calls need no key: it has no workspaces, and
// Callers.KeysRequired is not set.
func (s *Snapshot) Keyring() *Keyring { return s.omissions().keyring }

func (s *Snapshot) findOmissions() *omissions {
	o := &omissions{shadowed: make(map[string]bool)}
	for _, t := range s.Targets() {
		o.problems = append(o.problems, s.checkService(t.Name, t)...)
		if t.Service == "" || len(t.Split) > 0 && totalWeight(t.Split) == 0 {
			o.problems = append(o.problems, Problem{
				Key: Key{KindTarget, t.Name}, Field: "service", Reason: "has no service that takes its calls",
			})
		}
	}
	o.shadow(s)
	o.keyring = newKeyring(s, o)
	sortProblems(o.problems)
	return o
}

// shadow finds the targets that get no calls because another one matches the same.
func (o *omissions) shadow(s *Snapshot) {
	type place struct{ host, prefix string }
	first := make(map[place]*Target, len(s.targets))
	shared := make(map[place][]*Target) // places of several targets
	for _, t := range s.Targets() {
		at := place{NormalHost(t.Match.Host), t.Match.PathPrefix}
		switch {
		case first[at] == nil:
			first[at] = t
		case shared[at] == nil:
			shared[at] = []*Target{first[at], t}
		default:
			shared[at] = append(shared[at], t)
		}
	}
	for _, targets := range shared {
		o.shadowAt(targets)
	}
}

// shadowAt finds the targets of one place that get no calls. They are ordered by name.
func (o *omissions) shadowAt(targets []*Target) {
	slices.SortStableFunc(targets, func(a, b *Target) int {
		switch {
		case a.Idempotent == b.Idempotent:
			return 0
		case b.Idempotent:
			return -1
		}
		return 1
	})
	var served []*Target
	for _, t := range targets {
		i := slices.IndexFunc(served, func(other *Target) bool { return methodsClash(other.Match.Methods, t.Match.Methods) })
		if i < 0 {
			served = append(served, t)
			continue
		}
		o.shadowed[t.Name] = true
		o.problems = append(o.problems, Problem{
			Key: Key{KindTarget, t.Name}, Field: "match",
			Reason: fmt.Sprintf("matches the same calls as the target %q, which gets them", served[i].Name),
		})
	}
}

func totalWeight(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += max(p.Weight, 0)
	}
	return total
}

// NormalHost returns a host name in the form in which hosts are compared: ASCII letters in lower
// case, without a dot at the end.
func NormalHost(h string) string {
	h = strings.TrimSuffix(h, ".")
	return strings.Map(func(r rune) rune {
		if 'A' <= r && r <= 'Z' {
			return r + 'a' - 'A'
		}
		return r
	}, h)
}

// headerValue reports whether a header can carry s unchanged.
func headerValue(s string) bool {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	return s != "" && strings.Trim(s, " ") == s && !strings.ContainsFunc(s, control)
}
