package cli

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"os"
	"strings"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

func workspaceList() *command {
	return &command{
		name:     "list",
		summary:  "List the workspaces in force.",
		detail:   "With -json, the SHA-256 of each key is listed as well. Nodes never hold the keys.",
		examples: []string{"marlpass workspace list", "marlpass workspace list -json"},
		setup:    setupQuery(listWorkspaces, printWorkspaces),
	}
}

func listWorkspaces(ctx context.Context, c *adminapi.Client) (*adminapi.WorkspaceList, error) {
	res, err := c.ListWorkspaces(ctx)
	if err != nil {
		return nil, err
	}
	return &res.Response, nil
}

// workspaceInput is a workspace as flags give it.
type workspaceInput struct {
	keyFile  string
	digests  []adminapi.KeyDigest
	priority int
	rate     float64
	burst    float64
}

func workspaceSet() *command {
	return &command{
		name:    "set",
		args:    "NAME",
		summary: "State the whole workspace: create it, or put it in the place of the old one.",
		detail: "With the first workspace, all calls need a key but those of keyless targets.\n" +
			"The file of -key-file holds a key on each line. Keys stay here: only their SHA-256 is sent.",
		examples: []string{
			"marlpass workspace set yard -key-file yard.keys -rate 200 -burst 50",
			"marlpass workspace set yard -key-file yard.keys -priority 8 -note 'the old key is lost'",
		},
		setup: setupWorkspaceSet,
	}
}

func setupWorkspaceSet(fs *flag.FlagSet) action {
	in := new(workspaceInput)
	fs.StringVar(&in.keyFile, "key-file", "", "`file` with the workspace's API keys, one on each line")
	fs.Func("key-sha256", "`SHA-256` of one more key, in hexadecimal", func(s string) error {
		in.digests = append(in.digests, adminapi.KeyDigest(strings.ToLower(s)))
		return in.digests[len(in.digests)-1].Validate()
	})
	fs.IntVar(&in.priority, "priority", 0, "1, first to give way under overload, to 9 (default: that of the calls' targets)")
	fs.Float64Var(&in.rate, "rate", 0, "bound on `calls` per second over the whole mesh (default: no bound)")
	fs.Float64Var(&in.burst, "burst", 0, "`calls` at once beyond the rate")
	w := defineWrite(fs)
	return func(ctx context.Context, a *app, args []string) error {
		spec, err := in.spec(givenFlags(fs))
		if err != nil {
			return err
		}
		return a.change(ctx, w, args, func(name adminapi.Name) send { return putWorkspace(spec, name) })
	}
}

// spec returns the workspace as the API takes it. Like those of a target, zeros that are written
// out are refused: the API takes 0 for "left out".
func (in *workspaceInput) spec(given map[string]bool) (*adminapi.WorkspaceSpec, error) {
	switch {
	case given["rate"] && in.rate == 0:
		return nil, usagef(`-rate "0": allowed is more than 0; leave it out for no bound`)
	case given["priority"] && in.priority == 0:
		return nil, usagef(`-priority "0": allowed are 1 to 9; leave it out for that of the targets`)
	}
	digests := in.digests
	if in.keyFile != "" {
		read, err := readKeys(in.keyFile)
		if err != nil {
			return nil, err
		}
		digests = append(digests, read...)
	}
	return &adminapi.WorkspaceSpec{
		KeysSHA256:    digests,
		Priority:      adminapi.OptInt{Value: in.priority, Set: in.priority != 0},
		RatePerSecond: adminapi.OptFloat64{Value: in.rate, Set: in.rate != 0},
		Burst:         adminapi.OptFloat64{Value: in.burst, Set: in.burst != 0},
	}, nil
}

// readKeys returns the digests of a file's keys. Blank lines are passed over. No error names a
// key.
func readKeys(name string) ([]adminapi.KeyDigest, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &exitError{exit.Usage, err.Error()}
	}
	defer f.Close()
	var digests []adminapi.KeyDigest
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key := strings.TrimSpace(lines.Text())
		if key == "" {
			continue
		}
		digest := sha256.Sum256([]byte(key))
		digests = append(digests, adminapi.KeyDigest(hex.EncodeToString(digest[:])))
	}
	if err := lines.Err(); err != nil {
		return nil, &exitError{exit.Usage, name + ": " + err.Error()}
	}
	if len(digests) == 0 {
		return nil, usagef("-key-file %q holds no key", name)
	}
	return digests, nil
}

func putWorkspace(spec *adminapi.WorkspaceSpec, name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.PutWorkspace(ctx, spec, adminapi.PutWorkspaceParams(h.params(name))))
	}
}

func workspaceWithdraw() *command {
	return &command{
		name:     "withdraw",
		args:     "NAME",
		summary:  "Withdraw a workspace: its keys are refused from then on.",
		detail:   "With the last workspace, calls need no key any more.",
		examples: []string{"marlpass workspace withdraw yard -note 'the contract ended'"},
		setup:    setupWrite(withdrawWorkspace),
	}
}

func withdrawWorkspace(name adminapi.Name) send {
	return func(ctx context.Context, c *adminapi.Client, h headers) (*adminapi.Accepted, error) {
		return acceptedAnswer(c.WithdrawWorkspace(ctx, adminapi.WithdrawWorkspaceParams(h.params(name))))
	}
}
