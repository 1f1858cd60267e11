package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/platform"
)

// process is one run of the program.
type process struct {
	file     string
	node     *node.Node
	log      zerolog.Logger
	setLevel func(string) error
	signals  chan os.Signal
}

// collectAt is by how many percent the heap may grow between two collections. A
// node's live heap is a few megabytes, so that collections are cheap, and memory is
// dearer than the processor time that they take: 40 in place of Go's 100 takes a
// sixth less memory at its peak (14.1 MB for 17.3) and an eighth more processor time
// (18.6 s for 16.1, of 17 nodes on one day).
const collectAt = 40

// listen takes in the signals from now on.
//
// It guards against a reload that ends a node which has just been started: until somebody
// listens, SIGHUP ends a process.
func listen() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// serve runs the node until it is told to stop or fails.
func serve(line *program.Line, file string, set settings.Node, signals chan os.Signal, stdout io.Writer) int {
	debug.SetGCPercent(collectAt)
	if set.VM.MemoryMB > 0 {
		debug.SetMemoryLimit(node.HeapLimit(set.VM.MemoryMB))
	}
	lines := telemetry.NewLossy(stdout)
	defer lines.Close()
	log, setLevel, err := telemetry.NewLeveledLogger(lines, set.Log.Level)
	if err != nil {
		return line.Bad(err)
	}
	log = log.With().Str("vm", set.VM.ID).Logger()
	telemetry.LogTraceErrors(log)
	options := node.Options{Settings: set, Log: log, LostLines: lines.Lost}
	if set.Platform.Form == settings.FormRows {
		platform.Adapt(&options, set, log)
	}
	n, err := node.New(options)
	switch {
	case isSettingsProblem(err):
		return line.Bad(err)
	case err != nil:
		return line.Failed(err)
	}
	p := &process{file: file, node: n, log: log, setLevel: setLevel, signals: signals}
	n.Start()
	return p.run()
}

// isSettingsProblem tells what another start will not mend from failures of the
// moment.
func isSettingsProblem(err error) bool {
	var cert *trust.FileError
	var operator *admin.SettingError
	return errors.As(err, &cert) || errors.As(err, &operator)
}

func (p *process) run() int {
	for {
		select {
		case <-p.node.Failed():
			p.log.Error().Err(p.node.Err()).Msg("node: stops, as a part of it failed")
			p.stop()
			return exit.Failed
		case s := <-p.signals:
			if s != syscall.SIGHUP {
				return p.stop()
			}
			p.reload()
		}
	}
}

// stop stops the node gracefully, or at once when another signal comes.
func (p *process) stop() int {
	done := make(chan error, 1)
	go func() { done <- p.node.Shutdown(context.Background()) }()
	for {
		select {
		case err := <-done:
			if err != nil {
				p.log.Error().Err(err).Msg("node: stopped with an error")
				return exit.Failed
			}
			return exit.OK
		case s := <-p.signals:
			if s == syscall.SIGHUP {
				continue
			}
			p.log.Error().Int64("calls", p.node.InFlight()).Msg("node: ended at once by a second signal, calls cut off")
			return exit.Failed
		}
	}
}

// reload reads the settings again. A file that is not valid changes nothing.
func (p *process) reload() {
	set, err := settings.LoadNode(p.file)
	if err == nil {
		err = p.node.Reload(set)
	}
	if err == nil {
		err = p.setLevel(set.Log.Level)
	}
	if err != nil {
		p.log.Error().Err(err).Msg("settings: refuse the file, keep the running settings")
	}
}
