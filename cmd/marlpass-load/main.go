// Command marlpass-load sends calls and measures what becomes of them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marlpass/marlpass/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := load.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
