package main

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/settings/strict"
	"github.com/marlpass/marlpass/internal/telemetry"
)

const (
	defaultListen   = "127.0.0.1:7300"
	defaultShutdown = 10 * time.Second
	defaultLogLevel = "info"
	maxWait         = 10 * time.Minute
)

type settings struct {
	Listen          string          `toml:"listen"`
	LogLevel        string          `toml:"log_level"`
	ShutdownTimeout strict.Duration `toml:"shutdown_timeout"`
	Seed            uint64          `toml:"seed"`
	Switches        switches        `toml:"switches"`
}

// switches are the switches at the start; api/platform.yaml explains them.
type switches struct {
	Down            bool            `toml:"down"`
	Frozen          bool            `toml:"frozen"`
	Slow            strict.Duration `toml:"slow"`
	LoseRate        float64         `toml:"lose_rate"`
	LoseNext        int             `toml:"lose_next"`
	FailRate        float64         `toml:"fail_rate"`
	FailNext        int             `toml:"fail_next"`
	StaleAge        strict.Duration `toml:"stale_age"`
	StaleRevisions  int             `toml:"stale_revisions"`
	ReadsPerSecond  float64         `toml:"reads_per_second"`
	WritesPerSecond float64         `toml:"writes_per_second"`
}

// load reads the settings file, if any, and checks every value. A listen
// address from the command line goes before the file's.
func load(file, listen string) (settings, error) {
	s := settings{
		Listen:          defaultListen,
		LogLevel:        defaultLogLevel,
		ShutdownTimeout: strict.Duration{Duration: defaultShutdown},
		Seed:            1,
	}
	if file != "" {
		if err := strict.Load(file, &s); err != nil {
			return s, err
		}
	}
	if err := s.check(file); err != nil {
		return s, err
	}
	if listen != "" {
		s.Listen = listen
		if !validAddress(listen) {
			return s, strict.Problem("command line", "-listen", listen, allowedAddress)
		}
	}
	return s, nil
}

const allowedAddress = "allowed is an IP number and a port, like 127.0.0.1:7300"

func (s settings) check(file string) error {
	if !validAddress(s.Listen) {
		return strict.Problem(file, "listen", s.Listen, allowedAddress)
	}
	if !slices.Contains(telemetry.LogLevels, s.LogLevel) {
		return strict.Problem(file, "log_level", s.LogLevel, "allowed are "+strings.Join(telemetry.LogLevels, ", "))
	}
	w := s.Switches
	for _, c := range []struct {
		ok      bool
		key     string
		value   any
		allowed string
	}{
		{inWait(s.ShutdownTimeout), "shutdown_timeout", s.ShutdownTimeout, allowedWait},
		{inWait(w.Slow), "switches.slow", w.Slow, allowedWait},
		{inWait(w.StaleAge), "switches.stale_age", w.StaleAge, allowedWait},
		{isShare(w.LoseRate), "switches.lose_rate", w.LoseRate, allowedShare},
		{isShare(w.FailRate), "switches.fail_rate", w.FailRate, allowedShare},
		{w.LoseNext >= 0, "switches.lose_next", w.LoseNext, allowedCount},
		{w.FailNext >= 0, "switches.fail_next", w.FailNext, allowedCount},
		{w.StaleRevisions >= 0, "switches.stale_revisions", w.StaleRevisions, allowedCount},
		{w.ReadsPerSecond >= 0, "switches.reads_per_second", w.ReadsPerSecond, allowedCount},
		{w.WritesPerSecond >= 0, "switches.writes_per_second", w.WritesPerSecond, allowedCount},
	} {
		if !c.ok {
			return strict.Problem(file, c.key, c.value, c.allowed)
		}
	}
	return nil
}

const (
	allowedWait  = `allowed are "0s" to "10m"`
	allowedShare = "allowed are 0 to 1"
	allowedCount = "allowed are 0 and above"
)

func inWait(d strict.Duration) bool { return d.Duration >= 0 && d.Duration <= maxWait }

func isShare(f float64) bool { return f >= 0 && f <= 1 }

func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (w switches) fake() fake.Switches {
	return fake.Switches{
		Down:            w.Down,
		Frozen:          w.Frozen,
		Slow:            w.Slow.Duration,
		LoseRate:        w.LoseRate,
		LoseNext:        w.LoseNext,
		FailRate:        w.FailRate,
		FailNext:        w.FailNext,
		StaleAge:        w.StaleAge.Duration,
		StaleRevisions:  w.StaleRevisions,
		ReadsPerSecond:  w.ReadsPerSecond,
		WritesPerSecond: w.WritesPerSecond,
	}
}
