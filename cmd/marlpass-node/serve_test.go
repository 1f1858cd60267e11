package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience bounds a wait, so that a test that hangs ends; no verdict depends on
// it.
const patience = time.Minute

// line is one line of the log.
type line struct {
	Message                 string
	Error                   string
	Key                     string
	Callers, Admin, Metrics string
}

// running is the program as a process.
type running struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan line
	start line
}

// start starts the program with a settings file and waits until it serves.
func start(t *testing.T, file string) *running {
	t.Helper()
	r := &running{t: t, cmd: exec.Command("marlpass-node", "-config", file), lines: make(chan line, 1000)}
	stdout, err := r.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.cmd.Process.Kill(); _ = r.cmd.Wait() })
	go func() {
		defer close(r.lines)
		for s := bufio.NewScanner(stdout); s.Scan(); {
			var l line
			if json.Unmarshal(s.Bytes(), &l) == nil {
				r.lines <- l
			}
		}
	}()
	r.start = r.await("node: started")
	return r
}

// await returns the next line whose message begins with begin.
func (r *running) await(begin string) line {
	r.t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case l, more := <-r.lines:
			if !more {
				r.t.Fatalf("ended without %q", begin)
			}
			if strings.HasPrefix(l.Message, begin) {
				return l
			}
		case <-deadline:
			r.t.Fatalf("no line %q", begin)
		}
	}
}

func (r *running) signal(s os.Signal) {
	r.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// code waits for the end and returns the exit code.
func (r *running) code() int {
	for range r.lines {
	}
	_ = r.cmd.Wait()
	return r.cmd.ProcessState.ExitCode()
}

// write writes a settings file whose platform nobody serves.
func write(t *testing.T, file, token, more string) {
	t.Helper()
	sum := sha256.Sum256([]byte(token))
	text := fmt.Sprintf(`
mesh = "trust"
%s
[vm]
id = "neg-01"
region = "western"
data_centre = "neg"
[listen]
callers = "127.0.0.1:0"
internal = "127.0.0.1:0"
calls = "127.0.0.1:0"
control = "127.0.0.1:0"
admin = "127.0.0.1:0"
announce = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:9"
timeout = "100ms"
[[operator]]
name = "first"
team = "yard"
token_sha256 = %q
`, more, hex.EncodeToString(sum[:]))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, url, token string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// The platform is down while a VM is replaced, and the new node knows no peer.
// It must come up, say that it isn't ready, turn calls away as not run with a
// time to come back (and not as calls without a route), and end well when asked.
func TestStartsWithoutThePlatformAndEnds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	write(t, file, "token", "")
	r := start(t, file)
	if resp := get(t, "http://"+r.start.Metrics+"/healthz", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("health: %s", resp.Status)
	}
	if resp := get(t, "http://"+r.start.Metrics+"/readyz", ""); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness: %s", resp.Status)
	}
	resp := get(t, "http://"+r.start.Callers+"/berths/7", "")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Marlpass-Not-Run") != "not-ready" ||
		resp.Header.Get("Retry-After") == "" {
		t.Errorf("a call: %s %v", resp.Status, resp.Header)
	}
	r.signal(syscall.SIGTERM)
	if code := r.code(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// An operator who lost patience with a planned stop sends a second signal.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	write(t, file, "token", "")
	r := start(t, file)
	r.signal(syscall.SIGTERM)
	r.await("node: leaving the mesh")
	r.signal(syscall.SIGTERM)
	r.await("node: ended at once by a second signal")
	if code := r.code(); code != 1 {
		t.Errorf("exit code %d", code)
	}
}

// An operator's token leaks and is replaced. It must stop working without a
// restart of 1,200 nodes; a file with a mistake must change nothing, and what
// takes a restart is named.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	write(t, file, "old", "")
	r := start(t, file)
	admin := "http://" + r.start.Admin + "/v1/status"
	want := func(when, token string, status int) {
		t.Helper()
		if resp := get(t, admin, token); resp.StatusCode != status {
			t.Errorf("%s: the token %q got %s", when, token, resp.Status)
		}
	}
	want("at first", "old", http.StatusOK)
	write(t, file, "new", `profile = "bytes"`)
	r.signal(syscall.SIGHUP)
	if l := r.await("settings: differs"); l.Key != "profile" {
		t.Errorf("named %q", l.Key)
	}
	r.await("settings: read again")
	want("after the change", "old", http.StatusUnauthorized)
	want("after the change", "new", http.StatusOK)
	write(t, file, "old", `profile = "fast"`)
	r.signal(syscall.SIGHUP)
	if l := r.await("settings: refuse the file"); !strings.Contains(l.Error, "key profile") {
		t.Errorf("said %q", l.Error)
	}
	want("after the mistake", "old", http.StatusUnauthorized)
	want("after the mistake", "new", http.StatusOK)
}
