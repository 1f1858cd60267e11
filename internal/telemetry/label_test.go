package telemetry

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// Guards against a name that breaks the page of metrics, or makes lines without bound.
func TestLabelValue(t *testing.T) {
	for name, want := range map[string]string{
		"boat-spot": "boat-spot", "Håfen 7": "Håfen 7", "a\"b\\c": `a\"b\\c`, "a\nb\x00": "a?b?",
	} {
		if got := LabelValue(name); got != want {
			t.Errorf("%q: got %q, want %q", name, got, want)
		}
	}
	long := strings.Repeat("å", 400)
	a, b := Label(long+"a"), Label(long+"b")
	if len(a) > MaxLabelBytes || !utf8.ValidString(a) || a == b {
		t.Errorf("%q and %q", a, b)
	}
}
