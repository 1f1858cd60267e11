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

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/settings"
)

// part is one measurement that runs in a process of its own, so that no other
// leaves its heap, goroutines or connections behind.
type part struct {
	args []string
	// together parts of the same name run at the same time.
	together bool
	// take adds what the part printed to the raw figures.
	take func(r *Raw, b []byte) error
}

// partBound ends a part that hangs.
const partBound = 10 * time.Minute

// PlanOptions choose what is measured.
type PlanOptions struct {
	Sizes   []int // of meshes
	Repeats int   // of each mesh in the profile time
	Only    []string
}

// DefaultPlan returns the options that the page's figures are made with.
func DefaultPlan() PlanOptions { return PlanOptions{Sizes: []int{12, 36, 108, 240}, Repeats: 3} }

// Names of the parts.
const (
	partMesh     = "mesh"
	partIdle     = "idle"
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
		partConfig, partSubset, partReads, partBench, partCalls, partChain, partFlight, partClaims, partMesh, partBurst, partIdle, partGossip,
	}
}

// burstSizes are numbers of changes made in a burst, which leave connections
// open behind them.
func burstSizes() []int { return []int{0, 25, 50, 100, 200} }

// plan returns the runs of one part.
func (o *PlanOptions) plan(name string) []part {
	switch name {
	case partMesh:
		return o.meshes()
	case partBurst:
		var out []part
		for _, n := range burstSizes() {
			out = append(out, meshPart(burstNodes, timeProfile, n, shortSettle))
		}
		return out
	case partIdle:
		return o.settled()
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
			out = append(out, meshPart(n, timeProfile, 0, shortSettle))
			if i == 0 {
				out = append(out, meshPart(n, bytesProfile, 0, shortSettle))
			}
		}
	}
	return out
}

// settled returns meshes that are left alone until nothing of their start is on
// its way any more. They run at the same time: what they spend in bytes and
// processor time depends little on how busy the machine is, and the longest
// takes minutes.
func (o *PlanOptions) settled() []part {
	var out []part
	for _, n := range o.Sizes {
		for _, profile := range []string{timeProfile, bytesProfile} {
			p := meshPart(n, profile, 0, settleFor(n))
			p.together = true
			out = append(out, p)
		}
	}
	return out
}

// shortSettle is long enough for every node to know all others, but not for
// messages to carry nothing but probes again.
const shortSettle = 20 * time.Second

// settleFor is how long a mesh takes from its start until messages carry
// nothing of it any more: each of n records rides on up to 12 messages of
// every node, about 130 bytes each, and a node's messages have room for some
// 1,100 bytes a second.
func settleFor(nodes int) time.Duration {
	return shortSettle + time.Duration(nodes)*1400*time.Millisecond
}

func meshPart(nodes int, profile string, prior int, settle time.Duration) part {
	return part{
		args: []string{partMesh, strconv.Itoa(nodes), profile, strconv.Itoa(prior), settle.String()},
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

func runMeshPart(ctx context.Context, args []string) (any, error) {
	if len(args) < 3 || len(args) > 4 {
		return nil, fmt.Errorf("%w: mesh wants NODES PROFILE PRIOR-CHANGES [SETTLE]", errUsage)
	}
	nodes, err := strconv.Atoi(args[0])
	if err != nil || nodes < 1 {
		return nil, fmt.Errorf("%w: %q is no number of nodes", errUsage, args[0])
	}
	prior, err := strconv.Atoi(args[2])
	if err != nil || prior < 0 {
		return nil, fmt.Errorf("%w: %q is no number of changes", errUsage, args[2])
	}
	o := DefaultMesh(nodes, args[1])
	o.Prior = prior
	if len(args) == 4 {
		if o.Settle, err = time.ParseDuration(args[3]); err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	return MeasureMesh(ctx, o)
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
		parts := o.plan(name)
		if len(parts) > 0 && parts[0].together {
			err = runTogether(ctx, parts, r, log)
		} else {
			err = runInTurn(ctx, parts, r, path, log)
		}
		if err != nil {
			return err
		}
		if err := r.Write(path); err != nil {
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

func runTogether(ctx context.Context, parts []part, r *Raw, log io.Writer) error {
	outs := make([][]byte, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range parts {
		g.Go(func() (err error) {
			outs[i], err = p.run(ctx, log)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, p := range parts {
		if err := p.take(r, outs[i]); err != nil {
			return err
		}
	}
	return nil
}

// forget drops the meshes of a part that is measured again. Other parts replace
// theirs when they end.
func (r *Raw) forget(name string) {
	switch name {
	case partMesh:
		r.Mesh = slices.DeleteFunc(r.Mesh, func(p MeshPoint) bool { return !p.settled() && p.Prior == 0 && p.Nodes != 0 })
	case partBurst:
		r.Mesh = slices.DeleteFunc(r.Mesh, func(p MeshPoint) bool { return p.burst() })
	case partIdle:
		r.Mesh = slices.DeleteFunc(r.Mesh, func(p MeshPoint) bool { return p.settled() })
	}
}

// settled tells whether the mesh was left alone until its messages were empty.
func (p *MeshPoint) settled() bool { return p.Settle >= settleFor(p.Nodes).Seconds() }

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
