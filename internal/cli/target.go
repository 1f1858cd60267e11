package cli

import (
	"context"
	"flag"
	"strconv"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func targetList() *command {
	return &command{
		name:     "list",
		summary:  "List the targets in force.",
		examples: []string{"marlpass target list", "marlpass target list -service berth"},
		setup: func(fs *flag.FlagSet) action {
			service := fs.String("service", "", "only targets of this `service`")
			return func(ctx context.Context, a *app, args []string) error {
				if err := noArgs(args); err != nil {
					return err
				}
				return query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.TargetList, error) {
					res, err := c.ListTargets(ctx)
					if err != nil {
						return nil, err
					}
					return onlyService(&res.Response, *service), nil
				}, printTargets)
			}
		},
	}
}

func onlyService(l *adminapi.TargetList, service string) *adminapi.TargetList {
	if service == "" {
		return l
	}
	out := &adminapi.TargetList{Version: l.Version, Targets: []adminapi.Target{}}
	for _, t := range l.Targets {
		if string(t.Spec.Service) == service {
			out.Targets = append(out.Targets, t)
		}
	}
	return out
}

func targetSet() *command {
	return &command{
		name:    "set",
		args:    "NAME",
		summary: "State the whole target of a class of work: create it, or put it in the place of the old one.",
		detail: "What is left out goes back to its default. -f reads the same from a TOML file, with the\n" +
			"keys service, host, path, methods, idempotent, within, percentile, share, rate, priority,\n" +
			"internal, on_store_down, deadline, bound, attempts and keyless.",
		examples: []string{
			"marlpass target set berth-booking -service berth -path /bookings -methods POST -within 200ms -priority 8",
			"marlpass target set archive-pull -service archive -path /archive -idempotent -share 20%",
			"marlpass target set berth-booking -f berth-booking.toml -if-version 41",
		},
		setup: setupTargetSet,
	}
}

func setupTargetSet(fs *flag.FlagSet) action {
	file := fs.String("f", "", "read the target from a TOML `file` instead of flags")
	t := defineTarget(fs)
	w := defineWrite(fs)
	return func(ctx context.Context, a *app, args []string) error {
		given := givenFlags(fs)
		if *file != "" {
			if name := firstTargetFlag(fs); name != "" {
				return usagef("-f and -%s exclude each other", name)
			}
			var err error
			if given, err = t.read(*file); err != nil {
				return err
			}
		}
		if err := t.checkZeros(*file, given); err != nil {
			return err
		}
		spec, err := t.spec(*file)
		if err != nil {
			return err
		}
		return a.change(ctx, w, args, func(name adminapi.Name) send {
			return putTarget(spec, name)
		})
	}
}

func putTarget(spec *adminapi.TargetSpec, name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.PutTarget(ctx, spec, adminapi.PutTargetParams(h.params(name))))
	}
}

func targetWithdraw() *command {
	return &command{
		name:     "withdraw",
		args:     "NAME",
		summary:  "Withdraw a target.",
		examples: []string{"marlpass target withdraw berth-booking -note 'season ends'"},
		setup:    setupWrite(withdrawTarget),
	}
}

func withdrawTarget(name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams(h.params(name))))
	}
}

func targetDiff() *command {
	return &command{
		name:     "diff",
		args:     "FROM [TO]",
		summary:  "Show what differs between two versions; TO is the version in force when left out.",
		examples: []string{"marlpass target diff 41", "marlpass target diff 41 44"},
		setup: func(*flag.FlagSet) action {
			return func(ctx context.Context, a *app, args []string) error {
				p, err := diffParams(args)
				if err != nil {
					return err
				}
				return query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.Diff, error) {
					return c.GetDiff(ctx, p)
				}, printDiff)
			}
		},
	}
}

func diffParams(args []string) (adminapi.GetDiffParams, error) {
	var p adminapi.GetDiffParams
	if len(args) < 1 || len(args) > 2 {
		return p, usagef("FROM and at most TO are needed")
	}
	for i, arg := range args {
		n, err := strconv.ParseUint(arg, 10, 63)
		if err != nil {
			return p, usagef("version %q: allowed is a version number", arg)
		}
		if i == 0 {
			p.From = adminapi.VersionNumber(n)
		} else {
			p.To.SetTo(adminapi.VersionNumber(n))
		}
	}
	return p, nil
}
