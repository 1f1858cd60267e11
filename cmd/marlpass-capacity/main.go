// Command marlpass-capacity measures what marlpass costs and remakes
// docs/CAPACITY.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marlpass/marlpass/internal/capacity"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := capacity.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
