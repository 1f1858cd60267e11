package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// writeFlags are the flags that every write takes.
type writeFlags struct {
	ifVersion string
	note      string
	command   string
}

func defineWrite(fs *flag.FlagSet) *writeFlags {
	w := new(writeFlags)
	fs.StringVar(&w.ifVersion, "if-version", "", "accept only if the object has not changed since version `N`")
	fs.StringVar(&w.note, "note", "", "short `reason` for the history")
	fs.StringVar(&w.command, "command", "", "`id` of an earlier command with an unknown outcome, to send it again as it was")
	return w
}

// headers are the header parameters of a write.
type headers struct {
	command adminapi.OptCommandID
	repeat  adminapi.OptBool
	ifMatch adminapi.OptString
	note    adminapi.OptString
}

// params returns the parameters of a write on the named object: all writes have
// the same, as types that convert to each other.
func (h headers) params(name adminapi.Name) adminapi.PutServiceParams {
	return adminapi.PutServiceParams{
		Name:            name,
		MarlpassCommand: h.command,
		MarlpassRepeat:  h.repeat,
		IfMatch:         h.ifMatch,
		MarlpassNote:    h.note,
	}
}

func (w *writeFlags) headers() (headers, error) {
	var h headers
	if w.command != "" {
		h.repeat.SetTo(true)
	} else {
		w.command = uuid.NewString()
	}
	h.command.SetTo(adminapi.CommandID(w.command))
	if w.ifVersion != "" {
		n, err := strconv.ParseUint(w.ifVersion, 10, 63)
		if err != nil {
			return h, usagef("-if-version %q: allowed is a version number", w.ifVersion)
		}
		h.ifMatch.SetTo(strconv.Quote(strconv.FormatUint(n, 10)))
	}
	if w.note != "" {
		h.note.SetTo(url.PathEscape(w.note))
	}
	return h, nil
}

// Outcomes of a write.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeConflict = "conflict"
	outcomeUnknown  = "unknown"
)

// result is what is known of a write at the end. It is printed with -json.
type result struct {
	Outcome string            `json:"outcome"`
	Command string            `json:"command"`
	Version *adminapi.Version `json:"version,omitempty"`
	// Unchanged says that it was so already.
	Unchanged bool              `json:"unchanged,omitempty"`
	Problem   *adminapi.Problem `json:"problem,omitempty"`
	Detail    string            `json:"detail,omitempty"`
	// changed says that Version is the command's own. Of a record it is not
	// known: the version of a command that changed nothing is somebody else's.
	changed bool
}

// errUnknown stands for the answer 202.
var errUnknown = errors.New("the node does not know the outcome")

// send is one attempt at a write.
type send func(context.Context, *adminapi.Client, headers) (*adminapi.Accepted, error)

// write sends a change to the servers in turn until one gives an answer that
// settles it.
//
// It guards against a lost answer: the write took effect, and the operator is
// told that it failed or that another operator was faster. Every attempt has
// the same command id, so sending again does no harm. From the first attempt
// that may have taken effect on, no refusal is believed, because it may have
// met the operator's own change; only the command's record settles it then.
func (a *app) write(ctx context.Context, s *session, h headers, send send) error {
	command := string(h.command.Value)
	ctx, cancel := context.WithTimeout(ctx, s.whole)
	defer cancel()
	sending, stop := context.WithTimeout(ctx, s.whole-s.each)
	defer stop()
	lost := false
	var last error
	for _, server := range s.servers {
		answer, err := attempt(sending, s.write, server, func(ctx context.Context, c *adminapi.Client) (*adminapi.Accepted, error) {
			return send(ctx, c, h)
		})
		if err == nil {
			unchanged := answer.Unchanged.Value
			return a.report(result{
				Outcome: outcomeAccepted, Command: command, Version: &answer.Version,
				Unchanged: unchanged, changed: !unchanged,
			})
		}
		last = err
		if !changedNothing(err) {
			lost = true
			h.repeat.SetTo(true)
			continue
		}
		var d *document
		if errors.As(err, &d) && !tryElsewhere(d) {
			break
		}
	}
	if lost {
		return a.report(s.settle(ctx, command, last))
	}
	return a.report(refusal(command, last))
}

// settle asks for the command's record.
func (s *session) settle(ctx context.Context, command string, cause error) result {
	for _, server := range s.servers {
		record, err := attempt(ctx, s.each, server, func(ctx context.Context, c *adminapi.Client) (*adminapi.CommandRecord, error) {
			return c.GetCommand(ctx, adminapi.GetCommandParams{ID: adminapi.CommandID(command)})
		})
		if err != nil {
			continue
		}
		switch record.Outcome {
		case adminapi.CommandRecordOutcomeAccepted:
			return result{Outcome: outcomeAccepted, Command: command, Version: &record.Version.Value}
		case adminapi.CommandRecordOutcomeRefused:
			return recordedRefusal(command, record, cause)
		}
	}
	return result{Outcome: outcomeUnknown, Command: command, Detail: lastLine(cause)}
}

// recordedRefusal tells of a refusal that the record confirms. A conflict that
// the last server told of says more than the record does.
func recordedRefusal(command string, r *adminapi.CommandRecord, last error) result {
	var d *document
	if errors.As(last, &d) && d.StatusCode == http.StatusPreconditionFailed {
		return refusal(command, last)
	}
	return result{Outcome: outcomeRefused, Command: command, Detail: r.Reason.Or("")}
}

func refusal(command string, err error) result {
	r := result{Outcome: outcomeRefused, Command: command, Detail: err.Error()}
	var d *document
	if errors.As(err, &d) {
		r.Problem = &d.Response
		r.Detail = problemLine(&d.Response)
		if d.StatusCode == http.StatusPreconditionFailed {
			r.Outcome = outcomeConflict
		}
		if after, ok := d.RetryAfter.Get(); ok {
			r.Detail += fmt.Sprintf("; try again in %d s", after)
		}
	}
	return r
}

// report prints the result and returns the error with its exit code.
func (a *app) report(r result) error {
	code := map[string]int{
		outcomeAccepted: exit.OK,
		outcomeRefused:  exit.Failed,
		outcomeConflict: exitConflict,
		outcomeUnknown:  exitUnknown,
	}[r.Outcome]
	if a.opts.json {
		e := json.NewEncoder(a.env.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return err
		}
	} else {
		a.printResult(r)
	}
	if code == exit.OK {
		return nil
	}
	return &exitError{code: code}
}

func (a *app) printResult(r result) {
	switch r.Outcome {
	case outcomeAccepted:
		a.printAccepted(r)
	case outcomeUnknown:
		fmt.Fprintf(a.env.Stderr, "unknown: the change may or may not have taken effect (%s)\n", clean(r.Detail))
		fmt.Fprintf(a.env.Stderr, "ask by:  marlpass command show %s\n", r.Command)
	default:
		fmt.Fprintf(a.env.Stderr, "%s: %s\n", r.Outcome, clean(r.Detail))
		if r.Problem != nil {
			writeProblem(a.env.Stderr, r.Problem)
			// The operators' pages say by this word what to do.
			if reason, ok := strings.CutPrefix(r.Problem.Type, admin.TypePrefix); ok && r.Outcome == outcomeRefused {
				fmt.Fprintf(a.env.Stderr, "reason: %s\n", clean(reason))
			}
		}
	}
}

// printAccepted tells how to see what the change was: a target is stated whole,
// so what was left out went back to its default.
func (a *app) printAccepted(r result) {
	text := "accepted: version " + versionText(*r.Version)
	if r.Unchanged {
		text += "; nothing had to change"
	}
	fmt.Fprintln(a.env.Stdout, text)
	if n := r.Version.Number; r.changed && n > 0 {
		fmt.Fprintf(a.env.Stdout, "what changed: marlpass target diff %d %d\n", n-1, n)
	}
}
