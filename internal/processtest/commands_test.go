package processtest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/marlpass/marlpass/internal/backend"
)

const (
	// patience bounds a wait, so that a test that hangs ends; no verdict depends
	// on it.
	patience = 30 * time.Second
	// askEvery is the time between two questions of a wait.
	askEvery = 50 * time.Millisecond
)

// await asks until the answer is yes.
func await(ts *testscript.TestScript, what string, ask func() bool) {
	for deadline := time.Now().Add(patience); !ask(); time.Sleep(askEvery) {
		if time.Now().After(deadline) {
			ts.Fatalf("waited in vain: %s", what)
		}
	}
}

// wantCode runs a program and compares its exit code: code N PROGRAM ARGS...
func wantCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if !slices.Contains(strings.Split(args[0], "|"), got) {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

// until runs a program until what it prints matches, or with ! until it does not:
// until PATTERN PROGRAM ARGS...
func until(ts *testscript.TestScript, neg bool, args []string) {
	want := regexp.MustCompile("(?m)" + args[0])
	var out []byte
	deadline := time.Now().Add(patience)
	for {
		cmd := exec.Command(args[1], args[2:]...)
		cmd.Dir, cmd.Env = ts.MkAbs("."), environ(ts)
		var err error
		out, err = cmd.CombinedOutput()
		var ended *exec.ExitError
		if err != nil && !errors.As(err, &ended) {
			ts.Fatalf("%v", err)
		}
		if want.Match(out) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("waited in vain for %q; the last answer was\n%s", args[0], out)
		}
		time.Sleep(askEvery)
	}
}

func environ(ts *testscript.TestScript) []string {
	return []string{"HOME=" + ts.Getenv("HOME"), "PATH=" + ts.Getenv("PATH"), "GORACE=" + ts.Getenv("GORACE")}
}

// ready waits until nodes are ready, or with ! until they are not: ready VM...
func ready(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		await(ts, "ready "+name, func() bool {
			resp, err := http.Get("http://" + ts.Getenv(name+"_metrics") + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return (resp.StatusCode == http.StatusOK) != neg
		})
	}
}

// terminate sends SIGTERM to programs whose arguments name a word:
// terminate WORD...
func terminate(ts *testscript.TestScript, _ bool, args []string) { signal(ts, syscall.SIGTERM, args) }

// hangUp sends SIGHUP to programs whose arguments name a word: hangup WORD...
func hangUp(ts *testscript.TestScript, _ bool, args []string) { signal(ts, syscall.SIGHUP, args) }

func signal(ts *testscript.TestScript, s syscall.Signal, words []string) {
	for _, word := range words {
		found := false
		for _, c := range ts.BackgroundCmds() {
			if strings.Contains(strings.Join(c.Args, " "), word) && c.ProcessState == nil {
				found = true
				ts.Check(c.Process.Signal(s))
			}
		}
		if !found {
			ts.Fatalf("no running program has the argument %q", word)
		}
	}
}

// metric waits until a node's metrics match: metric VM PATTERN
func metric(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile("(?m)" + args[1])
	await(ts, args[1], func() bool {
		resp, err := http.Get("http://" + ts.Getenv(args[0]+"_metrics") + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		page, err := io.ReadAll(resp.Body)
		return err == nil && want.Match(page)
	})
}

// crash sends a call that crashes the backend server which runs it: crash PATH VM
func crash(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv(args[1]+"_callers")+args[0], nil)
	ts.Check(err)
	req.Header.Set(backend.HeaderCrash, "1")
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		ts.Fatalf("the backend server did not crash")
	}
}

// callWhole calls through each named node and wants the whole answer to that very
// call, or with ! a refusal that is marked as not run: call PATH VM...
func callWhole(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args[1:] {
		id := name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
		resp, err := get(context.Background(), ts, name, args[0], id)
		ts.Check(err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		ts.Check(err)
		if neg {
			if resp.Header.Get("Marlpass-Not-Run") == "" {
				ts.Fatalf("through %s: %s without Marlpass-Not-Run", name, resp.Status)
			}
			continue
		}
		if resp.StatusCode != http.StatusOK {
			ts.Fatalf("through %s: %s %s", name, resp.Status, body)
		}
		if err := backend.CheckAnswer(id, bytes.NewReader(body)); err != nil {
			ts.Fatalf("through %s: %v", name, err)
		}
	}
}

// routed waits until each named node has an endpoint for the path: routed PATH VM...
func routed(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		await(ts, args[0]+" through "+name, func() bool {
			resp, err := get(context.Background(), ts, name, args[0], "routed")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// refused waits until the node refuses calls for a reason: refused REASON PATH VM
func refused(ts *testscript.TestScript, _ bool, args []string) {
	await(ts, "refused "+args[0], func() bool {
		resp, err := get(context.Background(), ts, args[2], args[1], "refused")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.Header.Get("Marlpass-Not-Run") == args[0]
	})
}

func get(ctx context.Context, ts *testscript.TestScript, name, path, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ts.Getenv(name+"_callers")+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(backend.HeaderRequest, id)
	return http.DefaultClient.Do(req)
}

const downloadID = "download"

type downloadKey struct{}

// download begins one, of which only the head is read, or reads the rest and wants
// it whole: download begin PATH VM, download end. The bytes asked for must be more
// than what all buffers on the way hold, so that it runs until its end is read.
func download(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "end" {
		resp := ts.Value(downloadKey{}).(*http.Response)
		if err := backend.CheckAnswer(downloadID, resp.Body); err != nil {
			ts.Fatalf("the download: %v", err)
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	resp, err := get(ctx, ts, args[2], args[1], downloadID)
	ts.Check(err)
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("the download: %s", resp.Status)
	}
	ts.Defer(func() { resp.Body.Close() })
	*ts.Value(downloadKey{}).(*http.Response) = *resp
}

// keep puts what a pattern's first group matched in the last output into a
// variable: keep NAME PATTERN
func keep(ts *testscript.TestScript, _ bool, args []string) {
	for _, stream := range []string{"stdout", "stderr"} {
		if m := regexp.MustCompile("(?m)" + args[1]).FindStringSubmatch(ts.ReadFile(stream)); m != nil {
			ts.Setenv(args[0], m[1])
			return
		}
	}
	ts.Fatalf("the last output does not match %q", args[1])
}
