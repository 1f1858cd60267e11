package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/quarantine"
)

// boundedClass is a single class with a limit on request bodies.
type boundedClass struct {
	singleClass
	maxBody int64
}

func (b boundedClass) Program() *Program {
	p := b.singleClass.Program()
	p.MaxBody = b.maxBody
	return p
}

// A body over the limit is refused before a backend server is called if its length is announced. A
// chunked one is detected too late for that: it must neither be forwarded whole nor count as a
// request that crashes backend servers.
func TestBodyOverSizeLimit(t *testing.T) {
	whole := make(chan bool, 4)
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole <- err == nil
	})
	m.entry.Programs = boundedClass{singleClass{bookings()}, 100 << 10}
	m.entry.Suspects = noCrashSuspects{t: t}
	survey := strings.Repeat("x", 200<<10)

	resp, body, err := m.call("POST", "/", survey)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || m.runs.Load() != 0 {
		t.Fatalf("%v %v %s, %d runs", err, resp, body, m.runs.Load())
	}
	if resp, body, err = m.chunked(survey); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	if m.runs.Load() > 0 && <-whole {
		t.Error("the backend server received a truncated body as complete")
	}
	if resp, body, err = m.chunked(survey[:90<<10]); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %v %s", err, resp, body)
	}
}

// chunked makes a call without announced length.
func (m *mesh) chunked(body string) (*http.Response, string, error) {
	m.t.Helper()
	r, err := http.NewRequest(http.MethodPost, m.public.URL, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		m.t.Fatal(err)
	}
	return m.do(r)
}

// noCrashSuspects fails its test if a request is suspected of a crash.
type noCrashSuspects struct {
	suspectAll
	t *testing.T
}

func (noCrashSuspects) Isolated(time.Time, quarantine.Fingerprint) bool { return false }

func (i noCrashSuspects) Broke(_ time.Time, _ quarantine.Fingerprint, endpoint string) {
	i.t.Errorf("a crash at %s is suspected", endpoint)
}
