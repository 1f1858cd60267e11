package query

import (
	"slices"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// Blind tells what the answering node can't see, and how old that makes what
// it tells.
type Blind struct {
	// CutOff are data centres from which nothing is heard.
	CutOff []CutOff `json:"cut_off,omitempty"`
	// Silent are nodes that do not answer, though others of their data centre
	// do.
	Silent []SilentNode `json:"silent,omitempty"`
	// Unreported are nodes whose calls are in no figure here, because they
	// were asked and did not answer in time.
	Unreported []SilentNode `json:"unreported,omitempty"`
	// PlatformDownSince is set while the platform does not answer; changes
	// can't be accepted through this node then.
	PlatformDownSince  time.Time `json:"platform_down_since,omitzero"`
	PlatformDownMS     int64     `json:"platform_down_ms,omitempty"`
	PlatformAnswerAgo  int64     `json:"platform_answer_age_ms"`
	PlatformNeverHeard bool      `json:"platform_never_heard,omitempty"`
	PlatformError      string    `json:"platform_error,omitempty"`
	PlatformHistory    string    `json:"platform_history,omitempty"`
}

// CutOff is a data centre from which nothing is heard.
type CutOff struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
	AgeMS      int64     `json:"age_ms"`
	Nodes      int       `json:"nodes"` // last known there
}

// SilentNode is a node that does not answer.
type SilentNode struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	AgeMS      int64  `json:"age_ms"` // since anything new was learned of it
}

// blindOf goes by the membership's own judgement of which nodes are silent. The
// age of a record can't tell: it grows while nothing changes at its node, though
// the node answers every probe.
func blindOf(p PlatformState, v *membership.View, now time.Time) Blind {
	b := Blind{PlatformError: p.Err, PlatformHistory: p.HistoryError}
	if p.LastAnswer.IsZero() {
		b.PlatformNeverHeard = true
	} else {
		b.PlatformAnswerAgo = age(now, p.LastAnswer)
	}
	if !p.DownSince.IsZero() {
		b.PlatformDownSince, b.PlatformDownMS = p.DownSince.UTC(), age(now, p.DownSince)
	}
	nodes := make(map[string]int)
	for _, r := range sortedRecords(v) {
		nodes[r.VM.DataCentre]++
		_, cut := v.CutOff[r.VM.DataCentre]
		if !cut && r.VM.ID != v.Self && r.State == membership.VMSuspect {
			b.Silent = append(b.Silent, SilentNode{r.VM.ID, r.VM.DataCentre, age(now, r.UpdatedAt)})
		}
	}
	for dc, since := range v.CutOff {
		b.CutOff = append(b.CutOff, CutOff{dc, since.UTC(), age(now, since), nodes[dc]})
	}
	slices.SortFunc(b.CutOff, func(x, y CutOff) int { return strings.Compare(x.DataCentre, y.DataCentre) })
	return b
}

func sortedRecords(v *membership.View) []*membership.ObservedRecord {
	out := make([]*membership.ObservedRecord, 0, len(v.Records))
	for _, r := range v.Records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *membership.ObservedRecord) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return out
}

// age returns now-t in milliseconds, and 0 when clocks make it negative.
func age(now, t time.Time) int64 { return max(0, now.Sub(t).Milliseconds()) }
