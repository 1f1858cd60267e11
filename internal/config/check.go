package config

import (
	"fmt"
	"slices"
	"sort"
)

// DefaultObjectsPerTeam bounds the services and targets of one team, where the
// settings say nothing else.
const DefaultObjectsPerTeam = 500

// Check reports every inconsistency of the snapshot as a *CheckError, or nil.
//
// Check depends on the snapshot alone, so every node comes to the same verdict
// as the node that accepted the version. Bounds that may differ between nodes
// are left to the accepting node; see TeamObjects.
func (s *Snapshot) Check() error { return asCheckError(s.problems()) }

// CheckAfter is Check for a snapshot about to replace parent. A service that
// was withdrawn while targets need it is reported once, with its dependents, in
// place of once for each target.
func (s *Snapshot) CheckAfter(parent *Snapshot) error {
	withdrawn := make(map[string][]string)
	var out []Problem
	for _, p := range s.problems() {
		if !p.isMissingService() || parent.Service(p.Missing[0]) == nil {
			out = append(out, p)
			continue
		}
		withdrawn[p.Missing[0]] = append(withdrawn[p.Missing[0]], p.Key.Name)
	}
	for name, targets := range withdrawn {
		out = append(out, Problem{
			Key: Key{KindService, name}, Dependents: targets,
			Reason: "cannot be withdrawn while targets need it",
		})
	}
	sortProblems(out)
	return asCheckError(out)
}

// TeamObjects returns how many services and targets the team owns.
func (s *Snapshot) TeamObjects(team string) int {
	n := 0
	for _, v := range s.services {
		if v.Team == team {
			n++
		}
	}
	for _, t := range s.targets {
		if t.Team == team {
			n++
		}
	}
	return n
}

func (s *Snapshot) findProblems() []Problem {
	var ps []Problem
	if s.undecoded != nil {
		ps = append(ps, undecodedProblem(s.undecoded))
	}
	for _, unsound := range s.unsound {
		ps = append(ps, unsound...)
	}
	ps = append(ps, s.callers.check()...)
	for name, t := range s.targets {
		ps = append(ps, s.checkService(name, t)...)
	}
	ps = append(ps, s.checkMatches()...)
	ps = append(ps, s.checkKeys()...)
	sortProblems(ps)
	return ps
}

func undecodedProblem(err error) Problem {
	if o, ok := err.(*ObjectError); ok {
		return Problem{Key: o.Key, Reason: o.Reason}
	}
	return Problem{Reason: err.Error()}
}

func (s *Snapshot) checkService(name string, t *Target) []Problem {
	var ps []Problem
	if t.Service != "" {
		ps = s.missing(ps, name, "service", t.Service)
	}
	for _, p := range t.Split {
		if p.Service != t.Service {
			ps = s.missing(ps, name, "split", p.Service)
		}
	}
	return ps
}

// missing adds the problem of a target that needs a service that is not there.
func (s *Snapshot) missing(ps []Problem, target, field, service string) []Problem {
	if s.services[service] != nil {
		return ps
	}
	return append(ps, Problem{
		Key: Key{KindTarget, target}, Field: field, Missing: []string{service},
		Reason: fmt.Sprintf("the service %q is not in the mesh", service),
	})
}

// checkMatches refuses two classes that the rule of Match can't tell apart.
// Without it, which of the two a call belongs to would depend on the order in
// which a node compiled them.
func (s *Snapshot) checkMatches() []Problem {
	type place struct{ host, prefix string }
	first := make(map[place]*Target, len(s.targets))
	var more map[place][]*Target // where several classes share a place
	var ps []Problem
	for _, t := range s.Targets() {
		at := place{t.Match.Host, t.Match.PathPrefix}
		o := first[at]
		if o == nil {
			first[at] = t
			continue
		}
		for _, o := range append([]*Target{o}, more[at]...) {
			if methodsClash(o.Match.Methods, t.Match.Methods) {
				ps = append(ps, Problem{
					Key: Key{KindTarget, t.Name}, Field: "match",
					Reason: fmt.Sprintf("matches the same calls as the target %q", o.Name),
				})
			}
		}
		if more == nil {
			more = make(map[place][]*Target)
		}
		more[at] = append(more[at], t)
	}
	return ps
}

// methodsClash reports whether neither list takes precedence over the other
// for some method.
func methodsClash(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func (p Problem) isMissingService() bool { return len(p.Missing) == 1 }

func sortProblems(ps []Problem) {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.Key != b.Key {
			return a.Key.Less(b.Key)
		}
		if a.Field != b.Field {
			return a.Field < b.Field
		}
		return a.Reason < b.Reason
	})
}

func asCheckError(ps []Problem) error {
	if len(ps) == 0 {
		return nil
	}
	return &CheckError{Problems: ps}
}
