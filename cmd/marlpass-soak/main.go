// Command marlpass-soak runs real nodes under random faults and checks the promises.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/program"
	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/platform/soak"
)

const usage = `marlpass-soak runs marlpass-node as several processes on loopback, injects the
faults of a seed from outside, and checks from what callers and backend servers see
that the promises hold.

Usage:
  marlpass-soak -node FILE [-seed N] [-seeds N] [-for DURATION] [-vms N] [-dir DIR]
                [-defect NAME]

Examples:
  marlpass-soak -node bin/marlpass-node -seed 17
  marlpass-soak -node bin/marlpass-node -seed 100 -seeds 50 -for 20s
  go build -tags defects -o bin/defective-node ./cmd/marlpass-node
  marlpass-soak -node bin/defective-node -defect resend-unknown -seeds 5

Exit codes: 0 all promises held, 1 one did not, 2 bad flags.

Flags:
`

var errFlags = errors.New("-node is missing, a number is not positive, or there is no such defect; see -h")

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	line := program.NewLine("marlpass-soak", usage, stdout, stderr)
	binary := line.String("node", "", "`FILE` of marlpass-node")
	seed := line.Uint64("seed", 1, "first seed")
	seeds := line.Int("seeds", 1, "how many seeds, one after the other")
	length := line.Duration("for", 20*time.Second, "how long faults come, a seed")
	vms := line.Int("vms", 6, "nodes")
	flaw := line.String("defect", "", "guard to take out of nodes built with the tag defects: `NAME` of "+names())
	dir := line.String("dir", "", "`DIR` for settings and logs; a temporary one if empty")
	if code, ok := line.Read(args); !ok {
		return code
	}
	if *binary == "" || *seeds < 1 || *vms < 1 || *length <= 0 || !known(*flaw) {
		return line.Bad(errFlags)
	}
	if *dir == "" {
		var err error
		if *dir, err = os.MkdirTemp("", "marlpass-soak"); err != nil {
			return line.Failed(err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exit.OK
	for n := range uint64(*seeds) {
		logs, err := soak.Logs(*dir, *seed+n)
		if err != nil {
			return line.Failed(err)
		}
		r, err := soak.Run(ctx, soak.Options{
			Seed: *seed + n, Length: *length, VMs: *vms, Binary: *binary, Dir: logs, Log: stderr, Recovery: true,
			Defect: defect.Name(*flaw),
		})
		if err != nil {
			return line.Failed(err)
		}
		r.Report(stdout)
		if len(r.Violations) > 0 {
			fmt.Fprintln(stdout, "  logs:", logs)
			code = exit.Failed
		}
	}
	return code
}

// names returns the names of all defects.
func names() string {
	var out []string
	for _, n := range defect.All {
		out = append(out, string(n))
	}
	return strings.Join(out, ", ")
}

func known(flaw string) bool {
	return flaw == "" || slices.Contains(defect.All, defect.Name(flaw))
}
