// Command marlpass-load sends calls and measures what becomes of them.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/marlpass/marlpass/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		load.Usage(stderr)
		return load.ExitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		load.Usage(stdout)
		return load.ExitOK
	case "-version", "--version":
		fmt.Fprintln(stdout, "marlpass-load", buildVersion())
		return load.ExitOK
	}
	for _, c := range load.Commands() {
		if c.Name == args[0] {
			return c.Run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "marlpass-load: %q is not a subcommand\n", args[0])
	load.Usage(stderr)
	return load.ExitUsage
}

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
