package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/version"
)

// Exit codes beyond those that all programs share.
const (
	exitUnknown  = 3
	exitConflict = 4
)

const exitCodes = `Exit codes:
  0  accepted, or the question was answered
  1  refused, or no server could be asked
  2  the command line or the settings are not valid
  3  the outcome is unknown; the id to ask by is printed
  4  conflict: the object has changed since the version of -if-version
`

// Env is what the program takes from its surroundings.
type Env struct {
	Args   []string // without the program's name
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Now    func() time.Time
}

// exitError ends the program with a code. Its text may be empty when all is
// said already.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &exitError{exit.Usage, fmt.Sprintf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, env Env) int {
	err := dispatch(ctx, env, root(), "marlpass", env.Args)
	var coded *exitError
	switch {
	case err == nil:
		return exit.OK
	case !errors.As(err, &coded):
		coded = &exitError{exit.Failed, err.Error()}
	}
	printFailure(env.Stderr, coded)
	return coded.code
}

func printFailure(w io.Writer, e *exitError) {
	if e.text != "" {
		fmt.Fprintln(w, "marlpass: "+clean(e.text))
	}
}

// setup defines the flags of a command and returns what runs after they are parsed.
type setup func(*flag.FlagSet) action

// action runs a command with the arguments that follow its flags.
type action func(context.Context, *app, []string) error

// command is a node of the tree of subcommands: a group with subs, or a leaf
// with setup.
type command struct {
	name     string
	args     string // what follows the flags, for the usage line
	summary  string
	detail   string
	examples []string
	subs     []*command
	setup    setup
}

// dispatch walks down the tree by the arguments and runs the leaf.
func dispatch(ctx context.Context, env Env, c *command, path string, args []string) error {
	if c.setup != nil {
		return runLeaf(ctx, env, c, path, args)
	}
	fs := newFlagSet(path)
	showVersion := fs.Bool("version", false, "")
	if err := fs.Parse(args); err != nil {
		return parsed(env, c, path, nil, err)
	}
	if *showVersion {
		fmt.Fprintln(env.Stdout, version.Line("marlpass"))
		return nil
	}
	if fs.NArg() == 0 {
		return usagef("a subcommand is missing; allowed are %s; see %s -h", subNames(c), path)
	}
	for _, sub := range c.subs {
		if sub.name == fs.Arg(0) {
			return dispatch(ctx, env, sub, path+" "+sub.name, fs.Args()[1:])
		}
	}
	return usagef("unknown subcommand %q; allowed are %s; see %s -h", fs.Arg(0), subNames(c), path)
}

func runLeaf(ctx context.Context, env Env, c *command, path string, args []string) error {
	fs := newFlagSet(path)
	opts := defineCommon(fs)
	run := c.setup(fs)
	rest, err := parseAll(fs, args)
	if err != nil {
		return parsed(env, c, path, fs, err)
	}
	a := &app{env: env, opts: opts}
	return run(ctx, a, rest)
}

func newFlagSet(path string) *flag.FlagSet {
	fs := flag.NewFlagSet(path, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// parseAll parses flags that stand before, between and after the arguments.
func parseAll(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func parsed(env Env, c *command, path string, fs *flag.FlagSet, err error) error {
	if !errors.Is(err, flag.ErrHelp) {
		return usagef("%v; see %s -h", err, path)
	}
	if fs == nil {
		writeGroupHelp(env.Stdout, c, path)
		return nil
	}
	writeLeafHelp(env.Stdout, c, path, fs)
	return nil
}

func subNames(c *command) string {
	names := make([]string, len(c.subs))
	for i, s := range c.subs {
		names[i] = s.name
	}
	return strings.Join(names, ", ")
}
