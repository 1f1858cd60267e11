package backend

import (
	"fmt"
	"net"
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Distribution is how service times are spread around their mean.
type Distribution string

// The distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	// Lognormal has a long tail: with its Spread of 1, one request in a
	// hundred takes six times the mean.
	Lognormal Distribution = "lognormal"
)

// Settings describe one stand-in backend server.
type Settings struct {
	Listen string `toml:"listen"`
	Node   string `toml:"node"` // URL of the announce API, or empty
	// Advertise is the address that is announced; the one listened on if empty.
	Advertise string `toml:"advertise"`
	Service   string `toml:"service"`
	Instance  string `toml:"instance"`
	// Version is that of its software, and BadShare the part of the requests that it answers
	// with a failure, from 0 to 1.
	Version  string  `toml:"version"`
	BadShare float64 `toml:"bad_share"`

	Slots   int `toml:"slots"`
	Backlog int `toml:"backlog"` // requests that wait for a slot before shedding

	Distribution Distribution    `toml:"distribution"`
	Mean         strict.Duration `toml:"mean"`

	ColdStart      strict.Duration `toml:"cold_start"`
	ConnectionCost strict.Duration `toml:"connection_cost"`
	ProbeCost      strict.Duration `toml:"probe_cost"`

	AnnounceEvery strict.Duration `toml:"announce_every"`
	// DrainWait is how long after announcing the drain new requests are still
	// run; DrainLimit bounds the wait for those that run.
	DrainWait  strict.Duration `toml:"drain_wait"`
	DrainLimit strict.Duration `toml:"drain_limit"`
	// CrashDown is how long a crashed server stays away; zero ends the program.
	CrashDown strict.Duration `toml:"crash_down"`
}

// Defaults returns the sizes of the brief.
func Defaults() Settings {
	return Settings{
		Listen:         "127.0.0.1:0",
		Service:        "berths",
		Instance:       "a",
		Slots:          6,
		Backlog:        12,
		Distribution:   Exponential,
		Mean:           duration(5 * time.Millisecond),
		ColdStart:      duration(time.Second),
		ConnectionCost: duration(time.Millisecond),
		ProbeCost:      duration(6 * time.Millisecond),
		AnnounceEvery:  duration(time.Second),
		DrainWait:      duration(2 * time.Second),
		DrainLimit:     duration(30 * time.Second),
		CrashDown:      duration(2 * time.Second),
	}
}

func duration(d time.Duration) strict.Duration { return strict.Duration{Duration: d} }

// Check returns the first setting that cannot be used, as a *strict.Error.
// File names where the settings come from.
func (s *Settings) Check(file string) error {
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return strict.Problem(file, "listen", s.Listen, "must be host:port")
	}
	if s.Service == "" {
		return strict.Problem(file, "service", s.Service, "must be the name of a service")
	}
	if s.Instance == "" {
		return strict.Problem(file, "instance", s.Instance, "must be a name that is unique on the VM")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return strict.Problem(file, "slots", s.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots))
	}
	if s.BadShare < 0 || s.BadShare > 1 {
		return strict.Problem(file, "bad_share", s.BadShare, "must be from 0 to 1")
	}
	if s.Backlog < 0 {
		return strict.Problem(file, "backlog", s.Backlog, "must be 0 or more")
	}
	switch s.Distribution {
	case Fixed, Exponential, Lognormal:
	default:
		return strict.Problem(file, "distribution", string(s.Distribution), "must be fixed, exponential or lognormal")
	}
	return s.checkTimes(file)
}

const (
	maxSlots = 4096
	maxTime  = time.Hour
)

func (s *Settings) checkTimes(file string) error {
	for _, t := range []struct {
		key string
		d   strict.Duration
		min time.Duration
	}{
		{"mean", s.Mean, 0},
		{"cold_start", s.ColdStart, 0},
		{"connection_cost", s.ConnectionCost, 0},
		{"probe_cost", s.ProbeCost, 0},
		{"announce_every", s.AnnounceEvery, 10 * time.Millisecond},
		{"drain_wait", s.DrainWait, 0},
		{"drain_limit", s.DrainLimit, 0},
		{"crash_down", s.CrashDown, 0},
	} {
		if d := t.d.Duration; d < t.min || d > maxTime {
			return strict.Problem(file, t.key, d, fmt.Sprintf("must be from %s to %s", t.min, maxTime))
		}
	}
	return nil
}
