package cli

import (
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/settings/exit"
)

func FuzzParseShare(f *testing.F) {
	for _, s := range []string{"", "20%", "0.2", "0", "1e-400%", "NaN", "Inf", "-5%", "100.1%"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		v, err := parseShare(s)
		if err != nil {
			return
		}
		if inRange := v > 0 && v <= 1; !inRange && s != "" {
			t.Fatalf("%q: taken as %v", s, v)
		}
	})
}

func FuzzParseSince(f *testing.F) {
	now := time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)
	for _, s := range []string{"", "8h", "-8h", "2562047h", "2026-06-01T06:00:00Z", "0000-01-01T00:00:00+23:59", "soon"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		since, err := parseSince(s, now)
		var coded *exitError
		switch {
		case errors.As(err, &coded) && coded.code == exit.Usage:
		case err != nil:
			t.Fatalf("%q: not told as wrong usage: %v", s, err)
		case since.Set == (s == ""):
			t.Fatalf("%q: taken as %+v", s, since)
		}
		if _, err := since.Value.MarshalJSON(); err != nil {
			t.Fatalf("%q: cannot be sent: %v", s, err)
		}
	})
}
