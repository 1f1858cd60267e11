// Command marlpass-node is the one process of marlpass in each VM's slot.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/version"
)

const usage = `marlpass-node runs the mesh beside the backend servers of one VM.

It proxies calls in and out of this VM, spreads configuration and membership,
and serves the admin API. SIGTERM stops it gracefully; a second one at once.

Usage:
  marlpass-node -config FILE
  marlpass-node -check -config FILE

Examples:
  marlpass-node -config /etc/marlpass/node.toml
  marlpass-node -check -config settings/trust/neg-shed.toml

Exit codes: 0 stopped as asked, 1 failed or cut calls off at the drain limit,
2 bad flags or settings.

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
	check := fs.Bool("check", false, "check the settings and end")
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
		fmt.Printf("marlpass-node: %s is valid\n", *file)
		return exit.OK
	}
	return serve(set)
}

// serve runs the node until it is told to stop.
func serve(set settings.Node) int {
	log, err := telemetry.NewLogger(os.Stderr, set.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "marlpass-node:", err)
		return exit.Usage
	}
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n, err := node.New(node.Options{Settings: set, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, "marlpass-node:", err)
		return exit.Failed
	}
	n.Start()
	ended := make(chan error, 1)
	go func() { ended <- n.Wait() }()
	select {
	case err := <-ended:
		log.Error().Err(err).Msg("node: ended by itself")
		n.Kill()
		return exit.Failed
	case <-signals.Done():
	}
	// From here on a second signal ends the process at once.
	cancel()
	if err := n.Shutdown(context.Background()); err != nil {
		log.Error().Err(err).Msg("node: stopped with an error")
		return exit.Failed
	}
	return exit.OK
}
