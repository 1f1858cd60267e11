// Command marlpass-node is the one process of marlpass in each VM's slot.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/version"
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
  marlpass-node -check -config settings/trust/neg-shed.toml

Exit codes: 0 stopped as asked, 1 failed or cut calls off, 2 bad flags,
settings or certificates.

Flags:
`

func main() { os.Exit(run()) }

func run() int {
	fs := flag.NewFlagSet("marlpass-node", flag.ContinueOnError)
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usage)
		fs.PrintDefaults()
	}
	file := fs.String("config", "", "settings `file` (TOML)")
	check := fs.Bool("check", false, "check the settings and the certificates that they name, and end")
	showVersion := fs.Bool("version", false, "print the version and end")
	err := fs.Parse(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exit.OK
	case err != nil:
		return exit.Usage
	case *showVersion:
		fmt.Println(version.Line("marlpass-node"))
		return exit.OK
	case fs.NArg() > 0:
		fmt.Fprintf(os.Stderr, "marlpass-node: unexpected argument %q; see -h\n", fs.Arg(0))
		return exit.Usage
	case *file == "":
		fmt.Fprintln(os.Stderr, "marlpass-node: -config is missing; see -h")
		return exit.Usage
	}
	set, err := settings.LoadNode(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "marlpass-node:", err)
		return exit.Usage
	}
	if *check {
		if err := node.Check(set); err != nil {
			fmt.Fprintln(os.Stderr, "marlpass-node:", err)
			return exit.Usage
		}
		fmt.Printf("marlpass-node: %s is valid\n", *file)
		return exit.OK
	}
	return serve(*file, set)
}
