// Package telemetry sets up what a program tells about itself: structured
// logs, metrics and traces.
package telemetry

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// LogLevels are the levels that settings may name.
var LogLevels = []string{"debug", "info", "warn", "error"}

// NewLogger returns a logger that writes JSON lines to w at the given level.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("telemetry: the log level %q is not known: %w", level, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// NewLeveledLogger is NewLogger for a program that changes its level while it
// runs, by the function returned. The level is one for the whole process.
func NewLeveledLogger(w io.Writer, level string) (zerolog.Logger, func(level string) error, error) {
	set := func(level string) error {
		l, err := zerolog.ParseLevel(level)
		if err != nil {
			return fmt.Errorf("telemetry: the log level %q is not known: %w", level, err)
		}
		zerolog.SetGlobalLevel(l)
		return nil
	}
	if err := set(level); err != nil {
		return zerolog.Nop(), nil, err
	}
	log, err := NewLogger(w, zerolog.LevelTraceValue)
	return log, set, err
}

// Part returns a logger for one part of the program, named in the field
// "part". By convention the message itself begins with the part's name and a
// colon, so that a reader can pick a part out of a plain stream of lines.
func Part(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}
