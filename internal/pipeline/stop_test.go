package pipeline

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// Guards against losing a finished response at the time limit of a stop: it waits behind a
// request that hangs at its backend server, and the connection was closed under both.
func TestReadyResponseSurvivesStopLimit(t *testing.T) {
	hangs, ready := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			close(hangs)
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		io.WriteString(w, "found")
		close(ready)
	})}
	c, r := start(t, s)
	send(t, c, "GET /report HTTP/1.1\nHost: h\n\nGET /lookup HTTP/1.1\nHost: h\n\n")
	<-hangs
	<-ready
	passed, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Shutdown(passed); err == nil {
		t.Fatal("Shutdown succeeded with a request in progress")
	}
	cancelled := make(chan error, 1)
	go func() { cancelled <- s.CancelRequests(context.Background()) }()
	for _, want := range []string{"502 ", "200 found close"} {
		if got := readResponse(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	c.Close()
	if err := <-cancelled; err != nil {
		t.Error(err)
	}
}

// Guards against an aborted response, of which nothing was sent yet, closing the connection and
// losing the finished responses behind it.
func TestAbortedResponseKeepsLaterOnes(t *testing.T) {
	first := make(chan struct{})
	c, r := start(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-first
		case "/broken":
			w.Header().Set("X-Of", "the backend server")
			io.WriteString(w, "half")
			close(first)
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, r.URL.Path)
	})})
	send(t, c, "GET /first HTTP/1.1\nHost: h\n\nGET /broken HTTP/1.1\nHost: h\n\nGET /last HTTP/1.1\nHost: h\n\n")
	for _, want := range []string{"200 /first", "502 ", "200 /last"} {
		if got := readResponse(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
