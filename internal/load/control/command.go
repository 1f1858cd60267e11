package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// Sizes of the measurements by default, chosen so that each ends in less than a
// minute.
const (
	defaultNodes   = 36
	minNodes       = 5
	maxNodes       = 400
	defaultChanges = 10
	changeEvery    = time.Second
	idleFor        = 6 * time.Second
	downFor        = 3 * time.Second
	cutChanges     = 2
	cutFor         = 8 * time.Second
)

// report is what a measurement returns.
type report interface {
	// faults names the goals that must hold in every run and did not.
	faults() []string
}

// flags are those that all subcommands have.
type flags struct {
	*program.Line
	nodes   *int
	profile *string
	json    *bool
}

func newFlags(name, summary string, stdout, stderr io.Writer) flags {
	line := program.NewSubcommand("marlpass-load", name, summary, stdout, stderr)
	return flags{
		Line:    line,
		nodes:   line.Int("nodes", defaultNodes, "number of nodes, in five data centres of two regions"),
		profile: line.String("profile", settings.ProfileTime, "what spreading saves: time or bytes"),
		json:    line.Bool("json", false, "print one line of JSON"),
	}
}

// parse reports whether to go on, and if not the exit code.
func (f flags) parse(args []string) (code int, ok bool) {
	code, ok = f.Read(args)
	switch {
	case !ok:
		return code, false
	case *f.nodes < minNodes || *f.nodes > maxNodes:
		return f.Bad(fmt.Errorf("-nodes: must be %d to %d", minNodes, maxNodes)), false
	case *f.profile != settings.ProfileTime && *f.profile != settings.ProfileBytes:
		return f.Bad(errors.New("-profile: must be time or bytes")), false
	}
	return exit.OK, true
}

// finish prints a report and returns the exit code.
func (f flags) finish(rep report, err error, stdout, stderr io.Writer) int {
	if err != nil {
		return f.Failed(err)
	}
	e := json.NewEncoder(stdout)
	if !*f.json {
		e.SetIndent("", "  ")
	}
	_ = e.Encode(rep)
	faults := rep.faults()
	for _, why := range faults {
		fmt.Fprintln(stderr, "marlpass-load:", why)
	}
	if len(faults) > 0 {
		return exit.Failed
	}
	return exit.OK
}

// count appends what to the faults unless n is zero.
func count(faults []string, n int, what string) []string {
	if n == 0 {
		return faults
	}
	return append(faults, fmt.Sprintf("%d %s", n, what))
}

// What the subcommands measure, in a line.
const (
	SpreadSummary    = "how soon changes are in force on every node, and at what cost"
	StormSummary     = "nodes that die and come back together"
	PartitionSummary = "data centres cut off from each other and the platform"
)

// Spread is the subcommand "spread".
func Spread(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f := newFlags("spread", SpreadSummary, stdout, stderr)
	changes := f.Int("changes", defaultChanges, "number of changes")
	every := f.Duration("every", changeEvery, "time between two changes")
	idle := f.Duration("idle", idleFor, "how long to measure without changes")
	settle := f.Duration("settle", settleFor, "how long to wait after the start before measuring")
	if code, ok := f.parse(args); !ok {
		return code
	}
	if *changes < 1 || *every <= 0 || *idle <= 0 {
		return f.Bad(errors.New("-changes, -every and -idle must be above zero"))
	}
	rep, err := MeasureSpread(ctx, SpreadOptions{
		Nodes: *f.nodes, Changes: *changes, Profile: *f.profile, Every: *every, Idle: *idle, Settle: *settle,
	})
	return f.finish(rep, err, stdout, stderr)
}

func (r *SpreadReport) faults() []string {
	out := count(nil, r.Spreading.WentBack, "steps back to an older version")
	out = count(out, r.Spreading.HalfApplied, "versions in force that are not whole")
	return count(out, r.Spreading.Missing, "nodes that did not reach a version")
}

// Storm is the subcommand "storm".
func Storm(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f := newFlags("storm", StormSummary, stdout, stderr)
	dcs := f.Int("centres", 1, "number of data centres that lose three quarters of their nodes")
	down := f.Duration("down", downFor, "how long the nodes are gone")
	if code, ok := f.parse(args); !ok {
		return code
	}
	if *dcs < 1 || *dcs > len(centres) || *down < 0 {
		return f.Bad(fmt.Errorf("-centres must be 1 to %d and -down not below zero", len(centres)))
	}
	rep, err := MeasureStorm(ctx, StormOptions{Nodes: *f.nodes, Profile: *f.profile, Centres: *dcs, Down: *down})
	return f.finish(rep, err, stdout, stderr)
}

func (r *StormReport) faults() []string {
	out := count(nil, r.WentBack, "steps back to an older version")
	out = count(out, r.HalfApplied, "versions in force that are not whole")
	out = count(out, r.Misrouted, "calls run by a service that their class does not name")
	if r.Unfinished != "" {
		out = append(out, "the mesh did not recover: "+r.Unfinished)
	}
	return out
}

// modes are the values of -mode.
var modes = map[string]localmesh.Mode{"silent": localmesh.Silent, "refused": localmesh.Refused}

// Partition is the subcommand "partition".
func Partition(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f := newFlags("partition", PartitionSummary, stdout, stderr)
	mode := f.String("mode", "silent", "how the cut shows: silent or refused")
	changes := f.Int("changes", cutChanges, "number of changes where the platform is open")
	cut := f.Duration("cut", cutFor, "how long a cut lasts at least")
	if code, ok := f.parse(args); !ok {
		return code
	}
	m, ok := modes[*mode]
	if !ok || *changes < 1 || *cut <= 0 {
		return f.Bad(errors.New("-mode must be silent or refused; -changes and -cut above zero"))
	}
	rep, err := MeasurePartition(ctx, PartitionOptions{
		Nodes: *f.nodes, Profile: *f.profile, Mode: m, Changes: *changes, Cut: *cut,
	})
	return f.finish(rep, err, stdout, stderr)
}

func (r *PartitionReport) faults() []string {
	out := count(nil, r.WentBack, "steps back to an older version")
	out = count(out, r.HalfApplied, "versions in force that are not whole")
	out = count(out, r.Misrouted, "calls run by a service that their class does not name")
	if r.Unfinished != "" {
		out = append(out, "the mesh did not become whole: "+r.Unfinished)
	}
	return out
}
