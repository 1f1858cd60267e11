package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/peer"
)

// Guards against an answer of another node without an end that fills the memory, or keeps an exchange
// past its timeout.
func TestAnswersOfNodesWithoutEnd(t *testing.T) {
	fill := strings.Repeat("a", 1000)
	for name, c := range map[string]struct{ start, repeat string }{
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X-Fill: " + fill + "\r\n"},
		"header line":     {"HTTP/1.1 200 OK\r\nX-Fill: ", fill},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX-Fill: " + fill + "\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", fill},
		"chunk extension": {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n5;", fill},
		"failure":         {"HTTP/1.1 500 Internal Server Error\r\n\r\n", fill},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, err = io.WriteString(conn, c.start)
				}
				for err == nil {
					_, err = io.WriteString(conn, c.repeat)
				}
			}()
			client, err := peer.NewClient(peer.ClientConfig{
				Mesh: mesh, VM: "vm-1", Limits: limits(), Metrics: peer.NewMetrics(metrics.NewSet()),
				Sender: sender, OnEnvelope: func(*peerpb.Envelope) {},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if _, err := client.Exchange(ctx, ln.Addr().String(), &peerpb.Membership{}); err == nil || ctx.Err() != nil {
				t.Errorf("got %v", err)
			}
			runtime.ReadMemStats(&after)
			if grown := int64(after.TotalAlloc - before.TotalAlloc); grown > 8*limits().MaxResponseBytes {
				t.Errorf("%d bytes were allocated", grown)
			}
		})
	}
}
