package node

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/drain"
)

// Guards against a connection that stays open because a refused call's body never arrives. Each
// planned stop of the node waited until the drain limit, and the caller as long for its refusal.
func TestRefusedCallWithoutBodyClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls drain.Calls
		ln := servePipes(t, newServer(calls.Handler(refuseAll), zerolog.Nop()))
		conn := ln.dial()
		defer conn.Close()
		start := time.Now()
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusUnauthorized || time.Since(start) > drain.UnreadBodyTimeout {
			t.Fatalf("after %s: %v, %v", time.Since(start), resp, err)
		}
		_, _ = io.Copy(io.Discard, conn)
		if got := time.Since(start); got > 2*drain.UnreadBodyTimeout {
			t.Errorf("connection open for %s", got)
		}
	})
}

// Guards against closing the connection of a refused call whose body arrives a moment later: the
// caller reuses the connection.
func TestRefusedCallKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls drain.Calls
		conn := servePipes(t, newServer(calls.Handler(refuseAll), zerolog.Nop())).dial()
		defer conn.Close()
		answers := bufio.NewReader(conn)
		for range 3 {
			for _, part := range []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n", "0123456789"} {
				if _, err := io.WriteString(conn, part); err != nil {
					t.Fatal(err)
				}
				time.Sleep(drain.UnreadBodyTimeout / 2)
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil || resp.Close {
				t.Fatalf("got %v, %v", resp, err)
			}
			time.Sleep(10 * drain.UnreadBodyTimeout) // idle
		}
	})
}
