package load

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/marlpass/marlpass/internal/load/control"
)

// Exit codes of marlpass-load.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is a subcommand of marlpass-load.
type Command struct {
	Name, Short string
	Run         func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Commands are the subcommands, in the order that help lists them.
func Commands() []Command {
	return []Command{
		OverheadCommand,
		OverloadCommand,
		FaultsCommand,
		{"spread", "how soon changes are in force on every node, and at what cost", control.Spread},
		{"storm", "nodes that die and come back together", control.Storm},
		{"partition", "data centres parted from each other and the platform", control.Partition},
	}
}

const usage = `marlpass-load sends calls in an open loop and checks every answer.

Usage:
  marlpass-load SUBCOMMAND [flags]
  marlpass-load SUBCOMMAND -h

Examples:
  marlpass-load overhead
  marlpass-load faults -only drain
  marlpass-load overhead -rates 1000 -for 20s -json
  marlpass-load overload -ablate

Exit codes: 0 every answer was right, 1 some were not or the run failed, 2 bad flags.

Subcommands:
`

// Usage prints the help.
func Usage(w io.Writer) {
	fmt.Fprint(w, usage)
	for _, c := range Commands() {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Short)
	}
}

// parseFlags reports whether to go on, and if not the exit code.
func parseFlags(fs *flag.FlagSet, args []string) (code int, ok bool) {
	err := fs.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK, false
	case err != nil:
		return ExitUsage, false
	case fs.NArg() > 0:
		fmt.Fprintf(fs.Output(), "marlpass-load: %q is not a flag\n", fs.Arg(0))
		return ExitUsage, false
	}
	return ExitOK, true
}
