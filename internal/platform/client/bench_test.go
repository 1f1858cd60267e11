package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
)

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func countedTransport(bytes *atomic.Int64) *http.Transport {
	t := newTransport(patient.withDefaults())
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		return counted{conn, bytes}, err
	}
	return t
}

// BenchmarkGet compares a read of one row with a bare request for the same
// bytes, both over loopback. Allocations include those of the server, which
// are the same for both.
func BenchmarkGet(b *testing.B) {
	s := httptest.NewServer(server.New(fake.New()))
	defer s.Close()
	var wire atomic.Int64
	o := patient
	o.Transport = countedTransport(&wire)
	c := connect(b, s.URL, o)
	if err := c.Table().Commit(b.Context(), set("head", strings.Repeat("v", 200))); err != nil {
		b.Fatal(err)
	}
	b.Run("client", func(b *testing.B) {
		b.ReportAllocs()
		wire.Store(0)
		for b.Loop() {
			if _, err := c.Table().Get(b.Context(), "head"); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
	})
	b.Run("bare", func(b *testing.B) {
		bare := &http.Client{Transport: countedTransport(&wire)}
		b.ReportAllocs()
		wire.Store(0)
		for b.Loop() {
			resp, err := bare.Get(c.options.URL + "/v1/row?key=head")
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				b.Fatal(err)
			}
			resp.Body.Close()
		}
		b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
	})
}
