package decisions

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// ErrNotALog means that a file holds no line of a node's log.
var ErrNotALog = errors.New("decisions: no line of a node's log")

// Line is one line about a call, as Log writes it. Fields that a kind of decision
// does not have are zero.
type Line struct {
	TimeMS   int64  `json:"time"` // Unix milliseconds by the clock of the VM
	VM       string `json:"vm"`
	Decision Kind   `json:"decision"`
	Call     string `json:"call"`
	Class    string `json:"class"`
	// Root is the class of the call at the beginning of the chain, for a nested call.
	Root     string `json:"root"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail"`
	Cause    string `json:"cause"`
	Why      string `json:"why"`
	Status   int    `json:"status"`
	Version  uint64 `json:"version"`
	Looks    int    `json:"looks"`
	Attempts int    `json:"attempts"`
	Reached  int    `json:"reached"`
	AfterMS  int64  `json:"after_ms"`
	LeftMS   int64  `json:"left_ms"`
	WaitedMS int64  `json:"waited_ms"`
	RanMS    int64  `json:"ran_ms"`
	AimMS    int64  `json:"aim_ms"`
	ComeBack int64  `json:"come_back_ms"`
	BeforeMS int64  `json:"before_ms"`
	Once     bool   `json:"once"`
	Busy     int    `json:"busy"`
	Limit    int    `json:"limit"`
	Waiting  int    `json:"waiting"`
	Slots    int    `json:"slots"`
	// AnswerCall and AnswerInstance are what a backend server's answer that wasn't relayed names,
	// and ConnCalls is how many calls its connection has carried.
	AnswerCall     string `json:"answer_call"`
	AnswerInstance string `json:"answer_instance"`
	ConnCalls      uint64 `json:"connection_calls"`
	Message        string `json:"message"`
}

// inner separates the id of a call from those of the calls that its backend server
// makes for it.
const inner = "."

// of reports whether the line is about the call id or one made for it.
func (l *Line) of(id string) bool {
	return l.Call == id || strings.HasPrefix(l.Call, id+inner)
}

// Find reads a log and returns its lines about the call id and those made for it.
// It returns ErrNotALog when no line of r is JSON.
func Find(r io.Reader, id string) ([]Line, error) {
	var out []Line
	err := eachLine(r, func(l *Line) {
		if l.of(id) {
			out = append(out, *l)
		}
	})
	return out, err
}

// eachLine calls f for each line of a log that tells of a decision about a call. Text
// before a line's JSON, as a collector may put there, is passed over.
func eachLine(r io.Reader, f func(*Line)) error {
	known := false
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(s.Bytes()[at:], &l) != nil {
			continue // a line that was cut, or is no line of a log
		}
		known = true
		if l.Decision != "" {
			f(&l)
		}
	}
	switch {
	case s.Err() != nil:
		return s.Err()
	case !known:
		return ErrNotALog
	}
	return nil
}

// Explain prints the lines of one call as a time line, and what decided how it
// ended. Lines of several VMs are put in order by their clocks, which may differ.
func Explain(w io.Writer, id string, lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.TimeMS, b.TimeMS) })
	fmt.Fprintf(w, "call %s: %d lines\n", id, len(lines))
	for _, l := range lines {
		name := ""
		if l.Call != id {
			name = " (call " + strings.TrimPrefix(l.Call, id) + ")"
		}
		fmt.Fprintf(w, "  +%d ms  %s  %s%s%s\n", l.TimeMS-lines[0].TimeMS, l.VM, l.Message, name, l.inputs())
	}
	if d := deciding(id, lines); d != nil {
		fmt.Fprintf(w, "decided by: %s%s\n", d.Message, d.inputs())
	}
}

// deciding returns the last line that ended the call itself.
func deciding(id string, lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		switch lines[i].Decision {
		case Refused, Unknown, Failed, Cut, Late:
			if lines[i].Call == id {
				return &lines[i]
			}
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return &lines[len(lines)-1]
}

// inputs returns what decided, for people.
func (l *Line) inputs() string {
	var b strings.Builder
	text := func(name, v string) {
		if v != "" {
			fmt.Fprintf(&b, " %s=%q", name, v)
		}
	}
	number := func(name string, v int64, unit string) {
		if v != 0 {
			fmt.Fprintf(&b, " %s=%d%s", name, v, unit)
		}
	}
	text("reason", l.Reason)
	text("detail", l.Detail)
	text("cause", l.Cause)
	text("why", l.Why)
	text("endpoint", l.Endpoint)
	text("instance", l.Instance)
	text("state", l.State)
	text("class", l.Class)
	text("root", l.Root)
	number("status", int64(l.Status), "")
	text("answer_call", l.AnswerCall)
	text("answer_instance", l.AnswerInstance)
	number("connection_calls", int64(l.ConnCalls), "")
	number("looks", int64(l.Looks), "")
	number("attempts", int64(l.Attempts), "")
	number("reached", int64(l.Reached), "")
	number("busy", int64(l.Busy), "")
	number("limit", int64(l.Limit), "")
	number("waiting", int64(l.Waiting), "")
	number("slots", int64(l.Slots), "")
	number("before", l.BeforeMS, "ms")
	number("after", l.AfterMS, "ms")
	number("waited", l.WaitedMS, "ms")
	number("ran", l.RanMS, "ms")
	number("aim", l.AimMS, "ms")
	number("left", l.LeftMS, "ms")
	number("come_back", l.ComeBack, "ms")
	number("version", int64(l.Version), "")
	if l.Once {
		b.WriteString(" once")
	}
	return b.String()
}
