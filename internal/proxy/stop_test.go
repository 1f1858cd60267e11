package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// stop stops node i gracefully, in the way internal/node closes its sockets.
func (m *mesh) stop(i int) error {
	if err := m.calls[i].Wait(context.Background()); err != nil {
		return err
	}
	return m.nodes[i].Config.Shutdown(context.Background())
}

// Guards the graceful stop of a VM during a long download: the download completes, and all calls that
// arrive until the sockets close are answered.
func TestStopDropsNoCalls(t *testing.T) {
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
	m.calls[0].StartDraining()
	m.dest[0].Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- m.stop(0) }()
	book := func() {
		t.Helper()
		resp, _, err := m.call("POST", "/book", "x")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a call during the drain: %v %v", resp, err)
		}
	}
	for range 4 {
		book()
	}
	if n := m.dest[0].InFlight(); n != 1 {
		t.Errorf("%d calls in flight", n)
	}
	close(finish)
	if body := <-got; body != "first half,second half" {
		t.Errorf("got %q", body)
	}
	for range 20 { // the other nodes don't know yet that the node is leaving
		book()
	}
	m.useOnly(1)
	for end := time.After(10 * time.Second); ; {
		select {
		case err := <-stopped:
			if err != nil {
				t.Error(err)
			}
			return
		case <-end:
			t.Fatal("the node doesn't stop")
		default:
			book()
		}
	}
}
