package main

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"marlpass-node": main})
}

func TestScripts(t *testing.T) {
	ca := trusttest.NewCA(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"certificate": func(ts *testscript.TestScript, _ bool, args []string) { certificate(ts, ca, args) },
		},
	})
}

// certificate writes a certificate for a VM into DIR: certificate DIR MESH VM
// good|expired.
func certificate(ts *testscript.TestScript, ca *trusttest.CA, args []string) {
	leaf := trusttest.Leaf{ID: trust.Identity{Mesh: args[1], VM: args[2]}}
	if args[3] == "expired" {
		leaf.NotBefore = time.Now().Add(-2 * time.Hour)
		leaf.NotAfter = time.Now().Add(-time.Hour)
	}
	dir := ts.MkAbs(args[0])
	ts.Check(os.MkdirAll(dir, 0o700))
	ca.Write(dir, leaf)
}
