package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func quarantineGroup() *command {
	return &command{
		name:     "quarantine",
		summary:  "List requests that crashed backend servers, and let them run again.",
		examples: []string{"marlpass quarantine list", "marlpass quarantine lift 9f3c5a01d2e8b74c0011223344556677"},
		subs:     []*command{quarantineList(), quarantineLift()},
	}
}

func quarantineList() *command {
	return &command{
		name:     "list",
		summary:  "List the requests that are suspect, quarantined or lifted.",
		examples: []string{"marlpass quarantine list", "marlpass quarantine list -json"},
		setup:    setupQuery(listQuarantine, printQuarantine),
	}
}

func listQuarantine(ctx context.Context, c *adminapi.Client) (*adminapi.QuarantineList, error) {
	return c.ListQuarantine(ctx)
}

func quarantineLift() *command {
	return &command{
		name:    "lift",
		args:    "FINGERPRINT",
		summary: "Let a suspect or quarantined request run again.",
		detail: "The crashes counted so far no longer count. Any operator who may write may lift any\n" +
			"request; the notice to all nodes names who did. Lifting it again changes nothing.",
		examples: []string{"marlpass quarantine lift 9f3c5a01d2e8b74c0011223344556677"},
		setup: func(*flag.FlagSet) action {
			return func(ctx context.Context, a *app, args []string) error {
				fp, err := oneArg(args, "FINGERPRINT")
				if err != nil {
					return err
				}
				if adminapi.Fingerprint(fp).Validate() != nil {
					return usagef("FINGERPRINT %q: allowed are 32 hexadecimal digits in lower case", fp)
				}
				// Lifting is idempotent, so another server may be asked after
				// one whose answer was lost.
				return query(ctx, a, func(ctx context.Context, c *adminapi.Client) (*adminapi.Lifted, error) {
					return c.LiftQuarantine(ctx, adminapi.LiftQuarantineParams{Fingerprint: adminapi.Fingerprint(fp)})
				}, printLifted)
			}
		},
	}
}

func printQuarantine(w io.Writer, l *adminapi.QuarantineList) {
	fmt.Fprintf(w, "at %s, seen by %s\n", when(l.At), clean(l.SeenBy))
	if len(l.Requests) == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	writeQuarantined(w, l.Requests)
}

func printLifted(w io.Writer, l *adminapi.Lifted) {
	fmt.Fprintf(w, "lifted: %s by %s\n", clean(l.Fingerprint), clean(l.By))
}
