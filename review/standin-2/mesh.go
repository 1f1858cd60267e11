package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// loopback returns the loopback address of a machine. Each run has its own, so that none takes a port of
// another's node.
func loopback(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, machine+1)
}

// processes are the nodes that were started.
var processes struct {
	sync.Mutex
	list []*os.Process
}

func started(p *os.Process) {
	processes.Lock()
	defer processes.Unlock()
	processes.list = append(processes.list, p)
}

// endAll kills the nodes that still run.
func endAll() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.list {
		_ = p.Kill() // an error means that it has ended
	}
}

// mesh is a small deployment: the store, and machines with one node and one endpoint each.
type mesh struct {
	rec      *record
	dir      string // temporary
	store    *store
	server   *http.Server
	url      string
	machines []*machine
	version  int
	added    int // machines so far
}

// machine runs a node and the endpoint beside it.
type machine struct {
	name, service string
	// clients, calls, control, announce and so on are the node's addresses.
	clients, calls, control, announce, ready, metrics, internal, admin string
	backend                                                            net.Listener
	endpoint                                                           *endpoint
	process                                                            *exec.Cmd
	ended                                                              chan struct{}
	exit                                                               error
}

// options are what differs between the cases.
type options struct {
	services []string // of the machines, one each
	revoke   string   // the bound on revoked keys; empty without keys
}

const nodeProgram = "target/marlpass-node"

func newMesh(rec *record, o options) (*mesh, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	m := &mesh{rec: rec, dir: dir, store: newStore()}
	ln, err := net.Listen("tcp", loopback(0)+":0")
	if err != nil {
		return nil, err
	}
	m.server = &http.Server{Handler: m.store}
	go func() { _ = m.server.Serve(ln) }() // ends with Close
	m.url = "http://" + ln.Addr().String()
	for _, service := range o.services {
		if err := m.add(service, o); err != nil {
			return m, err
		}
	}
	return m, nil
}

// add starts a machine at a new address, with a new name.
func (m *mesh) add(service string, o options) error {
	m.added++
	v := &machine{name: fmt.Sprintf("sidecar-z1-%d", m.added), service: service}
	if err := v.reserve(loopback(m.added)); err != nil {
		return err
	}
	if err := m.start(v, o); err != nil {
		return err
	}
	v.endpoint = startEndpoint(v.backend, fmt.Sprintf("i-%08x", m.added), service, v.announce, m.rec)
	m.machines = append(m.machines, v)
	return nil
}

// reserve picks free addresses. All are held until all are known.
func (v *machine) reserve(ip string) error {
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			ln.Close()
		}
	}()
	for _, addr := range []*string{&v.clients, &v.calls, &v.control, &v.announce, &v.ready, &v.metrics, &v.internal, &v.admin} {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		held = append(held, ln)
		*addr = ln.Addr().String()
	}
	var err error
	v.backend, err = net.Listen("tcp", ip+":0")
	return err
}

// settings fills in the deploy file's template for a small deployment.
func (m *mesh) settings(v *machine, o options) string {
	workspaces := ""
	if o.revoke != "" {
		workspaces = fmt.Sprintf("confirm_within = %q\n", o.revoke)
	}
	return fmt.Sprintf(`mesh = "mesh"
profile = "time"
[vm]
id = %q
region = "r1"
data_centre = "z1"
service = %q
backend = %q
link_mbps = 1000.0
memory_mb = 284
[listen]
callers = %q
calls = %q
control = %q
metrics = %q
announce = %q
ready = %q
internal = %q
admin = %q
[platform]
form = "rows"
url = %q
timeout = "2s"
[peers]
seeds = []
[retries]
ratio = 0.2
slack = 64
window = "10s"
[announce]
renew = "1500ms"
[versions]
in_force_within = "2000ms"
[workspaces]
%s[drain]
grace = "6s"
notice = "2200ms"
word = "400ms"
limit = "1m"
[log]
level = "info"
`, v.name, v.service, v.backend.Addr(), v.clients, v.calls, v.control, v.metrics, v.announce, v.ready, v.internal, v.admin, m.url, workspaces)
}

// start starts the machine's node.
func (m *mesh) start(v *machine, o options) error {
	file := filepath.Join(m.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings(v, o)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.dir, v.name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(nodeProgram, "-config", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	started(cmd.Process)
	v.process, v.ended = cmd, make(chan struct{})
	go func() {
		v.exit = cmd.Wait()
		log.Close()
		close(v.ended)
	}()
	return nil
}

// noteLogs notes the end of each node's log, for a run that can't go on.
func (m *mesh) noteLogs() {
	const tail = 1500
	for _, v := range m.machines {
		log, err := os.ReadFile(filepath.Join(m.dir, v.name+".log"))
		m.rec.note("log of %s, %v: %s", v.name, err, log[max(0, len(log)-tail):])
	}
}

func (m *mesh) signal(v *machine, s syscall.Signal) {
	m.rec.note("signal %v to the node of %s", s, v.name)
	_ = v.process.Process.Signal(s) // an error means that it has ended
}

// close ends all processes that the case started.
func (m *mesh) close() {
	for _, v := range m.machines {
		v.endpoint.close()
		_ = v.process.Process.Kill() // an error means that it has ended
		<-v.ended
	}
	m.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(m.dir)
	}
}

// configure writes a configuration as the operator does, and returns when the store has it.
func (m *mesh) configure(what string, c config) time.Time {
	m.version += 3
	c["version"] = fmt.Sprintf("%08x", m.version)
	if c["limits"] == nil {
		c["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"}
	}
	value, _ := json.Marshal(c) // maps of strings and numbers always encode
	m.store.write("op", "config", value)
	m.rec.note("operator: version %s acknowledged: %s", c["version"], what)
	return time.Now()
}

// config is a configuration in the operator's form.
type config map[string]any

func services(names ...string) map[string]any {
	out := make(map[string]any)
	for _, n := range names {
		out[n] = map[string]any{"health-path": "/healthz", "max-connections": 130, "protocol": "h1", "tls": false}
	}
	return out
}

func route(host, prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"host": host, "prefix": prefix, "route-type": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"target-latency": "600ms", "priority": 1, "service": service, "attempts": 2,
	}
}

const (
	startBound = 20 * time.Second
	pollEvery  = 50 * time.Millisecond
	// stableWindow is the bound of that name.
	stableWindow = 3 * time.Second
	// configApply is the bound of that name.
	configApply = 2 * time.Second
)

var errNotReady = errors.New("not all nodes serve")

// awaitServed waits until every node is ready and answers each of the requests with 200, and then
// for the stable window.
func (m *mesh) awaitServed(probes ...request) error {
	until := time.Now().Add(startBound)
	for _, v := range m.machines {
		for _, probe := range probes {
			for {
				probe.id = newID()
				if m.isReady(v) && send(v.clients, &probe).status == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					m.noteLogs()
					return fmt.Errorf("%w: %s, %s %s", errNotReady, v.name, probe.method, probe.target)
				}
				time.Sleep(pollEvery)
			}
		}
	}
	time.Sleep(stableWindow)
	m.rec.note("all nodes are ready and serve")
	return nil
}

func (m *mesh) isReady(v *machine) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request to a machine's node and notes it with its answer.
func (m *mesh) send(v *machine, q *request) answer {
	if q.id == "" {
		q.id = newID()
	}
	m.rec.note("client at %s sends %s http://%s%s id %s, further headers %q, body %q", v.name, q.method, q.host, q.target, q.id, q.headers, short(q.body))
	a := send(v.clients, q)
	m.rec.note("client gets for id %s after %d ms: %v", q.id, a.took.Milliseconds(), a)
	return a
}

// ranFor returns the runs of a request at all endpoints.
func (m *mesh) ranFor(id string) []run {
	var out []run
	for _, v := range m.machines {
		out = append(out, v.endpoint.ranFor(id)...)
	}
	return out
}
