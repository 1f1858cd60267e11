package node_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

// issueCert writes a certificate of the test mesh for a VM to the VM's directory.
func issueCert(ca *trusttest.CA, root, vm string) settings.TLS {
	dir := filepath.Join(root, vm)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err)
	}
	f := ca.Write(dir, trusttest.Leaf{ID: trust.Identity{Mesh: "trust", VM: vm}})
	return settings.TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}
}

// Guards against a calls listener that serves clients other than nodes of the mesh: they could
// bypass the targets, limits and quarantine of the entry node.
func TestCallsBetweenNodesAreMutualTLS(t *testing.T) {
	t.Parallel()
	ca, root := trusttest.NewCA(t), t.TempDir()
	w := startMesh(t, 2, func(vm *localmesh.VM, o *node.Options) { o.Settings.TLS = issueCert(ca, root, vm.ID) })
	entry, dest := w.VMs[0], w.VMs[1]
	w.hold(dest)
	for i, path := range []string{lookup, book} {
		if a := w.ask(entry, http.MethodPost, path, fmt.Sprint("a", i)); a.status != http.StatusOK || a.err != nil {
			t.Fatalf("%s: %s", path, a)
		}
	}
	before, _ := w.runs()
	other := trust.Identity{Mesh: "other", VM: "neg-01"}
	foreign, err := trust.New(trust.Options{
		Files: ca.Write(t.TempDir(), trusttest.Leaf{ID: other}), Self: &other, Log: zerolog.Nop(),
	})
	w.must(err)
	refused := `marlpass_peer_refused_total{reason="%s"}`
	for _, c := range []struct {
		who    string
		scheme string
		config *tls.Config
		reason string
	}{
		{"plain HTTP", "http", nil, ""},
		{"no certificate", "https", &tls.Config{InsecureSkipVerify: true}, "no_certificate"},
		{"a node of another mesh", "https", &tls.Config{
			InsecureSkipVerify: true, GetClientCertificate: foreign.Client().GetClientCertificate,
		}, "other_mesh"},
	} {
		transport := &http.Transport{TLSClientConfig: c.config}
		req, _ := http.NewRequestWithContext(w.ctx, http.MethodPost, c.scheme+"://"+dest.Node().Addrs().Calls+book, nil)
		req.Header[call.HeaderHop] = []string{"30000 bookings " + service + " a"}
		resp, err := transport.RoundTrip(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode < 400 {
				t.Errorf("%s: answered with %s", c.who, resp.Status)
			}
		}
		transport.CloseIdleConnections()
		if c.reason != "" && w.metric(dest, fmt.Sprintf(refused, c.reason)) != 1 {
			t.Errorf("%s: not counted once", c.who)
		}
	}
	if after, _ := w.runs(); after != before {
		t.Errorf("%d calls from outside the mesh were run", after-before)
	}
}

// redirector dials another address in place of a given one.
type redirector struct {
	mu        sync.Mutex
	redirects map[string]string
}

func (s *redirector) dialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s.mu.Lock()
		if to := s.redirects[addr]; to != "" {
			addr = to
		}
		s.mu.Unlock()
		return dial(ctx, network, addr)
	}
}

func (s *redirector) redirect(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redirects[from] = to
}

// Guards against a call that reaches the wrong VM after an address has passed to another VM of the
// mesh while the entry node still maps it to the old one. The caller must get "not run", so that a
// booking may be sent again.
func TestAddressOfAnotherVMIsRejected(t *testing.T) {
	t.Parallel()
	ca, root := trusttest.NewCA(t), t.TempDir()
	addrs := &redirector{redirects: make(map[string]string)}
	w := startMesh(t, 3, func(vm *localmesh.VM, o *node.Options) {
		o.Settings.TLS = issueCert(ca, root, vm.ID)
		if vm.ID == "neg-01" {
			o.Dial = addrs.dialer(o.Dial)
		}
	})
	entry, old, other := w.VMs[0], w.VMs[1], w.VMs[2]
	w.hold(old)
	addrs.redirect(old.Node().Addrs().Calls, other.Node().Addrs().Calls)
	a := w.ask(entry, http.MethodPost, book, "b1")
	if a.notRun != call.ReasonUnreachable || a.status != http.StatusServiceUnavailable {
		t.Errorf("got %s", a)
	}
	if w.metric(entry, `marlpass_peer_refused_total{reason="other_vm"}`) < 1 {
		t.Error("the refusal is not counted")
	}
	if runs, _ := w.runs(); runs != 0 {
		t.Error("the call was run")
	}
	addrs.redirect(old.Node().Addrs().Calls, "")
	if a := w.ask(entry, http.MethodPost, book, "b2"); a.status != http.StatusOK {
		t.Errorf("after the address came back: %s", a)
	}
}

// Guards against failed calls or restarts while all certificates move to a new authority: first
// every node trusts both, then each gets a new certificate, then the old authority is removed. A
// node that starts afterwards with the new authority alone has to join and take calls.
func TestCertificatesRotateUnderCalls(t *testing.T) {
	t.Parallel()
	root := t.TempDir()
	oldCA, newCA := trusttest.NewCA(t), trusttest.NewCA(t)
	current := oldCA
	w := startMesh(t, 3, func(vm *localmesh.VM, o *node.Options) { o.Settings.TLS = issueCert(current, root, vm.ID) })
	late := w.VMs[2]
	late.Kill()
	w.hold(w.VMs[1])
	ended, failed := w.keepCalling(w.VMs[0], w.VMs[1])
	both := func(files settings.TLS) {
		a, err := os.ReadFile(issueCert(oldCA, t.TempDir(), "x").CA)
		w.must(err)
		b, err := os.ReadFile(issueCert(newCA, t.TempDir(), "x").CA)
		w.must(err)
		w.must(os.WriteFile(files.CA, append(a, b...), 0o600))
	}
	step := func(change func(vm string)) {
		for _, vm := range w.VMs[:2] {
			change(vm.ID)
			w.must(vm.Node().Reload(w.settingsOf(vm)))
		}
		w.waitCalls(ended, 20)
	}
	step(func(vm string) { both(filesOf(root, vm)) })
	step(func(vm string) { both(issueCert(newCA, root, vm)) })
	step(func(vm string) { issueCert(newCA, root, vm) })
	current = newCA
	w.must(w.StartNode(late))
	w.must(w.WaitReady(w.ctx))
	w.must(w.WaitVersion(w.ctx, w.version))
	w.must(w.WaitEndpoints(w.ctx, service, 1))
	if a := w.ask(late, http.MethodPost, book, "late"); a.status != http.StatusOK {
		t.Errorf("through the new node: %s", a)
	}
	w.waitCalls(ended, 20)
	if list := failed(); len(list) > 0 {
		t.Errorf("%d calls failed, the first: %s", len(list), list[0])
	}
}

func filesOf(root, vm string) settings.TLS {
	dir := filepath.Join(root, vm)
	return settings.TLS{
		CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
	}
}
