package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

var errUsage = errors.New("capacity: wrong arguments")

const usage = `marlpass-capacity measures what marlpass costs at several sizes, and works out
from them what it costs at the size that decides the design.

Usage:
  marlpass-capacity measure [-out FILE] [-only PARTS] [-sizes N,N,..] [-repeats N] [-rest TIME]
  marlpass-capacity report [-in FILE] [-page FILE] [-plots FOLDER]
  marlpass-capacity part NAME [ARGUMENTS]
  marlpass-capacity -h | -version

Start it in the root of the repository. measure runs each part in a process of
its own, one to two minutes for each size, and needs the go command for the
parts bench, gossip and process. report only reads the raw figures and rewrites
the tables between the marks of the page.

Parts: %s.

Examples:
  go run ./cmd/marlpass-capacity measure -out docs/capacity/raw.json
  go run ./cmd/marlpass-capacity measure -out docs/capacity/raw.json -only mesh -sizes 12,36
  go run ./cmd/marlpass-capacity report -in docs/capacity/raw.json
  go run ./cmd/marlpass-capacity part mesh 36 time 0

Exit codes: 0 done, 1 a measurement or the report failed, 2 bad arguments.

Subcommands:
`

// Places of the committed files.
const (
	defaultRaw   = "docs/capacity/raw.json"
	defaultPage  = "docs/CAPACITY.md"
	defaultPlots = "docs/capacity"
)

const programName = "marlpass-capacity"

// What the subcommands do, in a line.
const (
	measureSummary = "measure the parts and write the raw figures"
	reportSummary  = "remake the page and the plots from the raw figures"
	partSummary    = "measure one part in this process and print its figures"
)

// Run runs marlpass-capacity and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := program.Subcommands{
		Name:  programName,
		Usage: fmt.Sprintf(usage, strings.Join(partNames(), ", ")),
		List: []program.Subcommand{
			{Name: "measure", Summary: measureSummary, Run: runMeasure},
			{Name: "report", Summary: reportSummary, Run: runReport},
			{Name: "part", Summary: partSummary, Run: printPart},
		},
	}
	return s.Run(ctx, args, stdout, stderr)
}

func newLine(name, summary string, stdout, stderr io.Writer) *program.Line {
	return program.NewSubcommand(programName, name, summary, stdout, stderr)
}

func printPart(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	line := newLine("part", partSummary, stdout, stderr)
	if code, ok := line.ReadAll(args); !ok {
		return code
	}
	if line.NArg() == 0 {
		return line.Bad(errors.New("part wants a name; see -h"))
	}
	v, err := runPart(ctx, line.Args())
	switch {
	case errors.Is(err, errUsage):
		return line.Bad(err)
	case err != nil:
		return line.Failed(err)
	}
	if err := json.NewEncoder(stdout).Encode(v); err != nil {
		return line.Failed(err)
	}
	return exit.OK
}

func runMeasure(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := DefaultPlan()
	line := newLine("measure", measureSummary, stdout, stderr)
	out := line.String("out", defaultRaw, "file for the raw figures; parts that are not measured stay in it")
	only := line.String("only", strings.Join(partNames(), ","), "parts to measure")
	sizes := line.String("sizes", "12,36,108,200", "numbers of nodes of the meshes")
	line.IntVar(&o.Repeats, "repeats", o.Repeats, "how often each mesh is measured in the profile time")
	line.DurationVar(&o.Rest, "rest", o.Rest, "how long a mesh of the part mesh is left alone for each of its nodes")
	if code, ok := line.Read(args); !ok {
		return code
	}
	var err error
	if o.Sizes, err = readSizes(*sizes); err != nil {
		return line.Bad(err)
	}
	if o.Only, err = readParts(*only); err != nil {
		return line.Bad(err)
	}
	if err := Measure(ctx, o, *out, stderr); err != nil {
		return line.Failed(err)
	}
	return exit.OK
}

func readSizes(list string) ([]int, error) {
	var sizes []int
	for s := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("-sizes: %q is no number of nodes", s)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func readParts(list string) ([]string, error) {
	parts := strings.Split(list, ",")
	for _, p := range parts {
		if !slices.Contains(partNames(), p) {
			return nil, fmt.Errorf("-only: no part is called %q", p)
		}
	}
	return parts, nil
}

func runReport(_ context.Context, args []string, stdout, stderr io.Writer) int {
	line := newLine("report", reportSummary, stdout, stderr)
	in := line.String("in", defaultRaw, "file with the raw figures")
	page := line.String("page", defaultPage, "page whose tables are rewritten")
	plots := line.String("plots", defaultPlots, "folder for the plots")
	if code, ok := line.Read(args); !ok {
		return code
	}
	r, err := Read(*in)
	if err == nil {
		err = Report(r, *page, *plots)
	}
	if err != nil {
		return line.Failed(err)
	}
	return exit.OK
}
