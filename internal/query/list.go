package query

import "github.com/marlpass/marlpass/internal/config"

// ListFilter narrows a listing; empty fields match everything.
type ListFilter struct {
	Team    string
	Service string
}

// Listing is the configuration of one version.
type Listing struct {
	Version  config.Version    `json:"version"`
	Services []*config.Service `json:"services"`
	Targets  []*config.Target  `json:"targets"`
}

// List returns the services and targets of s that f lets through.
func List(s *config.Snapshot, f ListFilter) Listing {
	l := Listing{Version: s.Version(), Services: []*config.Service{}, Targets: []*config.Target{}}
	for _, v := range s.Services() {
		if matches(f.Team, v.Team) && matches(f.Service, v.Name) {
			l.Services = append(l.Services, v)
		}
	}
	for _, t := range s.Targets() {
		if matches(f.Team, t.Team) && matches(f.Service, t.Service) {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

func matches(want, got string) bool { return want == "" || want == got }

// DiffReport tells what leads from one version to another.
type DiffReport struct {
	From    config.Version  `json:"from"`
	To      config.Version  `json:"to"`
	Changes []config.Change `json:"changes"`
}

// Diff compares two versions.
func Diff(from, to *config.Snapshot) DiffReport {
	cs := config.Diff(from, to)
	if cs == nil {
		cs = []config.Change{}
	}
	return DiffReport{From: from.Version(), To: to.Version(), Changes: cs}
}
