package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// A planned shutdown must let a running download finish, while new calls go to another endpoint.
func TestDrainCompletesRunningCalls(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			return
		}
		io.WriteString(w, "first half,")
		w.(http.Flusher).Flush()
		close(begun)
		<-finish
		io.WriteString(w, "second half")
	})
	m.useOnly(0)
	got := make(chan string)
	go func() {
		_, body, _ := m.call("GET", "/long", "")
		got <- body
	}()
	<-begun
	m.useAll()
	m.dest[0].Drain()
	stopped := make(chan error)
	go func() { stopped <- m.nodes[0].Config.Shutdown(context.Background()) }()
	for range 4 {
		resp, _, err := m.call("POST", "/book", "x")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("a call during the drain: %v %v", resp, err)
		}
	}
	if n := m.dest[0].InFlight(); n != 1 {
		t.Fatalf("%d calls in flight", n)
	}
	close(finish)
	if body := <-got; body != "first half,second half" {
		t.Fatalf("got %q", body)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
