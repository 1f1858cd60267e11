package pipeline

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// A client sends a report and a lookup ahead of each other's answers to a node that
// is being stopped. The report hangs at its backend server, and the lookup's answer is
// ready and waits behind it. At the limit of the stop the connection was closed, and
// the client lost the answer that had been made.
func TestReadyAnswerSurvivesTheLimitOfAStop(t *testing.T) {
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
		t.Fatal("the stop took the report for answered")
	}
	gaveUp := make(chan error, 1)
	go func() { gaveUp <- s.CancelRequests(context.Background()) }()
	for _, want := range []string{"502 ", "200 found close"} {
		if got := answer(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	c.Close()
	if err := <-gaveUp; err != nil {
		t.Error(err)
	}
}

// A backend server breaks its answer off before any of it went to the client, since
// it waited its turn. The answers behind it, which were ready, were lost with the
// connection.
func TestBrokenAnswerTakesNoOtherWithIt(t *testing.T) {
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
		if got := answer(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
