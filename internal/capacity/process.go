package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/wait"
)

// ProcessPoint is one marlpass-node in a process of its own, within a mesh whose
// other nodes are in this process. Nothing but the node is in its figures.
type ProcessPoint struct {
	Nodes int `json:"nodes"` // the one included
	Load
	CPUIdle     float64 `json:"cpu_s_per_s_idle"`
	CPUChanging float64 `json:"cpu_s_per_s_changing"`
	Changes     int     `json:"changes"`
	Seconds     float64 `json:"seconds_changing"`
	RSS         float64 `json:"rss_bytes"`
	Goroutines  float64 `json:"goroutines"`
	Files       float64 `json:"files"`
}

// ProcessOptions say how the process is measured.
type ProcessOptions struct {
	Nodes   int
	Settle  time.Duration
	Idle    time.Duration
	Changes int
	Every   time.Duration
}

// DefaultProcess returns the options that the page's figures are made with.
func DefaultProcess(nodes int) ProcessOptions {
	return ProcessOptions{
		Nodes: nodes, Settle: settleFor(nodes, 0), Idle: 15 * time.Second, Changes: 10, Every: 1500 * time.Millisecond,
	}
}

// MeasureProcess runs a mesh of which one node is a process of its own.
func MeasureProcess(ctx context.Context, o ProcessOptions) (ProcessPoint, error) {
	p := ProcessPoint{Nodes: o.Nodes, Changes: o.Changes}
	p.Before = loadAverage()
	m, err := startFleet(ctx, o.Nodes-1, timeProfile)
	if err != nil {
		return p, err
	}
	defer m.Close()
	op, err := newOperator(m)
	if err != nil {
		return p, err
	}
	n, err := startProcess(ctx, m)
	if err != nil {
		return p, err
	}
	defer n.stop()
	if err := n.ready(ctx); err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Settle); err != nil {
		return p, err
	}
	if p.CPUIdle, _, err = n.watch(func() error { return wait.For(ctx, o.Idle) }); err != nil {
		return p, err
	}
	change := func() error { return op.changes(ctx, o.Changes, o.Every) }
	if p.CPUChanging, p.Seconds, err = n.watch(change); err != nil {
		return p, err
	}
	f, err := n.figures()
	if err != nil {
		return p, err
	}
	p.RSS, p.Goroutines = f["process_resident_memory_bytes"], f["go_goroutines"]
	p.Files = float64(openFiles(strconv.Itoa(n.cmd.Process.Pid)))
	p.After = loadAverage()
	return p, nil
}

// process is a running marlpass-node.
type process struct {
	cmd     *exec.Cmd
	folder  string
	metrics string // URL
}

// startProcess builds marlpass-node and starts it with settings like those of
// the other nodes.
func startProcess(ctx context.Context, m *localmesh.Mesh) (*process, error) {
	folder, err := os.MkdirTemp("", "marlpass-capacity-")
	if err != nil {
		return nil, err
	}
	p := &process{folder: folder}
	if err := p.start(ctx, m); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *process) start(ctx context.Context, m *localmesh.Mesh) error {
	program := filepath.Join(p.folder, "marlpass-node")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/marlpass-node").CombinedOutput(); err != nil {
		return fmt.Errorf("capacity: build marlpass-node: %w\n%s", err, out)
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	p.metrics = "http://" + addr
	set, err := toml.Marshal(processSettings(m, addr))
	if err != nil {
		return err
	}
	file := filepath.Join(p.folder, "node.toml")
	if err := os.WriteFile(file, set, 0o600); err != nil {
		return err
	}
	p.cmd = exec.CommandContext(ctx, program, "-config", file)
	return p.cmd.Start()
}

func processSettings(m *localmesh.Mesh, metrics string) settings.Node {
	const anyPort = "127.0.0.1:0"
	near := m.VMs[0]
	s := settings.DefaultNode()
	s.Mesh, s.Profile = "capacity", timeProfile
	s.VM = settings.VM{ID: near.DataCentre + "-alone", Region: near.Region, DataCentre: near.DataCentre}
	s.Listen = settings.Listen{
		Callers: anyPort, Internal: anyPort, Calls: anyPort, Control: anyPort, Admin: anyPort, Announce: anyPort, Metrics: metrics,
	}
	s.Platform.URL = m.PlatformURL()
	s.Peers.Seeds = []string{near.Node().Addrs().Control}
	return s
}

// freeAddr returns an address that nothing listens on now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// stop ends the process at once.
func (p *process) stop() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	_ = os.RemoveAll(p.folder)
}

// readyBound is far above what a start takes.
const readyBound = 30 * time.Second

// ready waits until the node carries traffic.
func (p *process) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for {
		resp, err := scraping.Get(p.metrics + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := wait.For(ctx, 50*time.Millisecond); err != nil {
			return fmt.Errorf("capacity: the node does not get ready: %w", err)
		}
	}
}

// watch returns the processor time a second while f runs, and how long it ran.
func (p *process) watch(f func() error) (cpu, took float64, err error) {
	const name = "process_cpu_seconds_total"
	before, err := p.figures()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := f(); err != nil {
		return 0, 0, err
	}
	took = time.Since(start).Seconds()
	after, err := p.figures()
	if err != nil {
		return 0, 0, err
	}
	return (after[name] - before[name]) / took, took, nil
}

// figures returns the figures of the process from its metrics.
func (p *process) figures() (counters, error) {
	resp, err := scraping.Get(p.metrics + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readCounters(bufio.NewScanner(resp.Body), "process_", "go_goroutines")
}

// readCounters reads the lines whose names begin with one of the prefixes.
func readCounters(lines *bufio.Scanner, prefixes ...string) (counters, error) {
	c := counters{}
	for lines.Scan() {
		name, value, ok := cutLast(lines.Text())
		if !ok || !hasPrefix(name, prefixes) {
			continue
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, err
		}
		c[name] = f
	}
	return c, lines.Err()
}

func hasPrefix(s string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(s, p) {
			return true
		}
	}
	return false
}
