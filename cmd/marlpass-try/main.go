// Command marlpass-try shows marlpass at work on one machine.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/try"
	"github.com/marlpass/marlpass/internal/version"
)

const usage = `marlpass-try shows marlpass at work: a stand-in platform, six nodes in two data
centres and the backend servers of two services, in this one process on loopback.

It states targets, waits until they are in force on every node, makes calls of
each class, changes a target, drains a backend server and stops a node under
load, and tells what happened. It ends in under a minute.

Usage:
  marlpass-try [flags]

Examples:
  go run ./cmd/marlpass-try

Exit codes: 0 all went as it should (the last line is "try: ok ..."), 1 it did
not ("try: failed ..."), 2 bad flags.

Flags:
`

func main() { os.Exit(run()) }

func run() int {
	fs := flag.NewFlagSet("marlpass-try", flag.ContinueOnError)
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usage)
		fs.PrintDefaults()
	}
	showVersion := fs.Bool("version", false, "print the version and end")
	err := fs.Parse(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exit.OK
	case err != nil:
		return exit.Usage
	case *showVersion:
		fmt.Println(version.Line("marlpass-try"))
		return exit.OK
	case fs.NArg() > 0:
		fmt.Fprintf(os.Stderr, "marlpass-try: unexpected argument %q; see -h\n", fs.Arg(0))
		return exit.Usage
	}
	if err := try.Run(context.Background(), os.Stdout); err != nil {
		return exit.Failed
	}
	return exit.OK
}
