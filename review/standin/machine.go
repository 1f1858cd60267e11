package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and times of a small deployment, as the settings of the users' smallest site give them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	stableWindow   = 3 * time.Second
	drainBound     = 2 * time.Second
	configApply    = 2 * time.Second
	graceBound     = 6 * time.Second
	recoverBound   = 15 * time.Second
	slotsPerServer = 6
)

// nodeTemplate is the template of a node's settings, which the platform fills in.
const nodeTemplate = "deploy/node.toml"

// nodeProgram is what the deploy file builds.
const nodeProgram = "target/marlpass-node"

// machine is one VM: a node's process and the addresses of what runs there.
type machine struct {
	name, zone, service string
	ip                  string
	ports               map[string]int
	dir                 string
	storeAddr           string

	mu      sync.Mutex // guards process and starts
	process *exec.Cmd
	ended   chan struct{} // closed when process has ended
	starts  int
}

// portNames are the ports of a machine. Those of the internal range are also used on 127.0.0.1.
var portNames = []string{"app", "inbound", "outbound", "ready", "control", "internal-0", "internal-1"}

// takenPorts are the ports of all machines. The nodes of several machines share 127.0.0.1, and those
// that don't run yet hold no port.
var takenPorts = make(map[int]bool)

// newMachine returns a machine with an address of its own and free ports.
func newMachine(name, zone, service, dir, storeAddr string) (*machine, error) {
	m := &machine{name: name, zone: zone, service: service, dir: dir, storeAddr: storeAddr, ports: make(map[string]int)}
	for range 100 {
		m.ip = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		if isFree(m.ip, 9464) {
			break
		}
	}
	for _, p := range portNames {
		for {
			port := 11000 + rand.IntN(18000)
			if !takenPorts[port] && isFree(m.ip, port) && isFree("127.0.0.1", port) {
				takenPorts[port], m.ports[p] = true, port
				break
			}
		}
	}
	return m, m.writeSettings()
}

func isFree(ip string, port int) bool {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	ln.Close()
	return true
}

func (m *machine) addr(port string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports[port]))
}

func (m *machine) settingsFile() string { return filepath.Join(m.dir, m.name+".toml") }

// writeSettings fills in the template as the platform does.
func (m *machine) writeSettings() error {
	text, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return err
	}
	fields := map[string]string{
		"node-name": m.name, "region": "western", "zone": m.zone, "service": m.service, "ip": m.ip,
		"app-addr": m.addr("app"), "limits.link-mbps": "1000.0", "limits.memory-mb": "284",
		"listen.outbound": m.addr("outbound"), "listen.inbound": m.addr("inbound"),
		"listen.control": m.addr("control"), "listen.ready": m.addr("ready"),
		"internal-ports.0": strconv.Itoa(m.ports["internal-0"]), "internal-ports.1": strconv.Itoa(m.ports["internal-1"]),
		"provider.address": m.storeAddr, "heartbeat": "1500ms",
		"bounds.budget-slack": "64", "bounds.budget-ratio": "0.2", "bounds.budget-window": "10s",
		"bounds.config-apply": "2000ms", "bounds.grace": "6s",
	}
	return os.WriteFile(m.settingsFile(), []byte(render(string(text), fields)), 0o600)
}

// render fills in a template: sections of fields without a value are dropped.
func render(text string, fields map[string]string) string {
	for {
		_, after, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, _, _ := strings.Cut(after, "}}")
		begin, end := "{{#"+name+"}}", "{{/"+name+"}}"
		before, rest, _ := strings.Cut(text, begin)
		inner, rest, _ := strings.Cut(rest, end)
		if fields[name] == "" {
			inner = ""
		}
		text = before + inner + rest
	}
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// start starts the node's process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	log, err := os.Create(filepath.Join(m.dir, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(nodeProgram, "-config", m.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARLPASS_BOOT=" + m.settingsFile()}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s) // an error means that it has ended
	}
}

// end ends the node's process by a signal, and by SIGKILL once the grace period has passed.
func (m *machine) end(s syscall.Signal) {
	m.mu.Lock()
	cmd, ended := m.process, m.ended
	m.process = nil
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(graceBound):
		_ = cmd.Process.Kill()
		<-ended
	}
}

// ready reports whether the node answers that it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.addr("ready") + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(list []*machine, within time.Duration) error {
	until := time.Now().Add(within)
	for _, m := range list {
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready within %v", m.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
