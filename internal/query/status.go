package query

import (
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// ConfigState is what a node's config.Store holds.
type ConfigState struct {
	InForce      config.Version
	Refused      *config.Refused
	OtherHistory *config.Refused
	// Omitted is what of the version in force is left out; see config.Snapshot.Omitted.
	Omitted []config.Problem
}

// ConfigStateOf reads the state of a store.
func ConfigStateOf[P any](s *config.Store[P]) ConfigState {
	inForce := s.Load().Snapshot
	return ConfigState{
		InForce: inForce.Version(), Omitted: inForce.Omitted(),
		Refused: s.Refused(), OtherHistory: s.OtherHistory(),
	}
}

// PlatformState is what a node knows of the platform.
type PlatformState struct {
	// Accepted is the newest version known to be accepted.
	Accepted config.Version
	// LastAnswer is when the platform last answered a node of which this one
	// knows, and DownSince when it began to fail; zero while it answers.
	LastAnswer time.Time
	DownSince  time.Time
	// Err is why the platform's last answer was a failure, in words.
	Err string
	// HistoryError tells of an older head or another history, if it shows one.
	HistoryError string
}

// VersionProblem is a version that could not be put in force.
type VersionProblem struct {
	Version config.Version `json:"version"`
	Reason  string         `json:"reason"`
}

// Status is what one node says of itself.
type Status struct {
	At           time.Time        `json:"at"`
	VM           string           `json:"vm"`
	Region       string           `json:"region"`
	DataCentre   string           `json:"data_centre"`
	Ready        bool             `json:"ready"`
	Draining     bool             `json:"draining"`
	InForce      config.Version   `json:"in_force"`
	Accepted     config.Version   `json:"accepted"`
	Refused      *VersionProblem  `json:"refused,omitempty"`
	OtherHistory *VersionProblem  `json:"other_history,omitempty"`
	Omitted      []config.Problem `json:"omitted,omitempty"`
	Members      MemberCounts     `json:"members"`
	Blind        Blind            `json:"cannot_see"`
}

// MemberCounts counts the nodes in a view by state.
type MemberCounts struct {
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Leaving int `json:"leaving"`
}

// StatusInput is what a Status is built from.
type StatusInput struct {
	Self     membership.VM
	Ready    bool
	Draining bool
	Config   ConfigState
	Platform PlatformState
	View     *membership.View
}

// StatusOf builds the status of a node.
func StatusOf(in StatusInput, now time.Time) Status {
	return Status{
		At: now.UTC(), VM: in.Self.ID, Region: in.Self.Region, DataCentre: in.Self.DataCentre,
		Ready: in.Ready, Draining: in.Draining,
		InForce: in.Config.InForce, Accepted: newest(in.Platform.Accepted, in.Config.InForce),
		Refused:      problemOf(in.Config.Refused),
		OtherHistory: problemOf(in.Config.OtherHistory),
		Omitted:      in.Config.Omitted,
		Members:      countMembers(in.View),
		Blind:        blindOf(in.Platform, in.View, now),
	}
}

func countMembers(v *membership.View) MemberCounts {
	var c MemberCounts
	for _, r := range v.Records {
		switch r.State {
		case membership.VMAlive:
			c.Alive++
		case membership.VMSuspect:
			c.Suspect++
		case membership.VMLeaving:
			c.Leaving++
		}
	}
	return c
}

func problemOf(r *config.Refused) *VersionProblem {
	if r == nil {
		return nil
	}
	return &VersionProblem{Version: r.Version, Reason: r.Err.Error()}
}

func newest(a, b config.Version) config.Version {
	if b.Newer(a) {
		return b
	}
	return a
}
