package main

import (
	"bytes"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"marlpass-backend": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true})
}

// stopper sends SIGTERM to the process when the server is ready.
type stopper struct {
	mu  sync.Mutex
	log bytes.Buffer
}

func (s *stopper) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Write(p)
	if strings.Contains(string(p), "backend: ready") {
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	}
	return len(p), nil
}

// A planned stop: the server drains, says so, and ends with code 0.
func TestTerminates(t *testing.T) {
	set := backend.Defaults()
	set.ColdStart.Duration, set.DrainWait.Duration = 0, 0
	s := new(stopper)
	if code := serve(set, zerolog.New(s)); code != exit.OK {
		t.Fatalf("exit code %d\n%s", code, s.log.String())
	}
	for _, want := range []string{"backend: draining", "backend: ended"} {
		if !strings.Contains(s.log.String(), want) {
			t.Errorf("the log lacks %q", want)
		}
	}
}
