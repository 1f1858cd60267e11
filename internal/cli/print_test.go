package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/settings/exit"
)

// The detail of a lost or refused command held control characters from a node
// that somebody else ran. They moved the cursor over the line "unknown", and the
// operator read "accepted".
func TestDetailCannotCommandTheTerminal(t *testing.T) {
	const evil = "\x1b[1Aaccepted\r\n"
	for _, outcome := range []string{outcomeUnknown, outcomeRefused, outcomeConflict} {
		var out bytes.Buffer
		a := &app{env: Env{Stdout: &out, Stderr: &out}, opts: new(options)}
		_ = a.report(result{Outcome: outcome, Command: "c", Detail: evil})
		if strings.ContainsAny(out.String(), "\x1b\r") {
			t.Errorf("%s: got %q", outcome, out.String())
		}
	}
	var out bytes.Buffer
	printFailure(&out, &exitError{exit.Failed, "no server answered: " + evil})
	if strings.ContainsAny(out.String(), "\x1b\r") {
		t.Errorf("got %q", out.String())
	}
}
