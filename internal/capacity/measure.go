package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/settings"
)

// part is one measurement that runs in a process of its own, so that no other
// leaves its heap, goroutines or connections behind.
type part struct {
	args []string
	// take adds what the part printed to the raw figures.
	take func(r *Raw, b []byte) error
}

// partBound ends a part that hangs.
const partBound = 10 * time.Minute

// PlanOptions choose what is measured.
type PlanOptions struct {
	Sizes   []int // of meshes
	Repeats int   // of each mesh in the profile time
	// Rest is how long a mesh is left alone for each of its nodes.
	Rest time.Duration
	Only []string
}

// DefaultPlan returns the options of the command. More than some 220 nodes with
// announced backend servers need more than 20,000 open files in one process.
func DefaultPlan() PlanOptions {
	return PlanOptions{Sizes: []int{12, 36, 108, 200}, Repeats: 2, Rest: defaultRest}
}

// Names of the parts.
const (
	partMesh     = "mesh"
	partSpread   = "spread"
	partStorm    = "storm"
	partProcess  = "process"
	partBurst    = "burst"
	partCalls    = "calls"
	partChain    = "chain"
	partFlight   = "flight"
	partClaims   = "claims"
	partConfig   = "config"
	partSubset   = "subset"
	partReads    = "reads"
	partBench    = "bench"
	partGossip   = "gossip"
	burstNodes   = 36
	bytesProfile = settings.ProfileBytes
	timeProfile  = settings.ProfileTime
)

// partNames lists the parts in the order in which they run.
func partNames() []string {
	return []string{
		partConfig, partSubset, partReads, partBench, partCalls, partChain, partFlight, partClaims, partMesh, partBurst, partProcess, partSpread, partStorm, partGossip,
	}
}

// burstSizes are numbers of changes made in a burst, which leave connections
// open behind them.
func burstSizes() []int { return []int{25, 50, 100, 200} }

// plan returns the runs of one part.
func (o *PlanOptions) plan(name string) []part {
	switch name {
	case partMesh:
		return o.meshes()
	case partBurst:
		var out []part
		for _, n := range burstSizes() {
			out = append(out, meshPart(burstNodes, timeProfile, n, o.Rest))
		}
		return out
	case partSpread:
		return o.spreads()
	case partStorm:
		return o.storms()
	case partProcess:
		return o.processes()
	case partCalls:
		return []part{listPart(name, func(r *Raw) *[]CallPoint { return &r.Calls })}
	case partChain:
		return []part{listPart(name, func(r *Raw) *[]ChainPoint { return &r.Chains })}
	case partFlight:
		return []part{listPart(name, func(r *Raw) *[]FlightPoint { return &r.Flight })}
	case partClaims:
		return []part{listPart(name, func(r *Raw) *[]ClaimPoint { return &r.Claims })}
	case partConfig:
		return []part{listPart(name, func(r *Raw) *[]ConfigPoint { return &r.Configs })}
	case partSubset:
		return []part{listPart(name, func(r *Raw) *[]SubsetPoint { return &r.Subsets })}
	case partReads:
		return []part{listPart(name, func(r *Raw) *[]ReadPoint { return &r.Reads })}
	case partBench:
		return []part{listPart(name, func(r *Raw) *[]BenchPoint { return &r.Benches })}
	case partGossip:
		return []part{listPart(name, func(r *Raw) *[]GossipPoint { return &r.Gossip })}
	}
	return nil
}

// meshes takes all sizes in turn in each repeat, so that a busy spell of the
// machine does not fall on one size alone.
func (o *PlanOptions) meshes() []part {
	var out []part
	for i := range o.Repeats {
		for _, n := range o.Sizes {
			out = append(out, meshPart(n, timeProfile, 0, o.Rest))
			if i == 0 {
				out = append(out, meshPart(n, bytesProfile, 0, o.Rest))
			}
		}
	}
	return out
}

func (o *PlanOptions) spreads() []part {
	var out []part
	for i := range o.Repeats {
		for _, n := range o.Sizes {
			out = append(out, spreadPart(n, timeProfile))
			if i == 0 {
				out = append(out, spreadPart(n, bytesProfile))
			}
		}
	}
	return out
}

func (o *PlanOptions) storms() []part {
	var out []part
	for _, n := range o.Sizes {
		out = append(out, part{args: []string{partStorm, strconv.Itoa(n)}, take: func(r *Raw, b []byte) error {
			var p StormPoint
			err := json.Unmarshal(b, &p)
			r.Storms = append(r.Storms, p)
			return err
		}})
	}
	return out
}

func (o *PlanOptions) processes() []part {
	var out []part
	for _, n := range o.Sizes {
		out = append(out, part{args: []string{partProcess, strconv.Itoa(n)}, take: func(r *Raw, b []byte) error {
			var p ProcessPoint
			err := json.Unmarshal(b, &p)
			r.Alone = append(r.Alone, p)
			return err
		}})
	}
	return out
}

func spreadPart(nodes int, profile string) part {
	return part{args: []string{partSpread, strconv.Itoa(nodes), profile}, take: func(r *Raw, b []byte) error {
		var p SpreadPoint
		err := json.Unmarshal(b, &p)
		r.Spreads = append(r.Spreads, p)
		return err
	}}
}

func meshPart(nodes int, profile string, prior int, rest time.Duration) part {
	return part{
		args: []string{partMesh, strconv.Itoa(nodes), profile, strconv.Itoa(prior), settleFor(nodes, rest).String()},
		take: func(r *Raw, b []byte) error {
			var p MeshPoint
			err := json.Unmarshal(b, &p)
			r.Mesh = append(r.Mesh, p)
			return err
		},
	}
}

// listPart is a part that prints a list, which takes the place of the one in
// the raw figures.
func listPart[T any](name string, field func(*Raw) *[]T) part {
	return part{args: []string{name}, take: func(r *Raw, b []byte) error {
		var list []T
		if err := json.Unmarshal(b, &list); err != nil {
			return err
		}
		*field(r) = list
		return nil
	}}
}

// runPart measures one part in this process and returns its figures.
func runPart(ctx context.Context, args []string) (any, error) {
	switch args[0] {
	case partMesh:
		return runMeshPart(ctx, args[1:])
	case partSpread:
		return runSpreadPart(ctx, args[1:])
	case partStorm:
		return runStormPart(ctx, args[1:])
	case partProcess:
		return runProcessPart(ctx, args[1:])
	case partCalls:
		return MeasureCalls(ctx, DefaultCalls())
	case partChain:
		return MeasureChain(ctx, DefaultChain())
	case partFlight:
		return MeasureFlight(ctx)
	case partClaims:
		return MeasureClaims(ctx, DefaultClaims())
	case partConfig:
		return MeasureConfigs()
	case partSubset:
		return MeasureSubsets(), nil
	case partReads:
		return MeasureReads(ctx)
	case partBench:
		return MeasureBenches(ctx)
	case partGossip:
		return MeasureGossip(ctx)
	}
	return nil, fmt.Errorf("%w: no part is called %q", errUsage, args[0])
}

// Measure runs the plan and writes the raw figures to a file after each part,
// so that what was measured stays when a later part fails.
func Measure(ctx context.Context, o PlanOptions, path string, log io.Writer) error {
	r, err := Read(path)
	if os.IsNotExist(err) {
		r = new(Raw)
	} else if err != nil {
		return err
	}
	r.Machine = Machine{GoVersion: runtime.Version(), Arch: runtime.GOOS + "/" + runtime.GOARCH, Cores: runtime.NumCPU()}
	for _, name := range o.Only {
		r.forget(name)
		if err := runInTurn(ctx, o.plan(name), r, path, log); err != nil {
			return err
		}
	}
	return nil
}

// runInTurn runs parts one after the other and keeps what each gave.
func runInTurn(ctx context.Context, parts []part, r *Raw, path string, log io.Writer) error {
	for _, p := range parts {
		out, err := p.run(ctx, log)
		if err != nil {
			return err
		}
		if err := p.take(r, out); err != nil {
			return err
		}
		if err := r.Write(path); err != nil {
			return err
		}
	}
	return nil
}

// forget drops the meshes of a part that is measured again. The other parts
// replace theirs when they end.
func (r *Raw) forget(name string) {
	switch name {
	case partMesh:
		r.Mesh = slices.DeleteFunc(r.Mesh, func(p MeshPoint) bool { return !p.burst() })
	case partBurst:
		r.Mesh = slices.DeleteFunc(r.Mesh, func(p MeshPoint) bool { return p.burst() })
	case partSpread:
		r.Spreads = nil
	case partStorm:
		r.Storms = nil
	case partProcess:
		r.Alone = nil
	}
}

// burst tells whether the mesh belongs to the series of bursts.
func (p *MeshPoint) burst() bool { return p.Prior > 0 }

// run runs the part in another process of this program.
func (p *part) run(ctx context.Context, log io.Writer) ([]byte, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, partBound)
	defer cancel()
	start := time.Now()
	fmt.Fprintf(log, "capacity: %v, load average %.1f\n", p.args, loadAverage())
	cmd := exec.CommandContext(ctx, self, append([]string{"part"}, p.args...)...)
	cmd.Stderr = log
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("capacity: part %v: %w", p.args, err)
	}
	fmt.Fprintf(log, "capacity: %v took %s\n", p.args, time.Since(start).Round(100*time.Millisecond))
	return out, nil
}
