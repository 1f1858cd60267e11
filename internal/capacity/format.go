package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// number3 writes a figure with three significant digits, or as a whole number
// with separators from a thousand on.
func number3(f float64) string {
	a := math.Abs(f)
	switch {
	case math.IsNaN(f):
		return "-"
	case a >= 1000:
		return thousands(int64(math.Round(f)))
	case a >= 100:
		return strconv.FormatFloat(f, 'f', 0, 64)
	case a == 0:
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(a)))
	return strconv.FormatFloat(f, 'f', min(digits, 6), 64)
}

func thousands(n int64) string {
	s := strconv.FormatInt(n, 10)
	sign := ""
	if n < 0 {
		sign, s = "-", s[1:]
	}
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return sign + s
}

func percent(f float64) string {
	if math.IsNaN(f) {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", f*100)
}

func bound(f float64) string {
	if f == 0 {
		return "-"
	}
	return number3(f)
}

// table is a table in Markdown.
type table struct{ b strings.Builder }

func newTable(heads ...string) *table {
	t := new(table)
	t.row(heads...)
	marks := make([]string, len(heads))
	for i := range marks {
		marks[i] = "---"
	}
	t.row(marks...)
	return t
}

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) String() string { return t.b.String() }
