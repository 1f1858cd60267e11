package trust_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

// pair returns the two ends of a connection over loopback.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// A VM is replaced, and its address passes to another VM of the same mesh. An
// entry node whose membership is behind opens a connection to the old VM and
// would run the call at a VM that nobody chose. The handshake itself succeeds,
// since both are nodes of the mesh; the name in the certificate tells.
func TestConnectWantsTheVMThatWasChosen(t *testing.T) {
	ca := trusttest.NewCA(t)
	self := trust.Identity{Mesh: "trust", VM: "neg-1"}
	there := trust.Identity{Mesh: "trust", VM: "gal-1"}
	var refused atomic.Value
	client := keeper(t, ca.Write(t.TempDir(), trusttest.Leaf{ID: self}), self, nil, &refused).Connector()
	server := keeper(t, ca.Write(t.TempDir(), trusttest.Leaf{ID: there}), there, nil, nil).Server()
	for _, vm := range []string{"gal-1", "gal-2"} {
		near, far := pair(t)
		go func() { _ = tls.Server(far, server).Handshake() }()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := client.Connect(ctx, near, vm)
		cancel()
		if vm == there.VM {
			if err != nil {
				t.Fatal(err)
			}
			continue
		}
		var e *trust.RefusedError
		if !errors.As(err, &e) || e.Reason != trust.ReasonOtherVM || refused.Load() != trust.ReasonOtherVM {
			t.Errorf("got %v, counted %v", err, refused.Load())
		}
	}
}

// A VM's certificate ran out because nobody renewed it. In TLS 1.3 the node
// would have sent a call before the other end looks at the certificate and cuts
// the connection, so every call would end as one that may have run. No byte may
// leave.
func TestConnectWithAnExpiredCertificateSendsNothing(t *testing.T) {
	self := trust.Identity{Mesh: "trust", VM: "neg-1"}
	now := time.Now()
	k, err := trust.New(trust.Options{
		Files: trusttest.NewCA(t).Write(t.TempDir(), trusttest.Leaf{ID: self}),
		Self:  &self, Log: zerolog.Nop(), Now: func() time.Time { return now },
	})
	if err != nil {
		t.Fatal(err)
	}
	now = k.Expires().Add(time.Second)
	near, far := pair(t)
	var file *trust.FileError
	if _, err := k.Connector().Connect(context.Background(), near, "gal-1"); !errors.As(err, &file) {
		t.Fatalf("got %v", err)
	}
	near.Close()
	if n, err := far.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("something was sent")
	}
}
