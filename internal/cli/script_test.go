package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/admin/admintest"
	"github.com/marlpass/marlpass/internal/problem"
)

// clock is the time of the fake behind the servers, and of the command line.
var clock = time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"marlpass": func() {
			os.Exit(Main(context.Background(), Env{
				Args: os.Args[1:], Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
				Now: func() time.Time { return clock },
			}))
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			// The race detector sleeps a second at the end of each process.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			env.Values[meshKey{}] = &mesh{fake: admintest.New(func() time.Time { return clock })}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"server":  startServer,
			"mode":    setMode,
			"trouble": setTrouble,
			"code":    wantCode,
		},
	})
}

type meshKey struct{}

// mesh is the fake that all servers of one script share.
type mesh struct{ fake *admintest.Fake }

// startServer NAME KIND starts a server and puts its URL into the variable NAME.
func startServer(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: server NAME KIND")
	}
	h := handlerOf(ts)
	switch args[1] {
	case "good":
	case "down": // nothing listens there
		ts.Setenv(args[0], "http://"+closedAddress(ts))
		return
	case "cuts-after": // takes the write, then the connection breaks
		h = cutsOnce(h, true)
	case "cuts-before": // the connection breaks before the write is taken
		h = cutsOnce(h, false)
	case "repeats": // takes only writes that say that they were sent before
		h = onlyRepeats(h)
	case "faults": // a fault of the node itself
		h = http.HandlerFunc(fault)
	case "hangs": // takes the write and never answers
		h = http.HandlerFunc(hang)
	case "tls":
		s := httptest.NewTLSServer(h)
		ts.Defer(s.Close)
		ts.Setenv(args[0], s.URL)
		ca := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
		ts.Check(os.WriteFile(ts.MkAbs("ca.pem"), ca, 0o600))
		return
	case "fails": // an answer that the API does not have
		h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	default:
		ts.Fatalf("unknown kind of server %q", args[1])
	}
	s := httptest.NewServer(h)
	ts.Defer(s.Close)
	ts.Setenv(args[0], s.URL)
}

func handlerOf(ts *testscript.TestScript) http.Handler {
	m := ts.Value(meshKey{}).(*mesh)
	hash := func(token string) string {
		h := sha256.Sum256([]byte(token))
		return hex.EncodeToString(h[:])
	}
	o, err := admin.NewOperators([]admin.OperatorSetting{
		{Name: "nimal", Team: "berth", TokenSHA256: hash("berth-token")},
		{Name: "kumari", Team: "records", TokenSHA256: hash("records-token")},
		{Name: "screen", Team: "berth", TokenSHA256: hash("read-token"), ReadOnly: true},
	})
	ts.Check(err)
	h, err := admin.NewServer(admin.Options{
		Commander: m.fake, Reader: m.fake, Lifter: m.fake, Operators: o,
		Now: func() time.Time { return clock }, Log: zerolog.Nop(),
	}).Handler()
	ts.Check(err)
	return h
}

// cutsOnce breaks the connection of the first write.
func cutsOnce(h http.Handler, runs bool) http.Handler {
	var once sync.Once
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			once.Do(func() {
				if runs {
					h.ServeHTTP(httptest.NewRecorder(), r)
				}
				panic(http.ErrAbortHandler)
			})
		}
		h.ServeHTTP(w, r)
	})
}

func onlyRepeats(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Header.Get("Marlpass-Repeat") != "true" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func fault(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, `{"type":"`+admin.TypeInternal+`","title":"Internal Server Error","status":500}`)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	// Only once the body is read does the server notice that the client left.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func closedAddress(ts *testscript.TestScript) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	defer l.Close()
	return l.Addr().String()
}

func setMode(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value(meshKey{}).(*mesh).fake.SetMode(admintest.Mode(args[0]))
}

// setTrouble makes the handover tell of one of each thing that can be wrong.
func setTrouble(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Value(meshKey{}).(*mesh).fake.SetTrouble()
}

// wantCode N ARGS... runs the command line and compares the exit code.
func wantCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("marlpass", args[1:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}
