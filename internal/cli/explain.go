package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/marlpass/marlpass/internal/decisions"
)

func explainCommand() *command {
	return &command{
		name:    "explain",
		args:    "CALL FILE...",
		summary: "Join what several nodes logged of one call into a time line.",
		detail: "CALL is the id that the caller sent. The files are logs of nodes; lines of other\n" +
			"calls are passed over. No server is asked.",
		examples: []string{"marlpass explain 4611bc0cff906d90 neg-yard-2.log neg-shed-1.log"},
		setup: func(*flag.FlagSet) func(context.Context, *app, []string) error {
			return func(_ context.Context, a *app, args []string) error { return explain(a, args) }
		},
	}
}

func explain(a *app, args []string) error {
	if len(args) < 2 {
		return usagef("CALL and at least one FILE are needed; see marlpass explain -h")
	}
	id := args[0]
	var lines []decisions.Line
	for _, name := range args[1:] {
		found, err := linesOf(name, id)
		if err != nil {
			return usagef("%s: %v", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no file has a line about the call %s: it was answered as it should be, "+
			"its line was left out (see left_out in the summaries), or its nodes' logs are not among the files", id)
	}
	decisions.Explain(a.env.Stdout, id, lines)
	return nil
}

func linesOf(name, id string) (lines []decisions.Line, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return decisions.Find(f, id)
}
