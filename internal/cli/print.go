package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// table writes aligned columns. Cells are cleaned of control characters, so
// that a note or a reason from elsewhere can't command the terminal.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, head ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...string) {
	for i := range cells {
		cells[i] = clean(cells[i])
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() { t.w.Flush() }

func clean(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if !strconv.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}

func versionText(v adminapi.Version) string {
	hash, err := config.ParseHash(v.Hash)
	if err != nil {
		return fmt.Sprint(v.Number)
	}
	return fmt.Sprintf("%d (%s)", v.Number, hash.Short())
}

func number(n adminapi.VersionNumber) string { return strconv.FormatInt(int64(n), 10) }

func when(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func age(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func float(v adminapi.OptFloat64, unit string) string {
	if !v.Set {
		return ""
	}
	return strconv.FormatFloat(v.Value, 'g', 6, 64) + unit
}

func printServices(w io.Writer, l *adminapi.ServiceList) {
	fmt.Fprintf(w, "version %s\n", versionText(l.Version))
	t := newTable(w, "SERVICE", "TEAM", "DESCRIPTION")
	for _, s := range l.Services {
		t.row(s.Name, s.Team, s.Description.Value)
	}
	t.flush()
}

func printTargets(w io.Writer, l *adminapi.TargetList) {
	fmt.Fprintf(w, "version %s\n", versionText(l.Version))
	t := newTable(w, "TARGET", "TEAM", "SERVICE", "MATCH", "AIM", "SHARE", "RATE", "PRIORITY", "IDEMPOTENT", "AUDIENCE")
	for _, v := range l.Targets {
		s := v.Spec
		t.row(v.Name, v.Team, string(s.Service), matchText(s.Match), aimText(s),
			percent(s.Share), float(s.RatePerSecond, "/s"), strconv.Itoa(s.Priority.Or(config.DefaultPriority)),
			strconv.FormatBool(s.Idempotent.Value), string(s.Audience.Or(adminapi.AudiencePublic)))
	}
	t.flush()
}

func printWorkspaces(w io.Writer, l *adminapi.WorkspaceList) {
	fmt.Fprintf(w, "version %s\n", versionText(l.Version))
	t := newTable(w, "WORKSPACE", "TEAM", "KEYS", "PRIORITY", "RATE", "BURST")
	for _, v := range l.Workspaces {
		priority := "of the target"
		if v.Spec.Priority.Set {
			priority = strconv.Itoa(v.Spec.Priority.Value)
		}
		t.row(v.Name, v.Team, strconv.Itoa(len(v.Spec.KeysSHA256)), priority, float(v.Spec.RatePerSecond, "/s"), float(v.Spec.Burst, ""))
	}
	t.flush()
}

func matchText(m adminapi.Match) string {
	text := m.Host.Value + m.PathPrefix
	if len(m.Methods) > 0 {
		text = strings.Join(m.Methods, ",") + " " + text
	}
	return text
}

func aimText(s adminapi.TargetSpec) string {
	if !s.AnswerWithinMs.Set {
		return ""
	}
	return fmt.Sprintf("p%g %dms", s.Percentile.Or(config.DefaultPercentile), s.AnswerWithinMs.Value)
}

func percent(v adminapi.OptFloat64) string {
	if !v.Set {
		return ""
	}
	return strconv.FormatFloat(v.Value*100, 'g', 4, 64) + "%"
}

func printDiff(w io.Writer, d *adminapi.Diff) {
	fmt.Fprintf(w, "from version %s to %s\n", versionText(d.From), versionText(d.To))
	if len(d.Changes) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	writeChanges(w, d.Changes)
}

func writeChanges(w io.Writer, changes []adminapi.ObjectChange) {
	for _, c := range changes {
		fmt.Fprintf(w, "  %s %s/%s%s\n", c.Action, c.Kind, clean(c.Name), lastChange(c))
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", clean(f.Field), clean(f.Before.Or("none")), clean(f.After.Or("none")))
		}
	}
}

// lastChange tells who made the newest change, where the answer says so.
func lastChange(c adminapi.ObjectChange) string {
	if !c.By.Set {
		return ""
	}
	return fmt.Sprintf(", last by %s at %s in version %d", clean(c.By.Value), when(c.At.Value), c.Version.Value)
}

func printHistory(w io.Writer, h *adminapi.History) {
	writeHistory(w, h.Entries)
	if next, ok := h.Next.Get(); ok {
		fmt.Fprintf(w, "more: -before %d\n", next)
	}
}

func writeHistory(w io.Writer, entries []adminapi.HistoryEntry) {
	t := newTable(w, "VERSION", "AT", "BY", "TEAM", "CHANGE", "NOTE", "COMMAND")
	for _, e := range entries {
		var what []string
		for _, c := range e.Changes {
			what = append(what, fmt.Sprintf("%s %s/%s", c.Action, c.Kind, c.Name))
		}
		t.row(number(e.Version.Number), when(e.At), e.By, e.Team, strings.Join(what, ", "), e.Note.Value, e.Command)
	}
	t.flush()
}

func printCommand(w io.Writer, r *adminapi.CommandRecord) {
	switch r.Outcome {
	case adminapi.CommandRecordOutcomeAccepted:
		fmt.Fprintf(w, "accepted: version %s\n", versionText(r.Version.Value))
	case adminapi.CommandRecordOutcomeRefused:
		fmt.Fprintf(w, "refused: %s\n", clean(r.Reason.Value))
	default:
		fmt.Fprintln(w, "nothing is recorded: it has not taken effect, but may if it is still under way")
	}
	if r.By.Set {
		fmt.Fprintf(w, "by %s of team %s at %s\n", clean(r.By.Value), clean(r.Team.Value), when(r.At.Value))
	}
}

// problemLine is a problem document in one line. The field is named there
// unless the problems listed below the line name their own.
func problemLine(p *adminapi.Problem) string {
	text := p.Detail.Or(p.Title)
	if p.Field.Set && len(p.Problems) == 0 {
		text = fieldName(p.Field.Value) + ": " + text
	}
	return clean(text)
}

// fieldName returns what operators call a field of the API.
func fieldName(field string) string {
	if known := inputNames[field]; known != "" {
		return known
	}
	return field
}

// writeProblem writes what a problem document lists below its line.
func writeProblem(w io.Writer, p *adminapi.Problem) {
	for _, i := range p.Problems {
		line := i.Reason
		if i.Field.Set {
			line = fieldName(i.Field.Value) + ": " + line
		}
		if i.Name.Set {
			line = fmt.Sprintf("%s/%s: %s", i.Kind.Value, i.Name.Value, line)
		}
		if len(i.Missing) > 0 {
			line += " (missing: " + strings.Join(i.Missing, ", ") + ")"
		}
		if len(i.Dependents) > 0 {
			line += " (needed by: " + strings.Join(i.Dependents, ", ") + ")"
		}
		fmt.Fprintln(w, "  "+clean(line))
	}
	writeChanges(w, p.Changes)
}
