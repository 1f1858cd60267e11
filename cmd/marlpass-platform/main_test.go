package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"marlpass-platform": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitfile":  waitFile,
			"http":      httpCall,
			"terminate": terminate,
		},
	})
}

// waitFile waits until a file is there: waitfile FILE.
func waitFile(ts *testscript.TestScript, _ bool, args []string) {
	for range 6000 {
		if _, err := os.Stat(ts.MkAbs(args[0])); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("%s did not appear", args[0])
}

// httpCall calls the program whose address is in FILE and prints the status
// and the body: http FILE METHOD PATH [BODY]. With ! it wants no answer.
func httpCall(ts *testscript.TestScript, neg bool, args []string) {
	var body io.Reader
	if len(args) > 3 {
		body = strings.NewReader(args[3])
	}
	url := "http://" + strings.TrimSpace(ts.ReadFile(args[0])) + args[2]
	req, err := http.NewRequest(args[1], url, body)
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	if strings.HasPrefix(args[2], "/v1/object?") {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	resp, err := http.DefaultClient.Do(req)
	if neg {
		if err == nil {
			ts.Fatalf("got an answer: %s", resp.Status)
		}
		return
	}
	ts.Check(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, err = ts.Stdout().Write([]byte(resp.Status + "\n" + string(data) + "\n"))
	ts.Check(err)
}

// terminate sends SIGTERM to all programs in the background.
func terminate(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range ts.BackgroundCmds() {
		ts.Check(c.Process.Signal(syscall.SIGTERM))
	}
}
