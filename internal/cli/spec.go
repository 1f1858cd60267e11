package cli

import (
	"flag"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// targetInput is a target as flags or a TOML file give it.
type targetInput struct {
	Service     string          `toml:"service"`
	Host        string          `toml:"host"`
	Path        string          `toml:"path"`
	Methods     []string        `toml:"methods"`
	Idempotent  bool            `toml:"idempotent"`
	Within      strict.Duration `toml:"within"`
	Percentile  float64         `toml:"percentile"`
	Share       string          `toml:"share"`
	Rate        float64         `toml:"rate"`
	Priority    int             `toml:"priority"`
	Internal    bool            `toml:"internal"`
	OnStoreDown string          `toml:"on_store_down"`
	Deadline    strict.Duration `toml:"deadline"`
	Bound       strict.Duration `toml:"bound"`
	Attempts    int             `toml:"attempts"`
	Keyless     bool            `toml:"keyless"`
}

// targetFlags are the flags that describe a target; they exclude -f.
var targetFlags = map[string]bool{
	"service": true, "host": true, "path": true, "methods": true, "idempotent": true,
	"within": true, "percentile": true, "share": true, "rate": true, "priority": true,
	"internal": true, "on-store-down": true, "deadline": true,
	"bound": true, "attempts": true, "keyless": true,
}

func defineTarget(fs *flag.FlagSet) *targetInput {
	t := new(targetInput)
	fs.StringVar(&t.Service, "service", "", "`service` that answers the calls (required)")
	fs.StringVar(&t.Host, "host", "", "`host` of the calls (default: every host)")
	fs.StringVar(&t.Path, "path", "", "`prefix` of the calls' path (required)")
	fs.Func("methods", "HTTP `methods` with commas between (default: every method)", func(s string) error {
		t.Methods = strings.Split(s, ",")
		return nil
	})
	fs.BoolVar(&t.Idempotent, "idempotent", false, "running a call twice does no harm")
	fs.DurationVar(&t.Within.Duration, "within", 0, "answer `time` aimed at, such as 200ms")
	fs.Float64Var(&t.Percentile, "percentile", 0, "`percent` of answers that must come within it (default 99)")
	fs.StringVar(&t.Share, "share", "", "largest `part` of the service's slots, such as 20% (default: no bound)")
	fs.Float64Var(&t.Rate, "rate", 0, "bound on `calls` per second over the whole mesh (default: no bound)")
	fs.IntVar(&t.Priority, "priority", 0, "1, first to give way under overload, to 9 (default 5)")
	fs.BoolVar(&t.Internal, "internal", false, "open to backend servers only")
	fs.StringVar(&t.OnStoreDown, "on-store-down", "", "refuse, wait or local-guard: keyed calls while the platform is down (default refuse)")
	fs.DurationVar(&t.Deadline.Duration, "deadline", 0, "bound on a call whose caller sent none (default 30s)")
	fs.DurationVar(&t.Bound.Duration, "bound", 0, "longest `time` of a call, whatever its caller allows (default: none)")
	fs.IntVar(&t.Attempts, "attempts", 0, "the most backend servers that one call is sent to (default: as the retry policy says)")
	fs.BoolVar(&t.Keyless, "keyless", false, "calls need no API key where there are workspaces")
	return t
}

// givenFlags returns the names of the flags that were given.
func givenFlags(fs *flag.FlagSet) map[string]bool {
	given := make(map[string]bool)
	fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	return given
}

// firstTargetFlag returns a given flag that describes a target, or "".
func firstTargetFlag(fs *flag.FlagSet) string {
	found := ""
	fs.Visit(func(f *flag.Flag) {
		if found == "" && targetFlags[f.Name] {
			found = f.Name
		}
	})
	return found
}

// read reads the target from a file, and returns the keys that the file gives.
func (t *targetInput) read(file string) (given map[string]bool, err error) {
	var all map[string]any
	if err = strict.Load(file, t); err == nil {
		err = strict.Load(file, &all)
	}
	if err != nil {
		return nil, &exitError{exit.Usage, err.Error()}
	}
	given = make(map[string]bool, len(all))
	for key := range all {
		given[key] = true
	}
	return given, nil
}

// checkZeros refuses a zero that was written out.
//
// It guards against a typo that opens what it should close. The API takes 0 for
// "left out", so a rate of 0, meant to stop a class, would take off its bound.
func (t *targetInput) checkZeros(file string, given map[string]bool) error {
	const none = "0"
	for _, v := range []struct {
		key, value string
		isZero     bool
		allowed    string
	}{
		{"within", "0s", t.Within.Duration == 0, "allowed is more than 0; leave it out for no aim"},
		{"deadline", "0s", t.Deadline.Duration == 0, "allowed is more than 0; leave it out for 30s"},
		{"bound", "0s", t.Bound.Duration == 0, "allowed is more than 0; leave it out for no bound"},
		{"attempts", none, t.Attempts == 0, "allowed are 1 to 64; leave it out for the default"},
		{"percentile", none, t.Percentile == 0, "allowed is more than 0 and less than 100; leave it out for 99"},
		{"rate", none, t.Rate == 0, "allowed is more than 0; leave it out for no bound"},
		{"priority", none, t.Priority == 0, "allowed are 1 to 9; leave it out for 5"},
	} {
		if given[v.key] && v.isZero {
			return t.bad(file, v.key, v.value, v.allowed)
		}
	}
	return nil
}

// inputNames are the names that operators know the API's fields by, where
// they differ.
var inputNames = map[string]string{
	"match.host": "host", "match.path_prefix": "path", "match.methods": "methods",
	"answer_within_ms": "within", "deadline_ms": "deadline", "timeout_ms": "bound", "rate_per_second": "rate", "audience": "internal",
}

// spec returns the target as the API takes it. It checks the input's own
// forms; ranges are the server's to check.
func (t *targetInput) spec(file string) (*adminapi.TargetSpec, error) {
	if t.Service == "" || t.Path == "" {
		return nil, usagef("a target needs a service and a path")
	}
	share, err := parseShare(t.Share)
	if err != nil {
		return nil, t.bad(file, "share", t.Share, "allowed is more than 0% up to 100%, such as 20% or 0.2")
	}
	within, err := wholeMS(t.Within.Duration)
	if err != nil {
		return nil, t.bad(file, "within", t.Within.String(), "allowed are whole milliseconds from 1ms up")
	}
	deadline, err := wholeMS(t.Deadline.Duration)
	if err != nil {
		return nil, t.bad(file, "deadline", t.Deadline.String(), "allowed are whole milliseconds from 1ms up")
	}
	timeout, err := wholeMS(t.Bound.Duration)
	if err != nil {
		return nil, t.bad(file, "bound", t.Bound.String(), "allowed are whole milliseconds from 1ms up")
	}
	s := &adminapi.TargetSpec{
		Service:        adminapi.Name(t.Service),
		Match:          adminapi.Match{Host: optString(t.Host), PathPrefix: t.Path, Methods: t.Methods},
		Idempotent:     adminapi.OptBool{Value: t.Idempotent, Set: t.Idempotent},
		AnswerWithinMs: adminapi.OptInt64{Value: within, Set: within != 0},
		Percentile:     adminapi.OptFloat64{Value: t.Percentile, Set: t.Percentile != 0},
		DeadlineMs:     adminapi.OptInt64{Value: deadline, Set: deadline != 0},
		Share:          adminapi.OptFloat64{Value: share, Set: share != 0},
		RatePerSecond:  adminapi.OptFloat64{Value: t.Rate, Set: t.Rate != 0},
		Priority:       adminapi.OptInt{Value: t.Priority, Set: t.Priority != 0},
		OnStoreDown:    adminapi.OptOnStoreDown{Value: adminapi.OnStoreDown(t.OnStoreDown), Set: t.OnStoreDown != ""},
		TimeoutMs:      adminapi.OptInt64{Value: timeout, Set: timeout != 0},
		Attempts:       adminapi.OptInt{Value: t.Attempts, Set: t.Attempts != 0},
		Keyless:        adminapi.OptBool{Value: t.Keyless, Set: t.Keyless},
	}
	if t.Internal {
		s.Audience.SetTo(adminapi.AudienceInternal)
	}
	return s, nil
}

// bad names a value that the input holds in a form that is not allowed.
func (t *targetInput) bad(file, key, value, allowed string) error {
	if file == "" {
		return usagef("-%s %q: %s", key, value, allowed)
	}
	return &exitError{exit.Usage, strict.Problem(file, key, value, allowed).Error()}
}

// parseShare reads a part of a whole, as a percentage or a fraction.
func parseShare(s string) (float64, error) {
	if s == "" {
		return 0, nil
	}
	number, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, err
	}
	if percent {
		v /= 100
	}
	if math.IsNaN(v) || v <= 0 || v > 1 {
		return 0, strconv.ErrRange
	}
	return v, nil
}

func wholeMS(d time.Duration) (int64, error) {
	if d < 0 || d%time.Millisecond != 0 {
		return 0, strconv.ErrRange
	}
	return d.Milliseconds(), nil
}
