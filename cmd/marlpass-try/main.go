// Command marlpass-try shows marlpass at work on one machine.
package main

import (
	"context"
	"io"
	"os"

	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/try"
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

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	line := program.NewLine("marlpass-try", usage, stdout, stderr)
	if code, ok := line.Read(args); !ok {
		return code
	}
	if err := try.Run(context.Background(), stdout); err != nil {
		return exit.Failed
	}
	return exit.OK
}
