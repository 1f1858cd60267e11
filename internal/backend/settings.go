package backend

import (
	"fmt"
	"net"
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Duration is a time.Duration that reads "250ms" from TOML.
type Duration time.Duration

// UnmarshalText reads a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

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

	Slots   int `toml:"slots"`
	Backlog int `toml:"backlog"` // requests that wait for a slot before shedding

	Distribution Distribution `toml:"distribution"`
	Mean         Duration     `toml:"mean"`

	ColdStart      Duration `toml:"cold_start"`
	ConnectionCost Duration `toml:"connection_cost"`
	ProbeCost      Duration `toml:"probe_cost"`

	AnnounceEvery Duration `toml:"announce_every"`
	// DrainWait is how long after announcing the drain new requests are still
	// run; DrainLimit bounds the wait for those that run.
	DrainWait  Duration `toml:"drain_wait"`
	DrainLimit Duration `toml:"drain_limit"`
	// CrashDown is how long a crashed server stays away; zero ends the program.
	CrashDown Duration `toml:"crash_down"`
}

// Defaults returns the sizes of the brief.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:0", Service: "berths", Instance: "a",
		Slots: 6, Backlog: 12, Distribution: Exponential, Mean: Duration(5 * time.Millisecond),
		ColdStart:      Duration(time.Second),
		ConnectionCost: Duration(time.Millisecond), ProbeCost: Duration(6 * time.Millisecond),
		AnnounceEvery: Duration(time.Second),
		DrainWait:     Duration(2 * time.Second), DrainLimit: Duration(30 * time.Second),
		CrashDown: Duration(2 * time.Second),
	}
}

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
		d   Duration
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
		if d := time.Duration(t.d); d < t.min || d > maxTime {
			return strict.Problem(file, t.key, d, fmt.Sprintf("must be from %s to %s", t.min, maxTime))
		}
	}
	return nil
}
