// Command marlpass-platform is a stand-in for the platform: a transactional table and
// an object store in memory, served over HTTP, that fails on demand.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

const usage = `usage: marlpass-platform [flags]

A stand-in for the platform that marlpass keeps its lasting state in: a
transactional table and an object store, served over HTTP by the API that
api/platform.yaml describes. It keeps everything in memory and loses it when it
ends. Its switches, under /switches, make it fail on demand.

Examples:
  marlpass-platform
  marlpass-platform -listen 127.0.0.1:0 -address-file platform.addr
  marlpass-platform -config platform.toml

  # Lose the answer to one write in ten, and answer reads 5 s late and stale:
  curl -X PUT -H 'Content-Type: application/json' \
    -d '{"loseRate": 0.1, "slowMs": 5000, "staleMs": 5000}' \
    http://127.0.0.1:7300/switches
  curl http://127.0.0.1:7300/switches

  # All switches off:
  curl -X PUT -H 'Content-Type: application/json' -d '{}' \
    http://127.0.0.1:7300/switches

Exit codes: 0 ended by SIGTERM or SIGINT with no call cut off; 1 failed, or
calls were cut off; 2 the command line or the settings are not valid.

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	line := program.NewLine("marlpass-platform", usage, stdout, stderr)
	config := line.String("config", "", "read settings from `FILE`")
	listen := line.String("listen", "", "listen on `ADDRESS`; goes before the settings (default "+defaultListen+")")
	addressFile := line.String("address-file", "", "write the address that it listens on to `FILE`")
	if code, ok := line.Read(args); !ok {
		return code
	}
	s, err := load(*config, *listen)
	if err != nil {
		return line.Bad(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s, *addressFile, stderr); err != nil {
		return line.Failed(err)
	}
	return exit.OK
}
