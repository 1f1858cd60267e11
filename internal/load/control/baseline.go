package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/config/match"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/platform/client"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
	"github.com/marlpass/marlpass/internal/wait"
)

// Baseline is the same measurement of nodes that each poll the platform for the
// whole snapshot every second.
type Baseline struct {
	ConvergeP50ms  float64 `json:"baseline_converge_p50_ms"`
	ConvergeP99ms  float64 `json:"baseline_converge_p99_ms"`
	ConvergeMaxms  float64 `json:"baseline_converge_max_ms"`
	BytesIdle      float64 `json:"baseline_control_bytes_per_node_s"`
	BytesChange    float64 `json:"baseline_control_bytes_per_node_s_change"`
	BytesPerChange float64 `json:"baseline_bytes_per_node_per_change"`
	ReadsIdle      float64 `json:"baseline_platform_reads_s"`
	ReadsChange    float64 `json:"baseline_platform_reads_s_change"`
	Writes         float64 `json:"baseline_platform_writes_per_change"`
	CPUIdle        float64 `json:"baseline_cpu_percent_per_node"`
	CPUChange      float64 `json:"baseline_cpu_percent_per_node_change"`
	Heap           float64 `json:"baseline_heap_bytes_per_node"`
	WentBack       int     `json:"baseline_went_back"`
	HalfApplied    int     `json:"baseline_half_applied"`
	Missing        int     `json:"baseline_missing"`
	// BytesCompressed is BytesIdle with the snapshot compressed by zstd.
	BytesCompressed float64 `json:"baseline_compressed_control_bytes_per_node_s"`
}

// baselineObject is where the baseline keeps the whole snapshot, and pollEvery
// how often each node reads it.
const (
	baselineObject = "whole"
	pollEvery      = time.Second
)

// wholeSnapshot is the plain form of a snapshot.
type wholeSnapshot struct {
	Version config.Version  `json:"version"`
	Parent  config.Hash     `json:"parent"`
	Objects []config.Object `json:"objects"`
}

// pollers are the nodes of the baseline and the platform that they poll.
type pollers struct {
	store    *fake.Store
	platform *http.Server
	url      string
	nodes    []*poller
	operator *operator
	watch    *watch
	latest   *config.Snapshot
	bytes    atomic.Int64
	packed   atomic.Bool
	end      context.CancelFunc
	running  sync.WaitGroup
}

// poller is one node of the baseline.
type poller struct {
	p      *pollers
	client *client.Client
	store  *config.Store[*match.Matcher]
}

func measureBaseline(ctx context.Context, o SpreadOptions) (Baseline, error) {
	before := heap()
	p, err := startPollers(ctx, o.Nodes)
	if err != nil {
		return Baseline{}, err
	}
	defer p.close()
	m := measurement{o: o, settle: pollEvery, use: p.use, change: p.change, reached: p.reachedLast, watch: p.watch, operator: p.operator}
	s, err := m.run(ctx)
	if err != nil {
		return Baseline{}, err
	}
	b := Baseline{
		ConvergeP50ms: s.ConvergeP50ms, ConvergeP99ms: s.ConvergeP99ms, ConvergeMaxms: s.ConvergeMaxms,
		BytesIdle: s.BytesIdle, BytesChange: s.BytesChange, BytesPerChange: s.BytesPerChange,
		ReadsIdle: s.ReadsIdle, ReadsChange: s.ReadsChange, Writes: s.Writes,
		CPUIdle: s.CPUIdle, CPUChange: s.CPUChange,
		WentBack: s.WentBack, HalfApplied: s.HalfApplied, Missing: s.Missing,
		Heap: round((heap() - before) / float64(o.Nodes)),
	}
	b.BytesCompressed, err = p.compressed(ctx, o.Nodes)
	return b, err
}

func startPollers(ctx context.Context, nodes int) (*pollers, error) {
	p := &pollers{store: fake.New(), operator: newOperator(), latest: config.Empty()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.url = "http://" + ln.Addr().String()
	p.platform = &http.Server{Handler: server.New(p.store), ReadHeaderTimeout: time.Second}
	go func() { _ = p.platform.Serve(ln) }()
	ctx, p.end = context.WithCancel(ctx)
	var subjects []subject
	for range nodes {
		n, err := p.newPoller()
		if err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, n)
		subjects = append(subjects, n)
	}
	p.watch = newWatch(subjects)
	if err := p.operator.first(ctx, p); err != nil {
		return nil, err
	}
	for _, n := range p.nodes {
		p.running.Go(func() { n.run(ctx) })
	}
	return p, p.reachedLast(ctx)
}

func (p *pollers) newPoller() (*poller, error) {
	c, err := client.New(client.Options{URL: p.url, Dial: p.dial})
	if err != nil {
		return nil, err
	}
	s, err := config.NewStore(func(s *config.Snapshot) (*match.Matcher, error) { return match.Compile(s), nil })
	return &poller{p: p, client: c, store: s}, err
}

// Submit accepts every change and writes the whole snapshot.
func (p *pollers) Submit(ctx context.Context, cmd command.Command) command.Result {
	refused := command.Result{Command: cmd.ID, Outcome: command.Refused, Reason: command.ReasonInvalid}
	next, _, err := p.latest.Next(cmd.Set, cmd.Unset)
	if err != nil {
		refused.Detail = err.Error()
		return refused
	}
	if err := p.write(ctx, next); err != nil {
		refused.Detail = err.Error()
		return refused
	}
	p.latest = next
	return command.Result{Command: cmd.ID, Outcome: command.Accepted, Version: next.Version()}
}

func (p *pollers) write(ctx context.Context, s *config.Snapshot) error {
	if p.packed.Load() {
		b, err := config.EncodeSnapshot(s)
		return errors.Join(err, p.store.Objects().Put(ctx, baselineObject, b))
	}
	b, err := json.Marshal(wholeSnapshot{s.Version(), s.Parent(), s.Objects()})
	return errors.Join(err, p.store.Objects().Put(ctx, baselineObject, b))
}

func (p *pollers) change(ctx context.Context) error { return p.operator.change(ctx, p) }

// reachedLast waits until every node runs the last version.
func (p *pollers) reachedLast(ctx context.Context) error {
	last := p.operator.last().Number
	for _, n := range p.nodes {
		for n.store.Load().Snapshot.Version().Number < last {
			if err := wait.For(ctx, resolution); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *pollers) use() use {
	c := p.store.Counts()
	return use{at: time.Now(), bytes: p.bytes.Load(), cpu: processCPU(), reads: c.Reads, writes: c.Writes}
}

// compressedFor is how long the baseline is measured with compression.
const compressedFor = 5 * time.Second

func (p *pollers) compressed(ctx context.Context, nodes int) (float64, error) {
	p.packed.Store(true)
	if err := p.write(ctx, p.latest); err != nil {
		return 0, err
	}
	start := p.use()
	err := wait.For(ctx, compressedFor)
	return round(start.until(p.use()).bytesPerNode(nodes)), err
}

func (p *pollers) close() {
	p.end()
	p.running.Wait()
	p.watch.stop()
	p.platform.Close()
}

func (p *pollers) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &counted{c, &p.bytes}, nil
}

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// run polls until ctx ends, from a random moment of the second on.
func (n *poller) run(ctx context.Context) {
	defer n.client.Close()
	left := time.Duration(rand.Int64N(int64(pollEvery)))
	for wait.For(ctx, left) == nil {
		start := time.Now()
		n.poll(ctx)
		left = time.Until(start.Add(pollEvery))
	}
}

// poll reads the whole snapshot and offers it. A failed poll is made good by
// the next one.
func (n *poller) poll(ctx context.Context) {
	b, err := n.client.Objects().Get(ctx, baselineObject)
	if err != nil {
		return
	}
	s, err := decodeWhole(b)
	if err != nil {
		return
	}
	_, _ = n.store.Offer(s)
}

func decodeWhole(b []byte) (*config.Snapshot, error) {
	if len(b) > 0 && b[0] != '{' {
		return config.DecodeSnapshot(b)
	}
	var w wholeSnapshot
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, err
	}
	s, err := config.New(w.Version.Number, w.Parent, w.Objects)
	if err == nil && s.Version() != w.Version {
		err = config.ErrHashMismatch
	}
	return s, err
}

// observe implements subject.
func (n *poller) observe() (any, node.ServingState, bool) {
	f := n.store.Load()
	return n, node.ServingState{TakesCalls: true, Snapshot: f.Snapshot, ProgramVersion: f.Snapshot.Version()}, true
}
