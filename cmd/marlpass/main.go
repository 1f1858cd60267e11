// Command marlpass is the operators' command line: it states targets and reads
// what the mesh holds true. See marlpass -h.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marlpass/marlpass/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Main(ctx, cli.Env{
		Args:   os.Args[1:],
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Now:    time.Now,
	})
}
