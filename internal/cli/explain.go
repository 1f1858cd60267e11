package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/marlpass/marlpass/internal/decisions"
)

func explainCommand() *command {
	return &command{
		name:    "explain",
		args:    "[-overview] [CALL] FILE...",
		summary: "Join what several nodes logged of one call into a time line, or count what decided many.",
		detail: "CALL is the id that the caller sent. The files are logs of nodes; lines of other\n" +
			"calls are passed over. With -overview no CALL is given: the lines of all calls are\n" +
			"counted by what decided them. No server is asked.",
		examples: []string{
			"marlpass explain 4611bc0cff906d90 neg-yard-2.log neg-shed-1.log",
			"marlpass explain -overview neg-yard-2.log neg-shed-1.log",
		},
		setup: func(f *flag.FlagSet) action {
			overview := f.Bool("overview", false, "count the lines of all calls by what decided them")
			return func(_ context.Context, a *app, args []string) error {
				if *overview {
					return explainMany(a, args)
				}
				return explain(a, args)
			}
		},
	}
}

// overviewRows is how many rows an overview has: a screen.
const overviewRows = 40

func explainMany(a *app, files []string) error {
	if len(files) == 0 {
		return usagef("at least one FILE is needed; see marlpass explain -h")
	}
	var o decisions.Overview
	for _, name := range files {
		if err := readLog(name, o.Read); err != nil {
			return usagef("%s: %v", name, err)
		}
	}
	return o.Print(a.env.Stdout, overviewRows)
}

func explain(a *app, args []string) error {
	if len(args) < 2 {
		return usagef("CALL and at least one FILE are needed; see marlpass explain -h")
	}
	id := args[0]
	var lines []decisions.Line
	for _, name := range args[1:] {
		err := readLog(name, func(r io.Reader) error {
			found, err := decisions.Find(r, id)
			lines = append(lines, found...)
			return err
		})
		if err != nil {
			return usagef("%s: %v", name, err)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no file has a line about the call %s: it was answered as it should be, "+
			"its line was left out (see left_out in the summaries), or its nodes' logs are not among the files", id)
	}
	decisions.Explain(a.env.Stdout, id, lines)
	return nil
}

func readLog(name string, read func(io.Reader) error) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return read(f)
}
