package load

import (
	"context"
	"encoding/json"
	"io"

	"github.com/marlpass/marlpass/internal/load/control"
	"github.com/marlpass/marlpass/internal/program"
)

const programName = "marlpass-load"

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

// Main runs marlpass-load and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := program.Subcommands{Name: programName, Usage: usage, List: []program.Subcommand{
		{Name: "overhead", Summary: overheadSummary, Run: runOverhead},
		{Name: "overload", Summary: overloadSummary, Run: runOverload},
		{Name: "faults", Summary: faultsSummary, Run: runFaults},
		{Name: "spread", Summary: control.SpreadSummary, Run: control.Spread},
		{Name: "storm", Summary: control.StormSummary, Run: control.Storm},
		{Name: "partition", Summary: control.PartitionSummary, Run: control.Partition},
	}}
	return s.Run(ctx, args, stdout, stderr)
}

// report is what a subcommand measured.
type report interface {
	print(w io.Writer)
	// exit returns the exit code that the report comes to.
	exit() int
}

// flags are those that all subcommands have.
type flags struct {
	*program.Line
	json *bool
}

func newFlags(name, summary string, stdout, stderr io.Writer) flags {
	line := program.NewSubcommand(programName, name, summary, stdout, stderr)
	return flags{line, line.Bool("json", false, "print one JSON object")}
}

// finish prints a report and returns the exit code.
func (f flags) finish(r report, err error, stdout io.Writer) int {
	if err != nil {
		return f.Failed(err)
	}
	if !*f.json {
		r.print(stdout)
	} else if err := json.NewEncoder(stdout).Encode(r); err != nil {
		return f.Failed(err)
	}
	return r.exit()
}
