package telemetry

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// MaxLabelBytes bounds a name in logs and metrics. Names are chosen by operators and may be any text.
const MaxLabelBytes = 128

// Label returns a name for logs, at most MaxLabelBytes long. A longer one ends with a hash of it, so
// that two names stay two.
func Label(name string) string {
	if len(name) <= MaxLabelBytes {
		return name
	}
	hash := fmt.Sprintf("~%016x", xxhash.Sum64String(name))
	return strings.ToValidUTF8(name[:MaxLabelBytes-len(hash)], "") + hash
}

// LabelValue returns a name as the value of a metric's label, escaped for the Prometheus text format.
// Control characters are replaced, since the format has no way to write them.
func LabelValue(name string) string {
	name = Label(name)
	if !strings.ContainsFunc(name, needsEscape) {
		return name
	}
	var b strings.Builder
	for _, r := range name {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case needsEscape(r):
			b.WriteByte('?')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

func needsEscape(r rune) bool { return r == '"' || r == '\\' || unicode.IsControl(r) }
