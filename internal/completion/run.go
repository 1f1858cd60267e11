package completion

import (
	"strconv"
	"strings"
	"time"
)

// Bounds of a stated slowdown. Values beyond them are implausible and are limited to them.
const (
	minSlowdown = 0.1
	maxSlowdown = 10
)

// Usual is the slowdown of a VM that runs at its usual speed. A slowdown of zero is unknown.
const Usual = 1.0

// Run is the report of a node on how long calls of a class run at its backend server. The zero Run
// reports nothing.
type Run struct {
	Class    string
	Usual    time.Duration // mean run time at the usual speed of the VM
	Slowdown float64       // present
}

// Known reports whether r holds a report.
func (r Run) Known() bool { return r.Usual > 0 }

// Expected returns the expected run time of a call that starts now.
func (r Run) Expected() time.Duration { return time.Duration(float64(r.Usual) * r.Slowdown) }

const percent = 100

// String encodes the run time in microseconds and the slowdown in percent. The class is known from
// the call.
func (r Run) String() string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, r.Usual.Microseconds(), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(r.Slowdown*percent+0.5), 10)
	return string(b)
}

// ParseRun decodes the result of String. It returns the zero Run if s is empty or malformed.
func ParseRun(s string) Run {
	if s == "" {
		return Run{} // the header is usually absent, and an error costs an allocation
	}
	usual, slowdown, ok := strings.Cut(s, "/")
	us, err1 := strconv.ParseUint(usual, 10, 40)
	p, err2 := strconv.ParseUint(slowdown, 10, 20)
	if !ok || err1 != nil || err2 != nil || us == 0 || p == 0 {
		return Run{}
	}
	return Run{Usual: time.Duration(us) * time.Microsecond, Slowdown: bounded(float64(p) / percent)}
}

func bounded(slowdown float64) float64 { return min(max(slowdown, minSlowdown), maxSlowdown) }
