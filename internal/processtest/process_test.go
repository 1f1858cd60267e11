// Package processtest drives the programs as an operator does: each as a process
// of its own, over loopback, with mutual TLS.
package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var buildFlags []string

// programs are built into the PATH of the scripts. They are main packages, which
// the test binary cannot hold.
var programs = []string{"marlpass", "marlpass-node", "marlpass-platform", "marlpass-backend"}

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := os.Setenv("PATH", dir+string(filepath.ListSeparator)+os.Getenv("PATH")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func build(dir string) error {
	args := slices.Concat([]string{"build", "-o", dir + "/"}, buildFlags)
	for _, p := range programs {
		args = append(args, "github.com/marlpass/marlpass/cmd/"+p)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               func(env *testscript.Env) error { return newSite(t, env) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":      wantCode,
			"until":     until,
			"ready":     ready,
			"terminate": terminate,
			"refused":   refused,
			"routed":    routed,
			"hangup":    hangUp,
			"metric":    metric,
			"crash":     crash,
			"renew":     renew,
			"call":      callWhole,
			"download":  download,
			"keep":      keep,
		},
	})
}
