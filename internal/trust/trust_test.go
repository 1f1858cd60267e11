package trust_test

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

func keeper(t *testing.T, f trust.Files, id trust.Identity, log *bytes.Buffer, refused *atomic.Value) *trust.Keeper {
	t.Helper()
	o := trust.Options{Files: f, Self: &id, Log: zerolog.Nop()}
	if log != nil {
		o.Log = zerolog.New(log)
	}
	if refused != nil {
		o.OnRefused = func(e *trust.RefusedError) { refused.Store(e.Reason) }
	}
	k, err := trust.New(o)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects a client to a server once, and returns the server's
// verdict and the client's.
func handshake(t *testing.T, server, client *tls.Config) (error, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	deadline := time.Now().Add(5 * time.Second)
	_ = a.SetDeadline(deadline)
	_ = b.SetDeadline(deadline)
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		a.Close()
		done <- err
	}()
	c := tls.Client(b, client)
	err = c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	b.Close()
	return <-done, err
}

func TestWhoGetsIn(t *testing.T) {
	ca, otherCA := trusttest.NewCA(t), trusttest.NewCA(t)
	self := trust.Identity{Mesh: "trust", VM: "neg-1"}
	past := time.Now().Add(-time.Minute)
	tests := []struct {
		name string
		ca   *trusttest.CA
		leaf trusttest.Leaf
		none bool
		want trust.Reason
	}{
		{name: "a node of the mesh", ca: ca, leaf: trusttest.Leaf{ID: trust.Identity{Mesh: "trust", VM: "gal-1"}}},
		{name: "no certificate", ca: ca, none: true, want: trust.ReasonNoCertificate},
		{name: "another authority", ca: otherCA, leaf: trusttest.Leaf{ID: trust.Identity{Mesh: "trust", VM: "gal-1"}}, want: trust.ReasonUntrusted},
		{name: "another mesh", ca: ca, leaf: trusttest.Leaf{ID: trust.Identity{Mesh: "groenteprijs", VM: "gal-1"}}, want: trust.ReasonOtherMesh},
		{name: "expired", ca: ca, leaf: trusttest.Leaf{ID: trust.Identity{Mesh: "trust", VM: "gal-1"}, NotAfter: past}, want: trust.ReasonExpired},
		{name: "no identity", ca: ca, leaf: trusttest.Leaf{}, want: trust.ReasonNoIdentity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var refused atomic.Value
			server := keeper(t, ca.Write(t.TempDir(), trusttest.Leaf{ID: self}), self, nil, &refused).Server()
			f := tt.ca.Write(t.TempDir(), tt.leaf)
			client := &tls.Config{InsecureSkipVerify: true}
			if !tt.none {
				pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
				if err != nil {
					t.Fatal(err)
				}
				client.Certificates = []tls.Certificate{pair}
			}
			err, _ := handshake(t, server, client)
			if (err == nil) != (tt.want == "") {
				t.Fatalf("handshake: %v, want reason %q", err, tt.want)
			}
			if got, _ := refused.Load().(trust.Reason); got != tt.want {
				t.Fatalf("counted as %q, want %q", got, tt.want)
			}
		})
	}
}

func TestClientRefusesAServerOfAnotherMesh(t *testing.T) {
	ca := trusttest.NewCA(t)
	a, b := trust.Identity{Mesh: "trust", VM: "a"}, trust.Identity{Mesh: "other", VM: "b"}
	server := keeper(t, ca.Write(t.TempDir(), trusttest.Leaf{ID: b}), b, nil, nil).Server()
	var refused atomic.Value
	client := keeper(t, ca.Write(t.TempDir(), trusttest.Leaf{ID: a}), a, nil, &refused).Client()
	if _, err := handshake(t, server, client); err == nil {
		t.Fatal("the client went on with a server of another mesh")
	}
	if refused.Load() != trust.ReasonOtherMesh {
		t.Fatalf("counted as %v", refused.Load())
	}
}

// What an operator would see: a node that drops out of the mesh in the night,
// because the renewal wrote an expired or a half-written certificate and the
// node took it. The node keeps the running one, says why in one line, and
// takes the next good one without a restart.
func TestBadRenewalKeepsTheRunningCertificate(t *testing.T) {
	ca := trusttest.NewCA(t)
	id := trust.Identity{Mesh: "trust", VM: "a"}
	dir := t.TempDir()
	var log bytes.Buffer
	k := keeper(t, ca.Write(dir, trusttest.Leaf{ID: id}), id, &log, nil)
	first := k.Expires()

	files := ca.Write(dir, trusttest.Leaf{ID: id, NotAfter: time.Now().Add(-time.Minute)})
	touch(t, files, 1)
	k.Poll()
	k.Poll() // the same bad files are not reported again
	if !k.Expires().Equal(first) || strings.Count(log.String(), "expired at") != 1 {
		t.Fatalf("after an expired renewal: until %v, log %q", k.Expires(), log.String())
	}
	if err := os.WriteFile(files.Cert, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch(t, files, 2)
	k.Poll()
	if !k.Expires().Equal(first) {
		t.Fatal("a half-written certificate was taken")
	}
	ca.Write(dir, trusttest.Leaf{ID: id, NotAfter: time.Now().Add(48 * time.Hour)})
	touch(t, files, 3)
	k.Poll()
	if !k.Expires().After(first) {
		t.Fatalf("a good renewal was not taken: %s", log.String())
	}
}

// touch makes the files' times differ, whatever the file system's resolution.
func touch(t *testing.T, f trust.Files, step int) {
	t.Helper()
	at := time.Now().Add(time.Duration(step) * time.Minute)
	for _, name := range []string{f.CA, f.Cert, f.Key} {
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestNoStartWithAnUnusableCertificate(t *testing.T) {
	ca := trusttest.NewCA(t)
	id := trust.Identity{Mesh: "trust", VM: "a"}
	tests := map[string]trust.Files{
		"expired":    ca.Write(t.TempDir(), trusttest.Leaf{ID: id, NotAfter: time.Now().Add(-time.Minute)}),
		"another VM": ca.Write(t.TempDir(), trusttest.Leaf{ID: trust.Identity{Mesh: "trust", VM: "b"}}),
		"absent":     {CA: "/none/ca", Cert: "/none/cert", Key: "/none/key"},
	}
	for name, f := range tests {
		_, err := trust.New(trust.Options{Files: f, Self: &id, Log: zerolog.Nop()})
		var fe *trust.FileError
		if !errors.As(err, &fe) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAdminListenerAsksForNoClientCertificate(t *testing.T) {
	ca := trusttest.NewCA(t)
	f := ca.Write(t.TempDir(), trusttest.Leaf{})
	f.CA = ""
	k, err := trust.New(trust.Options{Files: f, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	if s, c := handshake(t, k.Server(), &tls.Config{InsecureSkipVerify: true}); s != nil || c != nil {
		t.Fatal(s, c)
	}
}
