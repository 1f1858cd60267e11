// Command marlpass-node is the one process of marlpass in each VM's slot.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

const usage = `marlpass-node runs the mesh beside the backend servers of one VM.

It proxies calls in and out of this VM, spreads configuration and membership,
and serves the admin API. SIGTERM stops it gracefully; a second one at once.
SIGHUP reads the settings again: operators and the log level change, everything
else takes effect at the next start.

Usage:
  marlpass-node -config FILE
  marlpass-node -check -config FILE

Examples:
  marlpass-node -config /etc/marlpass/node.toml
  marlpass-node -check -config /etc/marlpass/node.toml

Exit codes: 0 stopped as asked, 1 failed or cut calls off, 2 bad flags,
settings or certificates.

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	signals := listen()
	defer signal.Stop(signals)
	line := program.NewLine("marlpass-node", usage, stdout, stderr)
	file := line.String("config", "", "settings `FILE` (TOML)")
	check := line.Bool("check", false, "check the settings and the certificates that they name, and end")
	if code, ok := line.Read(args); !ok {
		return code
	}
	if *file == "" {
		return line.Bad(errNoConfig)
	}
	set, err := settings.LoadNode(*file)
	if err != nil {
		return line.Bad(err)
	}
	if !*check {
		return serve(line, *file, set, signals, stdout)
	}
	if err := node.Check(set); err != nil {
		return line.Bad(err)
	}
	fmt.Fprintf(stdout, "marlpass-node: %s is valid\n", *file)
	return exit.OK
}

var errNoConfig = errors.New("-config is missing; see -h")
