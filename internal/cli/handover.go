package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func printStatus(w io.Writer, s *adminapi.Status) {
	fmt.Fprintf(w, "node       %s in %s, region %s: %s\n", clean(s.VM), clean(s.DataCentre), clean(s.Region), s.State)
	fmt.Fprintf(w, "in force   version %s\n", versionText(s.InForce))
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
	if p.Detail.Set {
		text += ": " + clean(p.Detail.Value)
	}
	return text
}

// printHandover writes a section for each thing that the next shift has to
// know. A section with nothing to tell says so, since a gap could also mean
// that nobody looked.
func printHandover(w io.Writer, h *adminapi.Handover) {
	fmt.Fprintf(w, "at         %s, seen by %s\n", when(h.At), clean(h.SeenBy))
	fmt.Fprintf(w, "accepted   version %s\n", versionText(h.Accepted))
	fmt.Fprintf(w, "in force   version %s here; accepted version on %d of %d nodes\n",
		versionText(h.InForce), h.NodesInForce, h.Nodes)
	fmt.Fprintf(w, "platform   %s\n", platformText(h.Platform))
	section(w, "Nodes behind", len(h.Behind), func() { writeBehind(w, h.Behind) })
	section(w, "Targets", len(h.Targets), func() { writeTargetStates(w, h.Targets) })
	section(w, "Endpoints starting, draining or ejected", len(h.Endpoints), func() { writeEndpoints(w, h.Endpoints) })
	section(w, "Quarantined requests", len(h.Quarantined), func() { writeQuarantined(w, h.Quarantined) })
	section(w, "Not seen", len(h.NotSeen), func() { writeNotSeen(w, h.NotSeen) })
	section(w, "Changes since "+when(h.Since), len(h.Changes), func() { writeHistory(w, h.Changes) })
	if h.MoreChanges.Value {
		fmt.Fprintln(w, "there are more changes: see marlpass history")
	}
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
	t := newTable(w, "VM", "DATA CENTRE", "APPLIED", "REFUSED", "REASON", "AGE")
	for _, n := range list {
		refused := ""
		if n.Refused.Set {
			refused = number(n.Refused.Value)
		}
		t.row(n.VM, n.DataCentre, number(n.Applied), refused, n.Reason.Value, age(n.AgeSeconds))
	}
	t.flush()
}

func writeTargetStates(w io.Writer, list []adminapi.TargetState) {
	t := newTable(w, "TARGET", "SERVICE", "STATE", "AIM", "MEASURED", "CALLS", "NOT RUN", "AGE")
	for _, s := range list {
		aim := ""
		if s.AimMs.Set {
			aim = fmt.Sprintf("p%g %dms", s.Percentile.Value, s.AimMs.Value)
		}
		t.row(s.Name, s.Service, string(s.State), aim, float(s.MeasuredMs, "ms"),
			count(s.Calls), count(s.NotRun), age(s.AgeSeconds))
	}
	t.flush()
}

func count(v adminapi.OptInt64) string {
	if !v.Set {
		return ""
	}
	return strconv.FormatInt(v.Value, 10)
}

func writeEndpoints(w io.Writer, list []adminapi.EndpointState) {
	t := newTable(w, "SERVICE", "VM", "INSTANCE", "STATE", "REASON", "AGE")
	for _, e := range list {
		t.row(e.Service, e.VM, e.Instance, string(e.State), e.Reason.Value, age(e.AgeSeconds))
	}
	t.flush()
}

func writeQuarantined(w io.Writer, list []adminapi.QuarantinedRequest) {
	t := newTable(w, "FINGERPRINT", "SERVICE", "DETAIL", "UNTIL")
	for _, q := range list {
		t.row(q.Fingerprint, q.Service.Value, q.Detail.Value, when(q.Expires))
	}
	t.flush()
}

func writeNotSeen(w io.Writer, list []adminapi.NotSeen) {
	t := newTable(w, "WHAT", "NAME", "DETAIL", "SINCE")
	for _, n := range list {
		since := ""
		if n.Since.Set {
			since = when(n.Since.Value)
		}
		t.row(string(n.What), n.Name.Value, n.Detail, since)
	}
	t.flush()
}
