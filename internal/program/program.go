// Package program is what the command lines of all marlpass programs share:
// help with examples, the version, and exit codes.
package program

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/version"
)

// Line is the command line of one program.
type Line struct {
	*flag.FlagSet
	name        string
	showVersion *bool
	stdout      io.Writer
	stderr      io.Writer
}

// NewLine returns a command line without flags of its own yet. The usage text
// comes before the list of flags. The name is the program's, and for a
// subcommand both names with a space between.
func NewLine(name, usage string, stdout, stderr io.Writer) *Line {
	l := &Line{
		FlagSet: flag.NewFlagSet(name, flag.ContinueOnError),
		name:    name, stdout: stdout, stderr: stderr,
	}
	l.showVersion = l.Bool("version", false, "print the version and end")
	l.Usage = func() {
		fmt.Fprint(l.Output(), usage)
		l.PrintDefaults()
	}
	return l
}

// NewSubcommand returns the command line of one subcommand of a program.
func NewSubcommand(program, name, summary string, stdout, stderr io.Writer) *Line {
	name = program + " " + name
	usage := fmt.Sprintf("%s: %s\n\nUsage: %s [flags]\n\nFlags:\n", name, summary, name)
	return NewLine(name, usage, stdout, stderr)
}

// Read parses the arguments of a program that takes flags only. It reports
// whether the program goes on; if not, code is its exit code.
func (l *Line) Read(args []string) (code int, goOn bool) {
	code, goOn = l.ReadAll(args)
	if goOn && l.NArg() > 0 {
		return l.Bad(fmt.Errorf("unexpected argument %q; see -h", l.Arg(0))), false
	}
	return code, goOn
}

// ReadAll is Read for a program that takes arguments after its flags too; Args
// returns them. Help that was asked for goes to standard output.
func (l *Line) ReadAll(args []string) (code int, goOn bool) {
	l.SetOutput(l.stderr)
	if asksForHelp(args) {
		l.SetOutput(l.stdout)
	}
	err := l.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exit.OK, false
	case err != nil:
		return exit.Usage, false
	case *l.showVersion:
		program, _, _ := strings.Cut(l.name, " ")
		fmt.Fprintln(l.stdout, version.Line(program))
		return exit.OK, false
	}
	return exit.OK, true
}

// Bad reports that the command line or the settings are not valid, and returns
// the exit code for that.
func (l *Line) Bad(err error) int {
	fmt.Fprintf(l.stderr, "%s: %v\n", l.name, err)
	return exit.Usage
}

// Failed reports that the program failed, and returns the exit code for that.
func (l *Line) Failed(err error) int {
	fmt.Fprintf(l.stderr, "%s: %v\n", l.name, err)
	return exit.Failed
}

func asksForHelp(args []string) bool {
	for _, a := range args {
		switch a {
		case "-h", "--h", "-help", "--help":
			return true
		}
	}
	return false
}
