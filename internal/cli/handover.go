package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func printStatus(w io.Writer, s *adminapi.Status) {
	fmt.Fprintf(w, "node       %s in %s, region %s: %s\n", clean(s.VM), clean(s.DataCentre), clean(s.Region), s.State)
	fmt.Fprintf(w, "in force   version %s\n", versionText(s.InForce))
	fmt.Fprintf(w, "accepted   version %s\n", versionText(s.Accepted))
	if len(s.Spread) > 0 {
		v := s.Spread[0]
		fmt.Fprintf(w, "spread     version %d came into force here %s after it was accepted\n",
			v.Version, age(float64(v.TookMs)/1000))
	}
	if refused, ok := s.Refused.Get(); ok {
		fmt.Fprintf(w, "refused    version %d: %s\n", refused, clean(s.RefusedReason.Value))
	}
	fmt.Fprintf(w, "platform   %s\n", platformText(s.Platform))
	fmt.Fprintf(w, "nodes      %d known\n", s.Nodes)
	t := newTable(w, "SERVICE", "INSTANCE", "STATE", "SLOTS")
	for _, b := range s.Backends {
		t.row(b.Service, b.Instance, string(b.State), strconv.Itoa(b.Slots))
	}
	t.flush()
}

func platformText(p adminapi.PlatformState) string {
	text := "reachable"
	if !p.Reachable {
		text = "NOT REACHABLE"
	}
	if last, ok := p.AgeSeconds.Get(); ok {
		text += ", last answer " + age(last) + " ago"
	} else {
		text += ", no answer yet"
	}
	if p.DownSince.Set {
		text += ", down since " + when(p.DownSince.Value)
	}
	if p.Detail.Set {
		text += ": " + clean(p.Detail.Value)
	}
	return text
}

// maxSpread is how many versions the handover tells the times of.
const maxSpread = 5

// printHandover writes first what somebody has to look at, then a section for
// each thing that the next shift has to know. A section with nothing to tell
// says so, since a gap could also mean that nobody looked.
func printHandover(w io.Writer, h *adminapi.Handover) {
	writeAttention(w, h.Attention)
	fmt.Fprintf(w, "\nat         %s, seen by %s\n", when(h.At), clean(h.SeenBy))
	fmt.Fprintf(w, "accepted   version %s\n", versionText(h.Accepted))
	fmt.Fprintf(w, "in force   version %s here; accepted version on %d of %d nodes\n",
		versionText(h.InForce), h.NodesInForce, h.Nodes)
	fmt.Fprintf(w, "platform   %s\n", platformText(h.Platform))
	fmt.Fprintf(w, "calls      figures of %d of %d nodes asked\n", h.ReportsAnswered, h.ReportsAsked)
	section(w, "Nodes behind or refusing a version", len(h.Behind), func() { writeBehind(w, h.Behind) })
	if len(h.OtherHistory)+len(h.Conflicts) > 0 {
		section(w, "Other histories", 1, func() { writeOtherHistories(w, h) })
	}
	section(w, "From accepted to in force here", len(h.Spread), func() {
		writeTimings(w, h.Spread[:min(len(h.Spread), maxSpread)])
	})
	section(w, "Targets, last minute", len(h.Targets), func() { writeTargetStates(w, h.Targets) })
	section(w, "Endpoints starting, draining or ejected", len(h.Endpoints), func() { writeEndpoints(w, h.Endpoints) })
	section(w, "Quarantined requests", len(h.Quarantined), func() { writeQuarantined(w, h.Quarantined) })
	section(w, "Not seen", len(h.NotSeen), func() { writeNotSeen(w, h.NotSeen) })
	section(w, "Changes since "+when(h.Since), len(h.Changes), func() { writeHistory(w, h.Changes) })
	if h.MoreChanges.Value {
		fmt.Fprintln(w, "there are more changes: see marlpass history")
	}
}

func writeAttention(w io.Writer, lines []string) {
	if len(lines) == 0 {
		fmt.Fprintln(w, "nothing needs attention")
		return
	}
	fmt.Fprintln(w, "NEEDS ATTENTION")
	for _, l := range lines {
		fmt.Fprintln(w, "  "+clean(l))
	}
}

func writeOtherHistories(w io.Writer, h *adminapi.Handover) {
	for _, n := range h.OtherHistory {
		fmt.Fprintf(w, "%s in %s: version %d %s\n", clean(n.VM), clean(n.DataCentre), n.Version, clean(n.Reason))
	}
	for _, c := range h.Conflicts {
		fmt.Fprintln(w, clean(c))
	}
}

func writeTimings(w io.Writer, list []adminapi.VersionTiming) {
	t := newTable(w, "VERSION", "ACCEPTED", "IN FORCE", "TOOK")
	for _, v := range list {
		t.row(number(v.Version), when(v.AcceptedAt), when(v.InForceAt), age(float64(v.TookMs)/1000))
	}
	t.flush()
}

func section(w io.Writer, title string, rows int, write func()) {
	fmt.Fprintf(w, "\n%s\n", title)
	if rows == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	write()
}

func writeBehind(w io.Writer, list []adminapi.NodeBehind) {
	t := newTable(w, "VM", "DATA CENTRE", "APPLIED", "REFUSED", "BEHIND", "REASON", "AGE")
	for _, n := range list {
		refused := ""
		if n.Refused.Set {
			refused = number(n.Refused.Value)
		}
		t.row(n.VM, n.DataCentre, number(n.Applied), refused, strconv.FormatInt(n.Versions, 10),
			n.Reason.Value, age(n.AgeSeconds))
	}
	t.flush()
}

func writeTargetStates(w io.Writer, list []adminapi.TargetState) {
	t := newTable(w, "TARGET", "SERVICE", "STATE", "AIM", "MEASURED", "WITHIN", "CALLS", "FAILED", "NOT RUN", "NODES", "AGE")
	for _, s := range list {
		aim := ""
		if s.AimMs.Set {
			aim = fmt.Sprintf("p%g %dms", s.Percentile.Value, s.AimMs.Value)
		}
		t.row(s.Name, s.Service, string(s.State), aim, float(s.MeasuredMs, "ms"), float(s.WithinPercent, "%"),
			count(s.Calls), count(s.Failed), notRunText(s), strconv.Itoa(s.Nodes), age(s.AgeSeconds))
	}
	t.flush()
}

// notRunText tells how many calls were refused, and by which reasons.
func notRunText(s adminapi.TargetState) string {
	text := count(s.NotRun)
	for _, r := range s.NotRunBy {
		text += fmt.Sprintf(" %s:%d", r.Reason, r.Calls)
	}
	return text
}

func count(n int64) string { return strconv.FormatInt(n, 10) }

func writeEndpoints(w io.Writer, list []adminapi.EndpointState) {
	t := newTable(w, "SERVICE", "VM", "INSTANCE", "STATE", "BY NODES", "REASON", "AGE")
	for _, e := range list {
		nodes := ""
		if e.Nodes > 0 {
			nodes = strconv.Itoa(e.Nodes)
		}
		t.row(e.Service, e.VM, e.Instance, string(e.State), nodes, e.Reason.Value, age(e.AgeSeconds))
	}
	t.flush()
}

func writeQuarantined(w io.Writer, list []adminapi.QuarantinedRequest) {
	t := newTable(w, "FINGERPRINT", "STATE", "SERVICE", "REQUEST", "CRASHES", "LIFTED BY", "UNTIL")
	for _, q := range list {
		t.row(q.Fingerprint, string(q.State), q.Service.Value, q.Detail.Value,
			strings.Join(q.Crashes, " "), q.By.Value, when(q.Expires))
	}
	t.flush()
}

func writeNotSeen(w io.Writer, list []adminapi.NotSeen) {
	t := newTable(w, "WHAT", "NAME", "DETAIL", "SINCE", "AGE")
	for _, n := range list {
		since, old := "", ""
		if n.Since.Set {
			since = when(n.Since.Value)
		}
		if n.AgeSeconds.Set {
			old = age(n.AgeSeconds.Value)
		}
		t.row(string(n.What), n.Name.Value, n.Detail, since, old)
	}
	t.flush()
}
