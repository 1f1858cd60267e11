package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// query asks the servers and prints the answer.
func query[T json.Marshaler](ctx context.Context, a *app, get func(context.Context, *adminapi.Client) (T, error), print func(io.Writer, T)) error {
	s, err := a.open()
	if err != nil {
		return err
	}
	v, err := ask(ctx, s, get)
	if err != nil {
		return err
	}
	if a.opts.json {
		return writeJSON(a.env.Stdout, v)
	}
	print(a.env.Stdout, v)
	return nil
}

// setupQuery sets up a command that takes no flags and prints the answer to one question.
func setupQuery[T json.Marshaler](get func(context.Context, *adminapi.Client) (T, error), print func(io.Writer, T)) setup {
	return func(*flag.FlagSet) action {
		return func(ctx context.Context, a *app, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return query(ctx, a, get, print)
		}
	}
}

func writeJSON(w io.Writer, v json.Marshaler) error {
	raw, err := v.MarshalJSON()
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(w, out.String())
	return nil
}

// parseSince reads a time, or how long ago it was.
func parseSince(s string, now time.Time) (adminapi.OptDateTime, error) {
	if s == "" {
		return adminapi.OptDateTime{}, nil
	}
	if ago, err := time.ParseDuration(s); err == nil && ago >= 0 {
		return adminapi.NewOptDateTime(now.Add(-ago)), nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return adminapi.OptDateTime{}, usagef("-since %q: allowed is a time such as 2026-06-01T06:00:00Z or how long ago, such as 8h", s)
	}
	return adminapi.NewOptDateTime(at), nil
}

type historyFlags struct {
	since, object, before string
	limit                 int
}

func historyCommand() *command {
	return &command{
		name:    "history",
		summary: "List accepted changes, newest first: what, who and when.",
		examples: []string{
			"marlpass history -since 8h",
			"marlpass history -object target/berth-booking",
			"marlpass history -before 812 -limit 100",
		},
		setup: func(fs *flag.FlagSet) action {
			f := new(historyFlags)
			fs.StringVar(&f.since, "since", "", "only changes from this `time` on, or from so long ago, such as 8h")
			fs.StringVar(&f.object, "object", "", "only changes of this `kind/name`")
			fs.StringVar(&f.before, "before", "", "only versions below `N`: the next page")
			fs.IntVar(&f.limit, "limit", 50, "at most so many changes, 1 to 500")
			return f.run
		},
	}
}

func (f *historyFlags) run(ctx context.Context, a *app, args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	p, err := f.params(a.env.Now())
	if err != nil {
		return err
	}
	return query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.History, error) {
		return c.GetHistory(ctx, p)
	}, printHistory)
}

func (f *historyFlags) params(now time.Time) (p adminapi.GetHistoryParams, err error) {
	if p.Since, err = parseSince(f.since, now); err != nil {
		return p, err
	}
	if f.limit < 1 || f.limit > 500 {
		return p, usagef("-limit %d: allowed are 1 to 500", f.limit)
	}
	p.Limit.SetTo(f.limit)
	if f.before != "" {
		n, err := strconv.ParseUint(f.before, 10, 63)
		if err != nil {
			return p, usagef("-before %q: allowed is a version number", f.before)
		}
		p.Before.SetTo(adminapi.VersionNumber(n))
	}
	if f.object != "" {
		kind, name, _ := strings.Cut(f.object, "/")
		if adminapi.Kind(kind).Validate() != nil || adminapi.Name(name).Validate() != nil {
			return p, usagef("-object %q: allowed is service/NAME or target/NAME", f.object)
		}
		p.Kind.SetTo(adminapi.Kind(kind))
		p.Name.SetTo(adminapi.Name(name))
	}
	return p, nil
}

func handoverCommand() *command {
	return &command{
		name:     "handover",
		summary:  "Show what the next shift needs to know.",
		examples: []string{"marlpass handover", "marlpass handover -since 2026-06-01T06:00:00Z"},
		setup: func(fs *flag.FlagSet) action {
			since := fs.String("since", "", "list changes from this `time` on, or from so long ago (default 8h)")
			return func(ctx context.Context, a *app, args []string) error {
				if err := noArgs(args); err != nil {
					return err
				}
				from, err := parseSince(*since, a.env.Now())
				if err != nil {
					return err
				}
				return query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.Handover, error) {
					return c.GetHandover(ctx, adminapi.GetHandoverParams{Since: from})
				}, printHandover)
			}
		},
	}
}

func statusCommand() *command {
	return &command{
		name:     "status",
		summary:  "Show the state of the node that answers.",
		examples: []string{"marlpass status", "marlpass status -server https://10.0.0.1:7806"},
		setup:    setupQuery(getStatus, printStatus),
	}
}

func getStatus(ctx context.Context, c *adminapi.Client) (*adminapi.Status, error) {
	return c.GetStatus(ctx)
}

func commandShow() *command {
	return &command{
		name:     "show",
		args:     "ID",
		summary:  "Show what is recorded of a command.",
		detail:   "Exits with 0 when it was accepted, 1 when it was refused, 3 when nothing is recorded.",
		examples: []string{"marlpass command show 4fd8a8f0-98a1-4f0c-a7fb-0a5fe7b1a3c2"},
		setup: func(*flag.FlagSet) action {
			return func(ctx context.Context, a *app, args []string) error {
				id, err := oneArg(args, "ID")
				if err != nil {
					return err
				}
				if adminapi.CommandID(id).Validate() != nil {
					return usagef("ID %q: allowed are up to 64 letters, digits, '.', '_' and '-'", id)
				}
				return showCommand(ctx, a, id)
			}
		},
	}
}

func showCommand(ctx context.Context, a *app, id string) error {
	var outcome adminapi.CommandRecordOutcome
	err := query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.CommandRecord, error) {
		r, err := c.GetCommand(ctx, adminapi.GetCommandParams{ID: adminapi.CommandID(id)})
		if err == nil {
			outcome = r.Outcome
		}
		return r, err
	}, printCommand)
	switch {
	case err != nil:
		return err
	case outcome == adminapi.CommandRecordOutcomeRefused:
		return &exitError{code: exit.Failed}
	case outcome == adminapi.CommandRecordOutcomeNone:
		return &exitError{code: exitUnknown}
	}
	return nil
}
