package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/quarantine"
)

// bounded is one class whose callers may send only so much.
type boundedClass struct {
	singleClass
	maxBody int64
}

func (b boundedClass) Program() *Program {
	p := b.singleClass.Program()
	p.MaxBody = b.maxBody
	return p
}

// A caller sends a survey of 200 KB where operators allow 100 KB. The one that
// announces its length is told so before a backend server is asked. The other, sent
// in chunks, is known too late: it must neither be passed on whole nor be taken for
// a request that crashes backend servers.
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
		t.Error("the backend server took the cut body for a whole one")
	}
	if resp, body, err = m.chunked(survey[:90<<10]); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %v %s", err, resp, body)
	}
}

// chunked makes a call whose length is not announced.
func (m *mesh) chunked(body string) (*http.Response, string, error) {
	m.t.Helper()
	r, err := http.NewRequest(http.MethodPost, m.public.URL, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		m.t.Fatal(err)
	}
	return m.do(r)
}

// innocents fails its test when a request is taken for one that crashes.
type noCrashSuspects struct {
	suspectAll
	t *testing.T
}

func (noCrashSuspects) Isolated(time.Time, quarantine.Fingerprint) bool { return false }

func (i noCrashSuspects) Broke(_ time.Time, _ quarantine.Fingerprint, endpoint string) {
	i.t.Errorf("a crash at %s is suspected", endpoint)
}
