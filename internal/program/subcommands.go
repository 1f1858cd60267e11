package program

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/version"
)

// Subcommand is one job of a program with several.
type Subcommand struct {
	Name    string
	Summary string
	// Run returns the exit code.
	Run func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Subcommands is the command line of a program with several jobs.
type Subcommands struct {
	Name  string
	Usage string // the list of subcommands follows it
	List  []Subcommand
}

// Run runs the subcommand that the arguments name, and returns the exit code.
func (s *Subcommands) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintf(stderr, "%s: a subcommand is missing; allowed are %s; see -h\n", s.Name, s.names())
		return exit.Usage
	}
	switch args[0] {
	case "-h", "--h", "-help", "--help":
		s.printUsage(stdout)
		return exit.OK
	case "-version", "--version":
		fmt.Fprintln(stdout, version.Line(s.Name))
		return exit.OK
	}
	for _, c := range s.List {
		if c.Name == args[0] {
			return c.Run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: unknown subcommand %q; allowed are %s; see -h\n", s.Name, args[0], s.names())
	return exit.Usage
}

func (s *Subcommands) names() string {
	names := make([]string, len(s.List))
	for i, c := range s.List {
		names[i] = c.Name
	}
	return strings.Join(names, ", ")
}

func (s *Subcommands) printUsage(w io.Writer) {
	fmt.Fprint(w, s.Usage)
	for _, c := range s.List {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Summary)
	}
}
