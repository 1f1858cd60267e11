package proxy

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/decisions"
)

// lockedBuffer is a log that several goroutines write to.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.String()), "\n")
}

// Guards against a refusal in the log that doesn't tell whose answer it was, so that a refusal meant for
// another call can't be told from this call's own.
func TestRefusalLineNamesTheAnswer(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
		w.Header().Set(headerRequestID, "c0")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var log lockedBuffer
	m.dest[0].Decisions = decisions.New(zerolog.New(&log), nil)
	m.useOnly(0)
	for range 5 {
		if _, _, err := m.call("POST", "/book", "slip", headerRequestID, "c1"); err != nil {
			t.Fatal(err)
		}
	}
	lines, err := decisions.Find(strings.NewReader(strings.Join(log.lines(), "\n")), "c1")
	if err != nil || len(lines) == 0 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	shared := false
	for i, l := range lines {
		if l.Status != http.StatusServiceUnavailable || l.AnswerCall != "c0" || l.ConnCalls == 0 {
			t.Errorf("line %d: status %d, answer to %q, call %d on its connection", i, l.Status, l.AnswerCall, l.ConnCalls)
		}
		shared = shared || l.ConnCalls > 1
	}
	if !shared {
		t.Errorf("none of %d calls is told to share a connection", len(lines))
	}
	var out strings.Builder
	decisions.Explain(&out, "c1", lines[:1])
	if !strings.Contains(out.String(), ` status=503 answer_call="c0" connection_calls=1`) {
		t.Error(out.String())
	}
}
