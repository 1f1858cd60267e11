package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// oneConnListener is a listener that accepts one connection.
type oneConnListener struct {
	conn net.Conn
	done chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *oneConnListener) Close() error   { close(l.done); return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a caller that sends the header of a call with a small body and then nothing. The
// call held its memory past its deadline: 512 such callers exhausted the memory for buffered
// bodies, and a planned shutdown waited for each until the drain limit.
func TestCallWithStalledBodyExpires(t *testing.T) {
	line := hop{class: "bookings", service: testService, instance: "a", left: 3 * time.Second}.String()
	for name, c := range map[string]struct {
		handler func(*mesh) http.Handler
		header  string
	}{
		"entry":       {func(m *mesh) http.Handler { return m.entry.Public() }, call.HeaderDeadline + ": 3000"},
		"destination": {func(m *mesh) http.Handler { return m.dest[0] }, call.HeaderHop + ": " + line},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) {})
			synctest.Test(t, func(t *testing.T) { silentBody(t, c.handler(m), c.header) })
			if n := m.entry.kept.used.Load() + m.dest[0].bodies.used.Load(); n != 0 {
				t.Errorf("%d bytes are still reserved", n)
			}
		})
	}
}

func silentBody(t *testing.T, h http.Handler, header string) {
	client, server := net.Pipe()
	ln := &oneConnListener{server, make(chan struct{})}
	s := &http.Server{Handler: h}
	served := make(chan struct{})
	go func() { defer close(served); _ = s.Serve(ln) }()
	defer func() { client.Close(); s.Close(); <-served }()
	start := time.Now()
	if _, err := io.WriteString(client, "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n"+header+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took != 3*time.Second {
		t.Errorf("ended after %s", took)
	}
	if why := resp.Header.Get(call.HeaderNotRun); why != string(call.ReasonExpired) {
		t.Errorf("got %d, not run: %q", resp.StatusCode, why)
	}
}
