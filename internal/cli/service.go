package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func serviceList() *command {
	return &command{
		name:     "list",
		summary:  "List the services in force.",
		examples: []string{"marlpass service list", "marlpass service list -json"},
		setup:    setupQuery(listServices, printServices),
	}
}

func listServices(ctx context.Context, c *adminapi.Client) (*adminapi.ServiceList, error) {
	res, err := c.ListServices(ctx)
	if err != nil {
		return nil, err
	}
	return &res.Response, nil
}

func serviceSet() *command {
	return &command{
		name:    "set",
		args:    "NAME",
		summary: "State a service of your team: create it, or change it.",
		examples: []string{
			"marlpass service set berth",
			"marlpass service set berth -description 'berths and launches' -if-version 41",
		},
		setup: func(fs *flag.FlagSet) action {
			description := fs.String("description", "", "what the service is, in a few `words`")
			w := defineWrite(fs)
			return func(ctx context.Context, a *app, args []string) error {
				spec := &adminapi.ServiceSpec{Description: optString(*description)}
				return a.change(ctx, w, args, func(name adminapi.Name) send {
					return putService(spec, name)
				})
			}
		},
	}
}

func putService(spec *adminapi.ServiceSpec, name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.PutService(ctx, spec, adminapi.PutServiceParams(h.params(name))))
	}
}

func serviceWithdraw() *command {
	return &command{
		name:     "withdraw",
		args:     "NAME",
		summary:  "Withdraw a service that no target needs.",
		examples: []string{"marlpass service withdraw berth"},
		setup:    setupWrite(withdrawService),
	}
}

func withdrawService(name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.WithdrawService(ctx, adminapi.WithdrawServiceParams(h.params(name))))
	}
}

// setupWrite sets up a command that writes the object that its one argument names, and takes no
// flags but those of every write.
func setupWrite(make func(adminapi.Name) send) setup {
	return func(fs *flag.FlagSet) action {
		w := defineWrite(fs)
		return func(ctx context.Context, a *app, args []string) error {
			return a.change(ctx, w, args, make)
		}
	}
}

// change runs a write on the object that the one argument names.
func (a *app) change(ctx context.Context, w *writeFlags, args []string, make func(adminapi.Name) send) error {
	name, err := oneArg(args, "NAME")
	if err != nil {
		return err
	}
	h, err := w.headers()
	if err != nil {
		return err
	}
	if err := h.command.Value.Validate(); err != nil {
		return usagef("-command %q: allowed are up to 64 letters, digits, '.', '_' and '-'", w.command)
	}
	if err := adminapi.Name(name).Validate(); err != nil {
		return usagef("NAME %q: allowed are up to 63 lower-case letters, digits and hyphens", name)
	}
	s, err := a.open()
	if err != nil {
		return err
	}
	return a.write(ctx, s, h, make(adminapi.Name(name)))
}

// acceptedAnswer reads a write's answer, of any operation.
func acceptedAnswer(res any, err error) (*adminapi.Accepted, error) {
	if err != nil {
		return nil, err
	}
	switch r := res.(type) {
	case *adminapi.AcceptedHeaders:
		return &r.Response, nil
	case *adminapi.CreatedHeaders:
		return &r.Response, nil
	case *adminapi.UnknownHeaders:
		return nil, fmt.Errorf("%w: %s", errUnknown, r.Response.Detail)
	}
	return nil, fmt.Errorf("unexpected answer %T", res)
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

func oneArg(args []string, what string) (string, error) {
	if len(args) == 0 {
		return "", usagef("%s is missing", what)
	}
	return args[0], noArgs(args[1:])
}

func optString(s string) adminapi.OptString {
	return adminapi.OptString{Value: s, Set: s != ""}
}
