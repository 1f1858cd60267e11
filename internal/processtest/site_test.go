package processtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

const (
	mesh  = "lanka-harbour"
	token = "0123456789abcdef0123456789abcdef"
)

// vm is one VM of the site.
type vm struct{ name, region, dataCentre string }

var vms = []vm{
	{"neg1", "western", "neg-shed"},
	{"neg2", "western", "neg-shed"},
	{"gal1", "southern", "gal-shed"},
}

// listeners are the listeners of a node, in the template's order of ports from
// firstPort on.
var listeners = []string{"callers", "internal", "calls", "control", "announce", "metrics", "admin"}

const firstPort = 7800

// Ports are taken below those that the system gives to outgoing connections, so
// that a node which comes back finds its own free.
const (
	lowestPort  = 10000
	highestPort = 32000
)

// newSite writes settings, certificates and a token into the script's folder, and
// puts each address into a variable such as neg1_callers.
func newSite(t *testing.T, env *testscript.Env) error {
	// The race detector sleeps a second at the end of each process.
	env.Setenv("GORACE", "atexit_sleep_ms=0 halt_on_error=1")
	env.Setenv("HOME", env.WorkDir)
	p := newPorts()
	defer p.release()
	platform, err := p.next()
	if err != nil {
		return err
	}
	env.Setenv("platform", platform)
	addresses := map[string]string{}
	for _, v := range vms {
		for _, l := range listeners {
			a, err := p.next()
			if err != nil {
				return err
			}
			addresses[v.name+"_"+l] = a
			env.Setenv(v.name+"_"+l, a)
		}
	}
	env.Values[downloadKey{}] = new(http.Response)
	ca := trusttest.NewCA(t)
	env.Values[caKey{}] = ca
	for _, v := range vms {
		if err := writeNode(env, ca, v, addresses); err != nil {
			return err
		}
	}
	return writeOperator(env, addresses)
}

// writeNode renders the settings of one VM as the installation page does, with a
// port of its own in the place of each of the template's.
func writeNode(env *testscript.Env, ca *trusttest.CA, v vm, addresses map[string]string) error {
	tls := filepath.Join(env.WorkDir, v.name)
	if err := os.MkdirAll(tls, 0o700); err != nil {
		return err
	}
	files := ca.Write(tls, trusttest.Leaf{ID: trust.Identity{Mesh: mesh, VM: v.name}})
	cmd := exec.Command("../../settings/render", mesh, "time", v.name, v.region, v.dataCentre, "127.0.0.1",
		"http://"+env.Getenv("platform"), "berth", addresses["neg1_control"], addresses["gal1_control"])
	raw, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("settings/render: %w", err)
	}
	replace := []string{
		"/etc/marlpass/mesh-ca.pem", files.CA, "/etc/marlpass/node.pem", files.Cert, "/etc/marlpass/node.key", files.Key,
		"/etc/marlpass/admin.pem", files.Cert, "/etc/marlpass/admin.key", files.Key,
		strings.Repeat("0", 2*sha256.Size), tokenHash(),
	}
	for i, l := range listeners {
		replace = append(replace, `"127.0.0.1:`+strconv.Itoa(firstPort+i)+`"`, `"`+addresses[v.name+"_"+l]+`"`)
	}
	text := strings.NewReplacer(replace...).Replace(string(raw))
	return os.WriteFile(filepath.Join(env.WorkDir, v.name+".toml"), []byte(text), 0o600)
}

func tokenHash() string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

type caKey struct{}

// renewed is when a renewed certificate runs out.
var renewed = time.Now().Add(48 * time.Hour)

// renew writes a new certificate over a VM's: renew VM good|expired
func renew(ts *testscript.TestScript, _ bool, args []string) {
	leaf := trusttest.Leaf{ID: trust.Identity{Mesh: mesh, VM: args[0]}, NotAfter: renewed}
	if args[1] == "expired" {
		leaf.NotBefore, leaf.NotAfter = time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour)
	}
	ts.Value(caKey{}).(*trusttest.CA).Write(ts.MkAbs(args[0]), leaf)
	ts.Setenv("renewed", regexp.QuoteMeta(fmt.Sprint(float64(renewed.Unix()))))
}

// writeOperator writes the command line's settings file.
func writeOperator(env *testscript.Env, addresses map[string]string) error {
	dir := filepath.Join(env.WorkDir, ".config")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(env.WorkDir, "token")
	if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
		return err
	}
	text := fmt.Sprintf("servers = [%q, %q]\ntoken_file = %q\nca_file = %q\ntimeout = \"10s\"\n",
		"https://"+addresses["neg1_admin"], "https://"+addresses["gal1_admin"],
		file, filepath.Join(env.WorkDir, "neg1", "ca.pem"))
	return os.WriteFile(filepath.Join(dir, "marlpass.toml"), []byte(text), 0o600)
}

// ports hands out free ports, and holds all of them until release.
type ports struct {
	from int
	held []net.Listener
}

func newPorts() *ports {
	return &ports{from: lowestPort + rand.IntN((highestPort-lowestPort)/2)}
}

func (p *ports) next() (string, error) {
	for ; p.from < highestPort; p.from++ {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(p.from)))
		if err == nil {
			p.from++
			p.held = append(p.held, l)
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port up to %d", highestPort)
}

func (p *ports) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
}
