package config

import "fmt"

// Check reports every inconsistency of the snapshot as a *CheckError, or nil.
func (s *Snapshot) Check() error {
	var ps []Problem
	for _, t := range s.Targets() {
		ps = append(ps, s.checkTarget(t)...)
	}
	if len(ps) == 0 {
		return nil
	}
	return &CheckError{Problems: ps}
}

func (s *Snapshot) checkTarget(t *Target) []Problem {
	var ps []Problem
	key := Key{KindTarget, t.Name}
	if s.services[t.Service] == nil {
		ps = append(ps, Problem{
			Key: key, Field: "service", Missing: []string{t.Service},
			Reason: fmt.Sprintf("the service %q is not in the mesh", t.Service),
		})
	}
	if t.Share < 0 || t.Share > 1 {
		ps = append(ps, Problem{Key: key, Field: "share", Reason: "must be between 0 and 1"})
	}
	return ps
}
