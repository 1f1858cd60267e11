// Command marlpass-backend is a stand-in backend server for tests and trials.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// exitCrashed is the exit code after a request that crashes the server.
const exitCrashed = 70

const usage = `marlpass-backend runs a stand-in backend server.

Usage:
  marlpass-backend [flags]

Examples:
  marlpass-backend -config berths.toml
  marlpass-backend -service berths -listen 127.0.0.1:9001 -node http://127.0.0.1:7071
  marlpass-backend -check -config berths.toml
  curl 'http://127.0.0.1:9001/haul-out?bytes=1000&time=20ms' -H 'X-Request-Id: 1'
  curl 'http://127.0.0.1:9001/mode?to=silent'     # good, fast-fail, silent, slow, stale
  curl 'http://127.0.0.1:9001/runs'               # how often each request was run
  curl  http://127.0.0.1:9001/x -H 'X-Crash: 1'   # crashes the server

SIGTERM drains: it announces the state, waits drain_wait, and ends when the
requests in flight have ended, or at drain_limit.

Exit codes: 0 ended as asked, 1 failed or cut requests off at drain_limit,
2 bad flags or settings, 70 crashed by a marked request with crash_down = "0s".

Flags:
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	line := program.NewLine("marlpass-backend", usage, stdout, stderr)
	file := line.String("config", "", "settings `file` (TOML)")
	check := line.Bool("check", false, "check the settings and end")
	var over backend.Settings
	line.StringVar(&over.Listen, "listen", "", "address to listen on (overrides the file)")
	line.StringVar(&over.Node, "node", "", "`URL` of the node's announce API (overrides the file)")
	line.StringVar(&over.Service, "service", "", "service to announce (overrides the file)")
	line.StringVar(&over.Instance, "instance", "", "name of this server, unique on its VM (overrides the file)")
	if code, ok := line.Read(args); !ok {
		return code
	}
	set, err := load(*file, over)
	if err != nil {
		return line.Bad(err)
	}
	if *check {
		fmt.Fprintln(stdout, "settings are good")
		return exit.OK
	}
	log := zerolog.New(stderr).With().Timestamp().Str("part", "backend").
		Str("service", set.Service).Str("instance", set.Instance).Logger()
	return serve(set, log)
}

func serve(set backend.Settings, log zerolog.Logger) int {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	s := backend.New(set, log)
	if set.CrashDown.Duration == 0 {
		s.Exit = func() { os.Exit(exitCrashed) }
	}
	if err := s.Start(); err != nil {
		log.Error().Err(err).Msg("backend: cannot listen")
		return exit.Failed
	}
	log.Info().Str("address", s.Addr()).Msg("backend: listening")
	told := make(chan struct{})
	ctx, end := context.WithCancel(context.Background())
	go func() {
		defer close(told)
		s.Announce(ctx)
	}()
	<-stop.Done()
	err := s.Drain(context.Background())
	end()
	<-told
	if err != nil {
		return exit.Failed
	}
	log.Info().Msg("backend: ended")
	return exit.OK
}

// load reads the settings file, if one is named, and lets flags win.
func load(file string, over backend.Settings) (backend.Settings, error) {
	set := backend.Defaults()
	if file != "" {
		if err := strict.Load(file, &set); err != nil {
			return set, err
		}
	}
	set.Listen = cmp.Or(over.Listen, set.Listen)
	set.Node = cmp.Or(over.Node, set.Node)
	set.Service = cmp.Or(over.Service, set.Service)
	set.Instance = cmp.Or(over.Instance, set.Instance)
	return set, set.Check(cmp.Or(file, "flags"))
}
