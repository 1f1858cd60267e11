package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/peer"
	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

const mesh = "trust"

// handlers is a node behind the edge that answers everything.
type handlers struct {
	mu     sync.Mutex
	heard  []*peerpb.Envelope
	answer *peerpb.PullResponse
}

func (h *handlers) Request(string, *peerpb.Membership) *peerpb.Membership {
	return &peerpb.Membership{}
}

func (h *handlers) Heard(e *peerpb.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = append(h.heard, e)
}

func (h *handlers) ServePull(*peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return h.answer, nil
}

func (h *handlers) Submit(_ context.Context, _ string, c []byte) ([]byte, error) {
	return append([]byte("done "), c...), nil
}

func (h *handlers) Alert(string, []*peerpb.Notice) {}

func (h *handlers) Report() (*peerpb.Packed, error) { return &peerpb.Packed{Data: []byte("r")}, nil }

func sender() peer.SenderInfo {
	return peer.SenderInfo{Incarnation: 1764700000000, Version: config.Version{Number: 930, Hash: config.Hash{1, 2, 3}}}
}

func limits() peer.Limits {
	l := peer.DefaultLimits()
	l.ExchangeTimeout = 300 * time.Millisecond
	return l
}

type edge struct {
	addr    string
	metrics *peer.Metrics
	h       *handlers
}

func serve(t testing.TB, vm string, conf *tls.Config, m *peer.Metrics) *edge {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &handlers{answer: &peerpb.PullResponse{}}
	s := peer.NewServer(peer.ServerConfig{
		Mesh: mesh, VM: vm, TLS: conf, Limits: limits(), Metrics: m, Log: zerolog.Nop(),
		Sender: sender, Membership: h, Distributor: h, Submitter: h, Alerts: h, Reporter: h,
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &edge{l.Addr().String(), m, h}
}

func client(t testing.TB, meshName, vm string, conf *tls.Config) (*peer.Client, *peer.Metrics) {
	t.Helper()
	m := peer.NewMetrics(metrics.NewSet())
	return clientWith(t, meshName, vm, conf, limits(), m), m
}

func clientWith(t testing.TB, meshName, vm string, conf *tls.Config, l peer.Limits, m *peer.Metrics) *peer.Client {
	t.Helper()
	c, err := peer.NewClient(peer.ClientConfig{
		Mesh: meshName, VM: vm, TLS: conf, Limits: l, Metrics: m,
		Sender: sender, OnEnvelope: func(*peerpb.Envelope) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func keep(t testing.TB, ca *trusttest.CA, id trust.Identity, m *peer.Metrics) *trust.Keeper {
	t.Helper()
	k, err := trust.New(trust.Options{
		Files: ca.Write(t.TempDir(), trusttest.Leaf{ID: id}), Self: &id, Log: zerolog.Nop(), OnRefused: m.Refused,
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func serveTLS(t testing.TB, ca *trusttest.CA, vm string) *edge {
	m := peer.NewMetrics(metrics.NewSet())
	return serve(t, vm, keep(t, ca, trust.Identity{Mesh: mesh, VM: vm}, m).Server(), m)
}

func clientTLS(t testing.TB, ca *trusttest.CA, vm string) (*peer.Client, *peer.Metrics) {
	m := peer.NewMetrics(metrics.NewSet())
	return client(t, mesh, vm, keep(t, ca, trust.Identity{Mesh: mesh, VM: vm}, m).Client())
}

func TestMessagesBothWays(t *testing.T) {
	ca := trusttest.NewCA(t)
	s := serveTLS(t, ca, "b")
	c, m := clientTLS(t, ca, "a")
	ctx := context.Background()
	if _, err := c.Exchange(ctx, s.addr, &peerpb.Membership{}); err != nil {
		t.Fatal(err)
	}
	if err := c.Push(ctx, s.addr, &peerpb.Packed{Data: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Pull(ctx, "b", s.addr, &peerpb.PullRequest{}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Pull(ctx, "z", s.addr, &peerpb.PullRequest{}); !errors.Is(err, peer.ErrIdentityMismatch) {
		t.Fatalf("a pull from another VM: %v", err)
	}
	if got, err := c.Submit(ctx, s.addr, []byte("it")); err != nil || string(got) != "done it" {
		t.Fatal(string(got), err)
	}
	if err := c.Alert(ctx, s.addr, nil); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Report(ctx, "b", s.addr); err != nil || string(got.GetData()) != "r" {
		t.Fatal(got, err)
	}
	if _, err := c.Report(ctx, "z", s.addr); !errors.Is(err, peer.ErrIdentityMismatch) {
		t.Fatalf("a report of another VM: %v", err)
	}
	if len(s.h.heard) != 2 || s.h.heard[0].From != "a" || s.h.heard[0].Version != 930 {
		t.Fatalf("heard %v", s.h.heard)
	}
	if opened, _ := m.Connections(); opened != 1 {
		t.Fatalf("%d connections for eight messages in a row", opened)
	}
}

// What an operator would see: a VM set up for the other mesh, or a stranger on
// the network, that turns up as a node and takes or gives configuration.
func TestStrangersAreRefusedAndCounted(t *testing.T) {
	ca, ctx := trusttest.NewCA(t), context.Background()
	s := serveTLS(t, ca, "b")
	pair := func(l trusttest.Leaf) *tls.Config {
		f := ca.Write(t.TempDir(), l)
		p, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{p}}
	}
	other := trust.Identity{Mesh: "groenteprijs", VM: "a"}
	expired := trusttest.Leaf{ID: trust.Identity{Mesh: mesh, VM: "a"}, NotAfter: time.Now().Add(-time.Minute)}
	tests := map[trust.Reason]*tls.Config{
		trust.ReasonNoCertificate: {InsecureSkipVerify: true},
		trust.ReasonOtherMesh:     pair(trusttest.Leaf{ID: other}),
		trust.ReasonExpired:       pair(expired),
	}
	for reason, conf := range tests {
		c, _ := client(t, mesh, "a", conf)
		if _, err := c.Exchange(ctx, s.addr, &peerpb.Membership{}); err == nil {
			t.Errorf("%s: let in", reason)
		}
		if n := s.metrics.RefusedCount(reason); n == 0 {
			t.Errorf("%s: not counted", reason)
		}
	}
	if len(s.h.heard) != 0 {
		t.Fatalf("a stranger was heard: %v", s.h.heard)
	}
}

func TestOtherMeshIsRefusedWithoutTLSToo(t *testing.T) {
	s := serve(t, "b", nil, peer.NewMetrics(metrics.NewSet()))
	c, _ := client(t, "groenteprijs", "a", nil)
	if _, err := c.Exchange(context.Background(), s.addr, &peerpb.Membership{}); !errors.Is(err, peer.ErrRefused) {
		t.Fatal(err)
	}
	if s.metrics.RefusedCount(trust.ReasonOtherMesh) != 1 {
		t.Fatal("not counted")
	}
}

// What an operator would see: changes that one VM made in the name of another,
// after one key was stolen. A certificate speaks for one VM only.
func TestCertificateSpeaksForOneVM(t *testing.T) {
	ca := trusttest.NewCA(t)
	s := serveTLS(t, ca, "b")
	m := peer.NewMetrics(metrics.NewSet())
	c, _ := client(t, mesh, "victim", keep(t, ca, trust.Identity{Mesh: mesh, VM: "a"}, m).Client())
	if _, err := c.Exchange(context.Background(), s.addr, &peerpb.Membership{}); !errors.Is(err, peer.ErrRefused) {
		t.Fatal(err)
	}
	if len(s.h.heard) != 0 {
		t.Fatal("the message was heard")
	}
}

// What an operator would see: a node that falls behind for good though its
// peers are well, because something between them has lost track of the kept
// connection. The exchange misses its bound, the connection is given up, and
// the next exchange works over a fresh one.
func TestSilentConnectionIsRetired(t *testing.T) {
	s := serve(t, "b", nil, peer.NewMetrics(metrics.NewSet()))
	link := newLink(t, s.addr)
	c, m := client(t, mesh, "a", nil)
	ctx := context.Background()
	if _, err := c.Exchange(ctx, link.addr, &peerpb.Membership{}); err != nil {
		t.Fatal(err)
	}
	link.silence()
	if _, err := c.Exchange(ctx, link.addr, &peerpb.Membership{}); !errors.Is(err, peer.ErrUnreachable) {
		t.Fatalf("over a silent connection: %v", err)
	}
	if _, err := c.Exchange(ctx, link.addr, &peerpb.Membership{}); err != nil {
		t.Fatalf("over a fresh connection: %v", err)
	}
	if opened, _ := m.Connections(); opened != 2 {
		t.Fatalf("%d connections", opened)
	}
}

// link passes bytes on, until silence stops the connections open by then.
type link struct {
	addr  string
	mu    sync.Mutex
	quiet chan struct{}
}

func newLink(t *testing.T, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{addr: l.Addr().String(), quiet: make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				return
			}
			t.Cleanup(func() { a.Close(); b.Close() })
			k.mu.Lock()
			quiet := k.quiet
			k.mu.Unlock()
			go pass(b, a, quiet)
			go pass(a, b, quiet)
		}
	}()
	return k
}

func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.quiet)
	k.quiet = make(chan struct{})
}

func pass(dst, src net.Conn, quiet chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-quiet:
			continue
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// BenchmarkExchange reports the bytes on the wire of one small exchange over a
// kept connection, both ways, and of opening the connection.
func BenchmarkExchange(b *testing.B) {
	ca := trusttest.NewCA(b)
	plain := func() (*edge, *peer.Client, *peer.Metrics) {
		s := serve(b, "neg-shed-0001", nil, peer.NewMetrics(metrics.NewSet()))
		c, m := client(b, mesh, "neg-shed-0002", nil)
		return s, c, m
	}
	mutual := func() (*edge, *peer.Client, *peer.Metrics) {
		c, m := clientTLS(b, ca, "neg-shed-0002")
		return serveTLS(b, ca, "neg-shed-0001"), c, m
	}
	for name, set := range map[string]func() (*edge, *peer.Client, *peer.Metrics){"plain": plain, "mtls": mutual} {
		b.Run(name, func(b *testing.B) {
			s, c, m := set()
			exchange := func() {
				if _, err := c.Exchange(context.Background(), s.addr, &peerpb.Membership{}); err != nil {
					b.Fatal(err)
				}
			}
			total := func() uint64 { in, out := m.ConnectionBytes(); return in + out }
			exchange()
			first := total()
			exchange()
			second := total()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				exchange()
			}
			b.ReportMetric(float64(total()-second)/float64(b.N), "wire_B/op")
			b.ReportMetric(float64(first-(second-first)), "connect_B")
		})
	}
}
