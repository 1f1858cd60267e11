package decisions

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Overview counts the lines of many calls by what decided them, for the question what
// binds when many users complain at once.
type Overview struct{ groups map[group]*groupSum }

// group is what lines have in common that were decided alike.
type group struct {
	decision                          Kind
	class, reason, detail, cause, why string
	returned, once                    bool
}

// groupSum is what a group's lines tell together.
type groupSum struct {
	group
	lines       int
	after       int64 // sum of milliseconds
	first, last int64 // Unix milliseconds
}

// Read adds the lines of a log. See Find for its errors.
func (o *Overview) Read(r io.Reader) error { return eachLine(r, o.add) }

func (o *Overview) add(l *Line) {
	if l.Decision == Summary {
		return
	}
	g := group{
		decision: l.Decision, class: l.Class, reason: l.Reason, detail: l.Detail, cause: l.Cause, why: l.Why,
		returned: l.BeforeMS > 0, once: l.Once,
	}
	s := o.groups[g]
	if s == nil {
		if o.groups == nil {
			o.groups = make(map[group]*groupSum)
		}
		s = &groupSum{group: g, first: l.TimeMS}
		o.groups[g] = s
	}
	s.lines++
	s.after += l.AfterMS
	s.first, s.last = min(s.first, l.TimeMS), max(s.last, l.TimeMS)
}

// Print prints the groups with most lines first, at most so many.
func (o *Overview) Print(w io.Writer, most int) error {
	list := make([]*groupSum, 0, len(o.groups))
	for _, s := range o.groups {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *groupSum) int {
		return cmp.Or(cmp.Compare(b.lines, a.lines), cmp.Compare(a.name(), b.name()))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "LINES\tDECISION\tCLASS\tWHY\tMEAN AFTER\tFROM\tTO")
	for _, s := range list[:min(most, len(list))] {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d ms\t%s\t%s\n", s.lines, s.decision, s.class, s.name(),
			s.after/int64(s.lines), clock(s.first), clock(s.last))
	}
	return t.Flush()
}

// name returns what decided, for people.
func (g *group) name() string {
	out := ""
	for _, part := range []string{g.reason, g.detail, g.cause, g.why} {
		if part != "" && out != "" {
			out += ", "
		}
		out += part
	}
	if g.returned {
		out += " (returned)"
	}
	if g.once {
		out += " (once)"
	}
	return out
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.0") }
