package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
)

// Exit codes of marlpass-capacity.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
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
`

// Places of the committed files.
const (
	defaultRaw   = "docs/capacity/raw.json"
	defaultPage  = "docs/CAPACITY.md"
	defaultPlots = "docs/capacity"
)

func printUsage(w io.Writer) { fmt.Fprintf(w, usage, strings.Join(partNames(), ", ")) }

// Run runs marlpass-capacity and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printUsage(stderr)
		return ExitUsage
	}
	var err error
	switch args[0] {
	case "-h", "-help", "--help", "help":
		printUsage(stdout)
	case "-version", "--version":
		fmt.Fprintln(stdout, "marlpass-capacity", buildVersion())
	case "measure":
		err = runMeasure(ctx, args[1:], stderr)
	case "report":
		err = runReport(args[1:], stderr)
	case "part":
		err = printPart(ctx, args[1:], stdout)
	default:
		err = fmt.Errorf("%w: %q is not a subcommand", errUsage, args[0])
	}
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		fmt.Fprintln(stderr, err)
		printUsage(stderr)
		return ExitUsage
	}
	fmt.Fprintln(stderr, err)
	return ExitFailed
}

func printPart(ctx context.Context, args []string, stdout io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: part wants a name", errUsage)
	}
	v, err := runPart(ctx, args)
	if err != nil {
		return err
	}
	return json.NewEncoder(stdout).Encode(v)
}

// parse parses the flags of a subcommand that takes nothing else.
func parse(fs *flag.FlagSet, args []string) error {
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if fs.NArg() > 0 {
		return fmt.Errorf("%w: %q is not a flag", errUsage, fs.Arg(0))
	}
	return nil
}

func runMeasure(ctx context.Context, args []string, stderr io.Writer) error {
	o := DefaultPlan()
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	fs.SetOutput(stderr)
	out := fs.String("out", defaultRaw, "file for the raw figures; parts that are not measured stay in it")
	only := fs.String("only", strings.Join(partNames(), ","), "parts to measure")
	sizes := fs.String("sizes", "12,36,108,200", "numbers of nodes of the meshes")
	fs.IntVar(&o.Repeats, "repeats", o.Repeats, "how often each mesh is measured in the profile time")
	fs.DurationVar(&o.Rest, "rest", o.Rest, "how long a mesh of the part mesh is left alone for each of its nodes")
	if err := parse(fs, args); err != nil {
		return err
	}
	o.Sizes = nil
	for s := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 1 {
			return fmt.Errorf("%w: -sizes: %q is no number of nodes", errUsage, s)
		}
		o.Sizes = append(o.Sizes, n)
	}
	for s := range strings.SplitSeq(*only, ",") {
		if !slices.Contains(partNames(), s) {
			return fmt.Errorf("%w: -only: no part is called %q", errUsage, s)
		}
		o.Only = append(o.Only, s)
	}
	return Measure(ctx, o, *out, stderr)
}

func runReport(args []string, stderr io.Writer) error {
	fs := flag.NewFlagSet("report", flag.ContinueOnError)
	fs.SetOutput(stderr)
	in := fs.String("in", defaultRaw, "file with the raw figures")
	page := fs.String("page", defaultPage, "page whose tables are rewritten")
	plots := fs.String("plots", defaultPlots, "folder for the plots")
	if err := parse(fs, args); err != nil {
		return err
	}
	r, err := Read(*in)
	if err != nil {
		return err
	}
	return Report(r, *page, *plots)
}

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
