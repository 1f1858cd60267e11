package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marlpass/marlpass/internal/wait"
)

// SpreadOptions are the flags of the subcommand spread.
type SpreadOptions struct {
	Nodes   int
	Changes int
	Profile string
	// Every is the time between two changes, and Idle how long the mesh is
	// measured without any.
	Every, Idle time.Duration
	// Settle lets what follows the start die down before the idle time.
	Settle time.Duration
}

// Spreading is how versions got around and what that cost, whether by marlpass
// or by the baseline.
type Spreading struct {
	ConvergeP50ms float64 `json:"converge_p50_ms"`
	ConvergeP99ms float64 `json:"converge_p99_ms"`
	ConvergeMaxms float64 `json:"converge_max_ms"`
	// Bytes are those of a node's connections, both ways, with HTTP.
	BytesIdle      float64 `json:"control_bytes_per_node_s"`
	BytesChange    float64 `json:"control_bytes_per_node_s_change"`
	BytesPerChange float64 `json:"bytes_per_node_per_change"` // above idle
	ReadsIdle      float64 `json:"platform_reads_s"`
	ReadsChange    float64 `json:"platform_reads_s_change"`
	Writes         float64 `json:"platform_writes_per_change"`
	CPUIdle        float64 `json:"cpu_percent_per_node"` // of one core
	CPUChange      float64 `json:"cpu_percent_per_node_change"`
	Heap           float64 `json:"heap_bytes_per_node"`
	WentBack       int     `json:"went_back"`
	HalfApplied    int     `json:"half_applied"`
	// Missing counts nodes that did not reach a version, once for each.
	Missing int `json:"missing"`
}

// SpreadReport is what the subcommand spread prints.
type SpreadReport struct {
	Nodes        int     `json:"nodes"`
	Changes      int     `json:"changes"`
	Profile      string  `json:"profile"`
	ResolutionMs float64 `json:"resolution_ms"`
	Spreading
	FalseSuspicions uint64 `json:"false_suspicions"`
	Baseline
	// The ratios are the baseline's idle bytes to marlpass's: plain, and with
	// the polled snapshot compressed.
	BytesRatio           float64 `json:"baseline_to_marlpass_bytes"`
	BytesRatioCompressed float64 `json:"baseline_compressed_to_marlpass_bytes"`
}

// MeasureSpread measures a mesh and then the baseline.
func MeasureSpread(ctx context.Context, o SpreadOptions) (*SpreadReport, error) {
	rep := &SpreadReport{Nodes: o.Nodes, Changes: o.Changes, Profile: o.Profile, ResolutionMs: ms(resolution)}
	if err := rep.mesh(ctx, o); err != nil {
		return nil, err
	}
	var err error
	if rep.Baseline, err = measureBaseline(ctx, o); err != nil {
		return nil, err
	}
	rep.BytesRatio = round(rep.Baseline.BytesIdle / rep.Spreading.BytesIdle)
	rep.BytesRatioCompressed = round(rep.Baseline.BytesCompressed / rep.Spreading.BytesIdle)
	return rep, nil
}

func (r *SpreadReport) mesh(ctx context.Context, o SpreadOptions) error {
	before := heap()
	f, err := startFleet(ctx, o.Nodes, o.Profile)
	if err != nil {
		return err
	}
	defer f.close()
	m := measurement{o: o, settle: o.Settle, use: f.use, change: f.changeAnywhere, reached: f.reachedLast, watch: f.watch, operator: f.operator}
	if r.Spreading, err = m.run(ctx); err != nil {
		return err
	}
	r.Spreading.Heap = round((heap() - before) / float64(o.Nodes))
	for _, n := range f.Nodes() {
		r.FalseSuspicions += n.MembershipStats().FalseSuspicions
	}
	return nil
}

// use returns what the fleet had taken by now.
func (f *fleet) use() use {
	c := f.Store.Counts()
	return use{at: time.Now(), bytes: f.controlBytes(), cpu: processCPU(), reads: c.Reads, writes: c.Writes}
}

// changeAnywhere has a random node take a change.
func (f *fleet) changeAnywhere(ctx context.Context) error {
	ns := f.Nodes()
	return f.operator.change(ctx, ns[rand.IntN(len(ns))])
}

func (f *fleet) reachedLast(ctx context.Context) error {
	return f.WaitVersion(ctx, f.operator.last().Number)
}

// measurement is one run over idle time and changes. The mesh and the baseline
// are measured by the same one.
type measurement struct {
	o SpreadOptions
	// settle lets what follows the start die down before the idle time.
	settle   time.Duration
	use      func() use
	change   func(context.Context) error
	reached  func(context.Context) error
	watch    *watch
	operator *operator
}

func (m *measurement) run(ctx context.Context) (Spreading, error) {
	if err := wait.For(ctx, m.settle); err != nil {
		return Spreading{}, err
	}
	start := m.use()
	if err := wait.For(ctx, m.o.Idle); err != nil {
		return Spreading{}, err
	}
	idle := m.use()
	known := len(m.operator.versions)
	if err := m.changes(ctx); err != nil {
		return Spreading{}, err
	}
	end := m.use()
	m.watch.accept(m.operator.versions)
	m.watch.look(time.Now()) // the last node may have got there since
	s := m.sum(start.until(idle), idle.until(end))
	delays, missing := m.watch.delays(m.operator.versions[known:])
	s.ConvergeP50ms, s.ConvergeP99ms = quantile(delays, 0.5), quantile(delays, 0.99)
	s.ConvergeMaxms, s.Missing = quantile(delays, 1), missing
	s.WentBack, s.HalfApplied = m.watch.stepsBack(), m.watch.halfApplied()
	return s, ctx.Err()
}

// settleFor is how long a mesh settles, whose nodes still tell each other of
// their starts.
const settleFor = 5 * time.Second

func (m *measurement) changes(ctx context.Context) error {
	start := time.Now()
	for i := range m.o.Changes {
		if err := wait.For(ctx, time.Until(start.Add(time.Duration(i)*m.o.Every))); err != nil {
			return err
		}
		if err := m.change(ctx); err != nil {
			return fmt.Errorf("change %d: %w", i+1, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, spreadBound)
	defer cancel()
	// A node that is still missing is reported, not an error.
	_ = m.reached(ctx)
	return nil
}

func (m *measurement) sum(idle, change cost) Spreading {
	n, changes := m.o.Nodes, float64(m.o.Changes)
	extra := change.bytes - idle.bytes*change.took.Seconds()/idle.took.Seconds()
	return Spreading{
		BytesIdle:      round(idle.bytesPerNode(n)),
		BytesChange:    round(change.bytesPerNode(n)),
		BytesPerChange: round(extra / changes / float64(n)),
		ReadsIdle:      round(idle.reads / idle.took.Seconds()),
		ReadsChange:    round(change.reads / change.took.Seconds()),
		Writes:         round(change.writes / changes),
		CPUIdle:        round(idle.cpuPerNode(n)),
		CPUChange:      round(change.cpuPerNode(n)),
	}
}
