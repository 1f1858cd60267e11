// Command marlpass-backend is a stand-in backend server for tests and trials.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	exitCrashed  = 70
)

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
	set, mode, code := parse(args, stdout, stderr)
	if mode != modeServe {
		return code
	}
	log := zerolog.New(stderr).With().Timestamp().Str("part", "backend").
		Str("service", set.Service).Str("instance", set.Instance).Logger()
	return serve(set, log)
}

func serve(set backend.Settings, log zerolog.Logger) int {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	s := backend.New(set, log)
	if set.CrashDown == 0 {
		s.Exit = func() { os.Exit(exitCrashed) }
	}
	if err := s.Start(); err != nil {
		log.Error().Err(err).Msg("backend: cannot listen")
		return exitFailed
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
		return exitFailed
	}
	log.Info().Msg("backend: ended")
	return exitOK
}

// mode is what a command line asks for.
type mode int

const (
	modeEnd mode = iota
	modeServe
)

// parse reads flags and settings; flags win.
func parse(args []string, stdout, stderr io.Writer) (backend.Settings, mode, int) {
	set := backend.Defaults()
	fs := flag.NewFlagSet("marlpass-backend", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usage)
		fs.PrintDefaults()
	}
	file := fs.String("config", "", "settings `file` (TOML)")
	check := fs.Bool("check", false, "check the settings and end")
	version := fs.Bool("version", false, "print the version and end")
	over := map[string]*string{}
	for _, f := range []struct{ name, help string }{
		{"listen", "address to listen on"}, {"node", "`URL` of the node's announce API"},
		{"service", "service to announce"}, {"instance", "name of this server, unique on its VM"},
	} {
		over[f.name] = fs.String(f.name, "", f.help+" (overrides the file)")
	}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return set, modeEnd, exitOK
		}
		return set, modeEnd, exitSettings
	}
	if *version {
		fmt.Fprintln(stdout, "marlpass-backend", buildVersion())
		return set, modeEnd, exitOK
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(stderr, "marlpass-backend: %q is not a flag\n", fs.Arg(0))
		return set, modeEnd, exitSettings
	}
	if err := load(*file, &set); err != nil {
		fmt.Fprintln(stderr, "marlpass-backend:", err)
		return set, modeEnd, exitSettings
	}
	override(&set, over)
	if err := set.Check(); err != nil {
		fmt.Fprintln(stderr, "marlpass-backend:", place(*file)+err.Error())
		return set, modeEnd, exitSettings
	}
	if *check {
		fmt.Fprintln(stdout, "settings are good")
		return set, modeEnd, exitOK
	}
	return set, modeServe, exitOK
}

func override(set *backend.Settings, over map[string]*string) {
	for name, into := range map[string]*string{
		"listen": &set.Listen, "node": &set.Node, "service": &set.Service, "instance": &set.Instance,
	} {
		if v := *over[name]; v != "" {
			*into = v
		}
	}
}

func place(file string) string {
	if file == "" {
		return ""
	}
	return file + ": "
}

// load reads a settings file strictly: an unknown key is an error, because a
// misspelt one would be a setting that silently has its default.
func load(file string, set *backend.Settings) error {
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	err = toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(set)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		key := strings.Join(strict.Errors[0].Key(), ".")
		return fmt.Errorf("%s: %s: is not a setting", file, key)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Errorf("%s: line %d: %s: %w", file, row, strings.Join(decode.Key(), "."), decode)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
