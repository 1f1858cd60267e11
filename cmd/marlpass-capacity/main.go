// Command marlpass-capacity remakes the tables of docs/CAPACITY.md from the journal's
// entries of sweeps.
package main

import (
	"io"
	"os"

	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/platform/sweep"
)

const usage = `marlpass-capacity remakes the tables of a page from the journal's entries of sweeps.
Each table stands between marks that name its entry:

  <!-- begin sweep journal/ENTRY.json -->
  <!-- end sweep -->

Usage:
  marlpass-capacity [-page FILE] [-root DIR]

Examples:
  go run ./cmd/marlpass-capacity

Exit codes: 0 done, 1 an entry or the page can't be read or written, 2 bad flags.

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	line := program.NewLine("marlpass-capacity", usage, stdout, stderr)
	page := line.String("page", "docs/CAPACITY.md", "`FILE` to rewrite")
	root := line.String("root", ".", "`DIR` that the entries' paths begin in")
	if code, ok := line.Read(args); !ok {
		return code
	}
	old, err := os.ReadFile(*page)
	if err != nil {
		return line.Failed(err)
	}
	next, err := sweep.Rewrite(string(old), *root)
	if err != nil {
		return line.Failed(err)
	}
	if err := os.WriteFile(*page, []byte(next), 0o644); err != nil {
		return line.Failed(err)
	}
	return exit.OK
}
