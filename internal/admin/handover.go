package admin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/query"
)

// HandoverOf returns a handover in the API's shape.
func HandoverOf(h query.Handover) *adminapi.Handover {
	v := h.Versions
	out := &adminapi.Handover{
		Attention: h.Attention, At: h.At, SeenBy: h.VM,
		Accepted: VersionOf(v.Accepted), InForce: VersionOf(v.InForceHere),
		Platform: PlatformOf(h.Blind),
		Nodes:    v.Nodes, NodesInForce: v.NodesCurrent,
		Behind: behindOf(v), OtherHistory: problemsOf(v.OtherHistory),
		Spread:       TimingsOf(v.Spread),
		ReportsAsked: h.Asked, ReportsAnswered: h.Reported,
		Targets: targetStatesOf(h), Endpoints: endpointsOf(h.Endpoints),
		Quarantined: QuarantinedOf(h.Quarantined),
		NotSeen:     notSeenOf(h), Conflicts: h.Conflicts,
		Since: h.Since, Changes: entriesOf(h.Changes.Entries),
	}
	if h.Changes.More {
		out.MoreChanges.SetTo(true)
	}
	return out
}

// HistoryOf returns a page of the history in the API's shape.
func HistoryOf(p query.HistoryPage) *adminapi.History {
	out := &adminapi.History{Entries: entriesOf(p.Entries)}
	if n := len(out.Entries); p.More && n > 0 {
		out.Next.SetTo(out.Entries[n-1].Version.Number)
	}
	return out
}

func entriesOf(entries []query.Entry) []adminapi.HistoryEntry {
	out := make([]adminapi.HistoryEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, adminapi.HistoryEntry{
			Version: VersionOf(e.Version), At: e.At, By: e.By, Team: e.Team,
			Command: e.Command, Note: optString(e.Note),
			Changes: slices.Concat(
				touched(e.Created, adminapi.ObjectChangeActionAdded),
				touched(e.Changed, adminapi.ObjectChangeActionChanged),
				touched(e.Withdrawn, adminapi.ObjectChangeActionWithdrawn)),
		})
	}
	return out
}

func touched(keys []config.Key, action adminapi.ObjectChangeAction) []adminapi.ObjectChange {
	out := make([]adminapi.ObjectChange, len(keys))
	for i, k := range keys {
		out[i] = adminapi.ObjectChange{Kind: adminapi.Kind(k.Kind), Name: k.Name, Action: action}
	}
	return out
}

// DiffOf returns a comparison in the API's shape.
func DiffOf(d query.DiffReport) *adminapi.Diff {
	return &adminapi.Diff{From: VersionOf(d.From), To: VersionOf(d.To), Changes: ChangesOf(d.Changes)}
}

// TimingsOf returns in the API's shape how long versions took to come in force.
func TimingsOf(ts []query.VersionTime) []adminapi.VersionTiming {
	out := make([]adminapi.VersionTiming, len(ts))
	for i, t := range ts {
		out[i] = adminapi.VersionTiming{
			Version: adminapi.VersionNumber(t.Version), AcceptedAt: t.AcceptedAt,
			InForceAt: t.InForceAt, TookMs: t.TookMS,
		}
	}
	return out
}

// PlatformOf returns what is known of the platform in the API's shape.
func PlatformOf(b query.Blind) adminapi.PlatformState {
	p := adminapi.PlatformState{
		Reachable: b.PlatformDownSince.IsZero(),
		Detail:    optString(cmp.Or(b.PlatformHistory, b.PlatformError)),
	}
	if !b.PlatformNeverHeard {
		p.AgeSeconds.SetTo(seconds(b.PlatformAnswerAgo))
	}
	if !p.Reachable {
		p.DownSince.SetTo(b.PlatformDownSince)
	}
	return p
}

func seconds(ms int64) float64 { return float64(ms) / float64(time.Second/time.Millisecond) }

// behindOf lists the nodes that are behind or refuse a version, with the reason
// where one is known.
func behindOf(v query.Versions) []adminapi.NodeBehind {
	refusals := make(map[string]query.NodeRefusal, len(v.Refusing))
	for _, r := range v.Refusing {
		refusals[r.VM] = r
	}
	out := []adminapi.NodeBehind{}
	for _, n := range v.Behind {
		b := adminapi.NodeBehind{
			VM: n.VM, DataCentre: n.DataCentre, Applied: adminapi.VersionNumber(n.InForce),
			Versions: int64(n.Versions), AgeSeconds: seconds(n.AgeMS),
		}
		if n.CutOff {
			b.CutOff.SetTo(true)
			b.Reason.SetTo("its data centre is cut off from here")
		}
		if r, ok := refusals[n.VM]; ok {
			b.Refused.SetTo(adminapi.VersionNumber(r.Version))
			b.Reason.SetTo(r.Reason)
			delete(refusals, n.VM)
		}
		out = append(out, b)
	}
	// What is left refuses a version of which this node does not know yet.
	for _, r := range v.Refusing {
		if _, ok := refusals[r.VM]; ok {
			b := adminapi.NodeBehind{
				VM: r.VM, DataCentre: r.DataCentre, Applied: adminapi.VersionNumber(v.Accepted.Number),
				Reason: optString(r.Reason),
			}
			b.Refused.SetTo(adminapi.VersionNumber(r.Version))
			out = append(out, b)
		}
	}
	return out
}

func problemsOf(rs []query.NodeRefusal) []adminapi.NodeProblem {
	out := make([]adminapi.NodeProblem, len(rs))
	for i, r := range rs {
		out[i] = adminapi.NodeProblem{
			VM: r.VM, DataCentre: r.DataCentre, Version: adminapi.VersionNumber(r.Version), Reason: r.Reason,
		}
	}
	return out
}

func targetStatesOf(h query.Handover) []adminapi.TargetState {
	out := make([]adminapi.TargetState, len(h.Classes))
	for i, c := range h.Classes {
		t := adminapi.TargetState{
			Name: c.Class, Service: c.Service, State: adminapi.TargetStateState(c.State),
			Calls: int64(c.Calls), Failed: int64(c.Failed), NotRun: int64(c.Shed),
			Nodes: c.Nodes, AgeSeconds: seconds(h.ClassesAge), NotRunBy: refusedCalls(c.ShedBy),
		}
		if c.AimMS > 0 {
			t.AimMs.SetTo(c.AimMS)
			t.Percentile.SetTo(c.Percentile)
		}
		// Without calls there is nothing measured, which is not zero.
		if c.Calls > 0 {
			t.MeasuredMs.SetTo(c.MeasuredMS)
			t.P50Ms.SetTo(c.P50MS)
			if c.AimMS > 0 {
				t.WithinPercent.SetTo(c.WithinPercent)
			}
		}
		out[i] = t
	}
	return out
}

func refusedCalls(by map[string]uint64) []adminapi.RefusedCalls {
	var out []adminapi.RefusedCalls
	for why, n := range by {
		out = append(out, adminapi.RefusedCalls{Reason: why, Calls: int64(n)})
	}
	slices.SortFunc(out, func(a, b adminapi.RefusedCalls) int { return strings.Compare(a.Reason, b.Reason) })
	return out
}

func endpointsOf(es []query.Endpoint) []adminapi.EndpointState {
	out := make([]adminapi.EndpointState, len(es))
	for i, e := range es {
		out[i] = adminapi.EndpointState{
			Service: e.Service, VM: e.VM, DataCentre: e.DataCentre, Instance: e.Instance,
			State: adminapi.EndpointStateState(e.State), Reason: optString(e.Reason),
			Nodes: e.Nodes, AgeSeconds: seconds(e.AgeMS),
		}
	}
	return out
}

// QuarantinedOf returns suspected and quarantined requests in the API's shape.
func QuarantinedOf(qs []query.Quarantine) []adminapi.QuarantinedRequest {
	out := make([]adminapi.QuarantinedRequest, len(qs))
	for i, q := range qs {
		out[i] = adminapi.QuarantinedRequest{
			Fingerprint: q.ID, State: adminapi.QuarantinedRequestState(q.State),
			Service: optString(q.Service), Detail: optString(q.Detail), By: optString(q.By),
			Crashes: append([]string{}, q.Crashes...), Expires: q.Expires.UTC(),
		}
	}
	return out
}

// notSeenOf lists what the figures leave out, the largest part first.
func notSeenOf(h query.Handover) []adminapi.NotSeen {
	b := h.Blind
	out := []adminapi.NotSeen{}
	for _, c := range b.CutOff {
		n := adminapi.NotSeen{
			What: adminapi.NotSeenWhatDataCentre, Name: optString(c.DataCentre),
			Detail: fmt.Sprintf("cut off from here; %d nodes as last known", c.Nodes),
		}
		n.Since.SetTo(c.Since)
		n.AgeSeconds.SetTo(seconds(c.AgeMS))
		out = append(out, n)
	}
	if !b.PlatformDownSince.IsZero() {
		n := adminapi.NotSeen{What: adminapi.NotSeenWhatPlatform, Detail: "does not answer this node"}
		n.Since.SetTo(b.PlatformDownSince)
		if !b.PlatformNeverHeard {
			n.AgeSeconds.SetTo(seconds(b.PlatformAnswerAgo))
		}
		out = append(out, n)
	}
	out = append(out, unseenNodes(adminapi.NotSeenWhatNode, "does not answer", b.Silent)...)
	out = append(out, unseenNodes(adminapi.NotSeenWhatReport, "did not report its calls in time", b.Unreported)...)
	if h.ChangesErr != "" {
		out = append(out, adminapi.NotSeen{What: adminapi.NotSeenWhatHistory, Detail: h.ChangesErr})
	}
	return out
}

func unseenNodes(what adminapi.NotSeenWhat, detail string, list []query.SilentNode) []adminapi.NotSeen {
	out := make([]adminapi.NotSeen, len(list))
	for i, n := range list {
		out[i] = adminapi.NotSeen{What: what, Name: optString(n.VM), Detail: detail}
		out[i].AgeSeconds.SetTo(seconds(n.AgeMS))
	}
	return out
}
