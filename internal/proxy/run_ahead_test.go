package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/pipeline"
)

// changingProgram is a program that a test replaces.
type changingProgram struct{ p atomic.Pointer[Program] }

func (c *changingProgram) Program() *Program { return c.p.Load() }

// Guards against a call that runs twice because it was read ahead by a version in which it may be
// repeated, and ran by one in which it must run once: its caller sends it again when an answer before
// it breaks off.
func TestCallReadAheadByAnEarlierVersionWaitsItsTurn(t *testing.T) {
	started, release := make(chan string, 2), make(chan struct{})
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/first" {
			<-release
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "cut short")
		}
	})
	idempotent, once := singleClass{lookups()}.Program(), singleClass{bookings()}.Program()
	programs := new(changingProgram)
	programs.p.Store(once)
	m.entry.Programs = programs
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &pipeline.Server{
		Handler: m.entry.Public(), Log: zerolog.Nop(),
		Limits: func() pipeline.Limits { return pipeline.Limits{HeaderBytes: 16 << 10} },
		CanPipeline: func(r *http.Request) bool {
			programs.p.Store(idempotent)
			defer programs.p.Store(once)
			return m.entry.MayRunAhead(r)
		},
	}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	line := " HTTP/1.1\r\nHost: h\r\n\r\n"
	io.WriteString(c, strings.Join([]string{"GET /first", "POST /second", ""}, line))
	if path := <-started; path != "/first" {
		t.Fatalf("%s started first", path)
	}
	select {
	case path := <-started:
		t.Errorf("%s started before the answer to the call before it was complete", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	_, _ = io.ReadAll(c) // ends with the first answer, which is cut short
	if n := m.runs.Load(); n != 1 {
		t.Errorf("%d calls ran, the second one must not", n)
	}
}
