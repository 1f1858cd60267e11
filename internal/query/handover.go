package query

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// HandoverInput is what a Handover is built from, all of it from one node.
type HandoverInput struct {
	Since    time.Time // from when on the next shift wants to know
	Config   ConfigState
	Platform PlatformState
	View     *membership.View
	// Targets are the targets in force, and Reports what nodes counted of them.
	Targets []*config.Target
	Reports *Reports
	// Quarantined are the requests that the mesh holds suspect or refuses.
	Quarantined []Quarantine
	// Conflicts are versions of another history that were seen, and Findings
	// what else was odd about versions.
	Conflicts []string
	Findings  []Finding
	// Spread are the versions that came in force here, newest first.
	Spread []VersionTime
	// History are the changes since Since, and HistoryErr why they could not
	// be read in full.
	History    HistoryPage
	HistoryErr error
}

// Handover is what the next shift needs, as one node sees it.
type Handover struct {
	At    time.Time `json:"at"`
	Since time.Time `json:"since,omitzero"`
	VM    string    `json:"vm"`
	// Attention lists in plain lines what somebody has to look at.
	Attention  []string      `json:"attention"`
	Versions   Versions      `json:"versions"`
	Classes    []ClassReport `json:"classes"`
	ClassesAge int64         `json:"classes_age_ms"`
	// Asked nodes were asked for the figures in Classes, and Reported answered.
	Asked       int          `json:"reports_asked"`
	Reported    int          `json:"reports_answered"`
	Endpoints   []Endpoint   `json:"endpoints"`
	Quarantined []Quarantine `json:"quarantined"`
	Members     MemberCounts `json:"members"`
	Blind       Blind        `json:"cannot_see"`
	Conflicts   []string     `json:"conflicts,omitempty"`
	Findings    []Finding    `json:"findings,omitempty"`
	Changes     HistoryPage  `json:"changes"`
	ChangesErr  string       `json:"changes_error,omitempty"`
}

// Versions tells which version is accepted and who runs it.
type Versions struct {
	Accepted     config.Version  `json:"accepted"`
	InForceHere  config.Version  `json:"in_force_here"`
	Nodes        int             `json:"nodes"`
	NodesCurrent int             `json:"nodes_current"`
	Behind       []NodeBehind    `json:"behind,omitempty"`
	Refusing     []NodeRefusal   `json:"refusing,omitempty"`
	OtherHistory []NodeRefusal   `json:"other_history,omitempty"`
	Spread       []VersionTime   `json:"spread,omitempty"`
	RefusedHere  *VersionProblem `json:"refused_here,omitempty"`
	ForeignHere  *VersionProblem `json:"foreign_here,omitempty"`
	// OmittedHere is what this node leaves out of the version in force.
	OmittedHere []config.Problem `json:"omitted_here,omitempty"`
}

// NodeBehind is a node that runs an older version than the accepted one.
type NodeBehind struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	InForce    uint64 `json:"in_force"`
	Versions   uint64 `json:"versions_behind"`
	AgeMS      int64  `json:"age_ms"` // of what is known of the node
	CutOff     bool   `json:"cut_off,omitempty"`
}

// NodeRefusal is a node that can't run a version, and why.
type NodeRefusal struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Reason     string `json:"reason"`
}

// VersionTime tells how long a version took to come in force on this node. The
// two times are of two clocks, so TookMS is off by their difference.
type VersionTime struct {
	Version    uint64    `json:"version"`
	AcceptedAt time.Time `json:"accepted_at"`
	InForceAt  time.Time `json:"in_force_at"`
	TookMS     int64     `json:"took_ms"`
}

// NewVersionTime returns the times of one version.
func NewVersionTime(version uint64, accepted, inForce time.Time) VersionTime {
	return VersionTime{version, accepted.UTC(), inForce.UTC(), age(inForce, accepted)}
}

// EndpointState says why an endpoint gets no new calls.
type EndpointState string

// States of an endpoint that gets no new calls.
const (
	EndpointDraining EndpointState = "draining"
	EndpointStarting EndpointState = "starting"
	EndpointEjected  EndpointState = "ejected"
)

// Endpoint is an endpoint that gets no new calls, or few.
type Endpoint struct {
	Service    string        `json:"service"`
	VM         string        `json:"vm"`
	DataCentre string        `json:"data_centre"`
	Instance   string        `json:"instance"`
	State      EndpointState `json:"state"`
	Reason     string        `json:"reason,omitempty"`
	Nodes      int           `json:"nodes,omitempty"` // how many have ejected it
	AgeMS      int64         `json:"age_ms"`          // since this was learned
}

// QuarantineState is what the mesh does with a request.
type QuarantineState string

// States of a request that was in flight when a backend server crashed.
const (
	QuarantineSuspect QuarantineState = "suspect"     // runs at one endpoint only
	QuarantineRefused QuarantineState = "quarantined" // is refused
	QuarantineLifted  QuarantineState = "lifted"      // runs again
)

// Quarantine is a request that was in flight when backend servers crashed.
type Quarantine struct {
	ID      string          `json:"id"` // its fingerprint
	State   QuarantineState `json:"state"`
	Service string          `json:"service,omitempty"`
	Detail  string          `json:"detail"`            // what it asks for, in words
	Crashes []string        `json:"crashes,omitempty"` // that count: VM, backend server, moment
	By      string          `json:"by,omitempty"`      // who lifted it
	Expires time.Time       `json:"expires"`
}

// Finding is something odd about versions that a node met and that did no harm.
type Finding struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail"`
}

// HandoverOf builds the handover.
func HandoverOf(in HandoverInput, now time.Time) Handover {
	h := Handover{
		At: now.UTC(), Since: in.Since, VM: in.View.Self,
		Versions:    versionsOf(in, now),
		Classes:     in.Reports.Classes(in.Targets),
		ClassesAge:  age(now, in.Reports.At),
		Asked:       in.Reports.Asked,
		Reported:    in.Reports.Answered,
		Endpoints:   endpointsOf(in, now),
		Quarantined: quarantinedOf(in.Quarantined, now),
		Members:     countMembers(in.View),
		Blind:       blindOf(in.Platform, in.View, now),
		Conflicts:   append([]string{}, in.Conflicts...),
		Findings:    append([]Finding{}, in.Findings...),
		Changes:     in.History,
	}
	h.Blind.Unreported = in.Reports.unreported(in.View, now)
	if h.Changes.Entries == nil {
		h.Changes.Entries = []Entry{}
	}
	if in.HistoryErr != nil {
		h.ChangesErr = in.HistoryErr.Error()
	}
	h.Attention = attention(&h)
	return h
}

func versionsOf(in HandoverInput, now time.Time) Versions {
	v := Versions{
		Accepted:    newest(in.Platform.Accepted, in.Config.InForce),
		InForceHere: in.Config.InForce,
		Spread:      in.Spread,
		RefusedHere: problemOf(in.Config.Refused),
		ForeignHere: problemOf(in.Config.OtherHistory),
		OmittedHere: in.Config.Omitted,
	}
	for _, r := range sortedRecords(in.View) {
		if r.State == membership.VMDead || r.State == membership.VMLeaving {
			continue
		}
		v.Nodes++
		v.add(r, in.View, now)
	}
	return v
}

func (v *Versions) add(r *membership.ObservedRecord, view *membership.View, now time.Time) {
	refusal := NodeRefusal{VM: r.VM.ID, DataCentre: r.VM.DataCentre}
	if r.RefusedVersion > r.AppliedVersion {
		refusal.Version, refusal.Reason = r.RefusedVersion, r.RefusedReason
		v.Refusing = append(v.Refusing, refusal)
	}
	switch {
	case r.AppliedVersion < v.Accepted.Number:
		_, cut := view.CutOff[r.VM.DataCentre]
		v.Behind = append(v.Behind, NodeBehind{
			VM: r.VM.ID, DataCentre: r.VM.DataCentre, InForce: r.AppliedVersion,
			Versions: v.Accepted.Number - r.AppliedVersion, AgeMS: age(now, r.UpdatedAt), CutOff: cut,
		})
	case r.AppliedVersion == v.Accepted.Number && otherHash(r, v.Accepted):
		refusal.Version, refusal.Reason = r.AppliedVersion, "runs the same number with another hash"
		v.OtherHistory = append(v.OtherHistory, refusal)
	default:
		v.NodesCurrent++
	}
}

// otherHash reports whether r tells another hash than v has. Of most nodes only
// the number of the version is known.
func otherHash(r *membership.ObservedRecord, v config.Version) bool {
	return r.AppliedHash != [8]byte{} && !bytes.Equal(r.AppliedHash[:], v.Hash[:len(r.AppliedHash)])
}

func endpointsOf(in HandoverInput, now time.Time) []Endpoint {
	out := append([]Endpoint{}, in.Reports.ejections(in.View)...)
	for _, r := range sortedRecords(in.View) {
		for _, b := range r.Backends {
			e := Endpoint{
				Service: b.Service, VM: r.VM.ID, DataCentre: r.VM.DataCentre,
				Instance: b.Instance, AgeMS: age(now, r.UpdatedAt),
			}
			switch {
			case r.State == membership.VMLeaving:
				e.State, e.Reason = EndpointDraining, "its node is leaving"
			case b.State == membership.BackendDraining:
				e.State = EndpointDraining
			case b.State == membership.BackendStarting:
				e.State = EndpointStarting
			default:
				continue
			}
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Endpoint) int {
		return strings.Compare(a.Service+"\x00"+a.VM+"\x00"+a.Instance, b.Service+"\x00"+b.VM+"\x00"+b.Instance)
	})
	return out
}

// quarantinedOf lists the requests that are still held, by ID.
func quarantinedOf(qs []Quarantine, now time.Time) []Quarantine {
	out := []Quarantine{}
	for _, q := range qs {
		if q.Expires.After(now) {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// maxOmittedNamed bounds the objects left out that are named one by one.
const maxOmittedNamed = 8

// attention says in plain lines what somebody has to look at, worst first.
func attention(h *Handover) []string {
	out := []string{}
	add := func(n int, format string, args ...any) {
		if n > 0 {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	v, b := &h.Versions, &h.Blind
	if v.ForeignHere != nil || b.PlatformHistory != "" || len(v.OtherHistory) > 0 {
		out = append(out, "two histories of the configuration are around; see docs/operators/hand-over.md before any change")
	}
	if !b.PlatformDownSince.IsZero() {
		out = append(out, fmt.Sprintf("the platform has not answered this node for %s; changes need a node that reaches it",
			time.Duration(b.PlatformDownMS)*time.Millisecond))
	}
	add(len(b.CutOff), "%d data centres are cut off from here", len(b.CutOff))
	add(len(v.Refusing), "%d nodes refuse a version", len(v.Refusing))
	add(len(v.Behind), "%d of %d nodes are behind version %d", len(v.Behind), v.Nodes, v.Accepted.Number)
	for i, p := range v.OmittedHere {
		if i == maxOmittedNamed {
			out = append(out, fmt.Sprintf("the version in force leaves out %d more objects", len(v.OmittedHere)-i))
			break
		}
		out = append(out, "the version in force leaves out "+p.String())
	}
	missed := countWhere(h.Classes, func(c ClassReport) bool { return c.State == ClassMissed })
	add(missed, "%d classes miss their target", missed)
	ejected := countWhere(h.Endpoints, func(e Endpoint) bool { return e.State == EndpointEjected })
	add(ejected, "%d endpoints are ejected: their calls fail", ejected)
	refused := countWhere(h.Quarantined, func(q Quarantine) bool { return q.State == QuarantineRefused })
	add(refused, "%d requests are quarantined", refused)
	add(len(b.Silent), "%d nodes are silent", len(b.Silent))
	add(len(b.Unreported), "%d of %d nodes did not report their calls; they are in no figure", len(b.Unreported), h.Asked)
	add(len(h.Conflicts), "versions of another history have been seen: see conflicts")
	if h.ChangesErr != "" {
		out = append(out, "the changes could not be read in full")
	}
	return out
}

func countWhere[T any](list []T, ok func(T) bool) int {
	n := 0
	for _, v := range list {
		if ok(v) {
			n++
		}
	}
	return n
}
