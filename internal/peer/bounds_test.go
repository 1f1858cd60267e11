package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/peer"
)

// Guards against a response over the bound that the server encodes although the client rejects it by
// its Content-Length. Encoding 16 MB took 120 to 370 ms on a busy machine, so the exchange timed out
// after its 300 ms instead of failing with "too large", in 4 of 234 runs.
func TestMessagesAreBounded(t *testing.T) {
	s := serve(t, "b", nil, peer.NewMetrics(metrics.NewSet()))
	c, _ := client(t, mesh, "a", nil)
	ctx := context.Background()
	big := make([]byte, limits().MaxRequestBytes)
	if _, err := c.Submit(ctx, s.addr, big); err == nil {
		t.Fatal("a request over the bound was accepted")
	}
	s.handler.response = &peerpb.PullResponse{Changes: &peerpb.Packed{Data: make([]byte, limits().MaxResponseBytes)}}
	_, err := c.Pull(ctx, "b", s.addr, &peerpb.PullRequest{})
	if err == nil || !strings.Contains(err.Error(), "too large") {
		t.Fatalf("a response over the bound: %v", err)
	}
}

// Guards against a client that holds a response over the bound in memory, with or without a
// Content-Length. A peer of another version, or a malicious one, may send it.
func TestLargeResponseIsNotRead(t *testing.T) {
	for name, length := range map[string]string{"announced": "2000000", "in chunks": ""} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				w.Write(make([]byte, 2_000_000))
			}))
			defer s.Close()
			l := limits()
			l.MaxResponseBytes = 1_000_000
			c := clientWith(t, mesh, "a", nil, l, peer.NewMetrics(metrics.NewSet()))
			_, err := c.Pull(context.Background(), "b", s.Listener.Addr().String(), &peerpb.PullRequest{})
			if err == nil || !strings.Contains(err.Error(), "too large") {
				t.Errorf("a response over the bound: %v", err)
			}
		})
	}
}

// Guards against a command of the largest size that no longer fits into a
// request once it is marked as a repeat. When a node that doesn't reach the
// platform forwards it, its outcome would be unknown although it never ran.
func TestLargestCommandFits(t *testing.T) {
	s := serve(t, "b", nil, peer.NewMetrics(metrics.NewSet()))
	c, _ := client(t, mesh, "a", nil)
	largest := make([]byte, command.MaxBytes+len(`,"repeat":true`))
	if _, err := c.Submit(context.Background(), s.addr, largest); err != nil {
		t.Fatal(err)
	}
}
