package control

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
)

// centres are the data centres of every fleet: five in two regions.
var centres = []localmesh.DataCentre{
	{Name: "dc1", Region: "west"},
	{Name: "dc2", Region: "west"},
	{Name: "dc3", Region: "west"},
	{Name: "dc4", Region: "east"},
	{Name: "dc5", Region: "east"},
}

func centreNames() []string {
	var out []string
	for _, c := range centres {
		out = append(out, c.Name)
	}
	return out
}

// Bounds on the waits of a measurement.
const (
	startBound  = 90 * time.Second
	spreadBound = 30 * time.Second
)

// fleet is a mesh that is measured, with its one operator.
type fleet struct {
	*localmesh.Mesh
	operator *operator
	watch    *watch
}

// startFleet starts nodes nodes and waits until each carries traffic, sees all
// others, and runs the first configuration.
func startFleet(ctx context.Context, nodes int, profile string) (*fleet, error) {
	dcs := append([]localmesh.DataCentre(nil), centres...)
	for i := range nodes {
		dcs[i%len(dcs)].VMs++
	}
	m, err := localmesh.Start(localmesh.Options{
		Name: "measured", Profile: profile, DataCentres: dcs, Log: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{Mesh: m, operator: newOperator()}
	f.watch = newWatch(f.subjects())
	if err := f.settle(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return fmt.Errorf("nodes are not ready: %w", err)
	}
	if err := f.waitViews(ctx); err != nil {
		return fmt.Errorf("nodes do not see each other: %w", err)
	}
	if err := f.operator.first(ctx, f.VMs[0].Node()); err != nil {
		return err
	}
	f.watch.accept(f.operator.versions)
	return f.WaitVersion(ctx, f.operator.last().Number)
}

// waitViews waits until every running node sees the latest start of every
// running node alive.
func (f *fleet) waitViews(ctx context.Context) error {
	return f.WaitFor(ctx, func(n *node.Node) bool { return f.wholeView(n) })
}

func (f *fleet) wholeView(n *node.Node) bool {
	v := n.View()
	for _, vm := range f.VMs {
		other := vm.Node()
		if other == nil {
			continue
		}
		r := v.Records[vm.ID]
		if r == nil || r.State != membership.VMAlive || r.VM.Incarnation != other.Incarnation() {
			return false
		}
	}
	return true
}

// inCentre returns the VMs of a data centre.
func (f *fleet) inCentre(name string) []*localmesh.VM {
	var out []*localmesh.VM
	for _, vm := range f.VMs {
		if vm.DataCentre == name {
			out = append(out, vm)
		}
	}
	return out
}

// controlBytes returns the bytes of all running nodes' connections, with each
// other and with the platform, as each node sees them.
func (f *fleet) controlBytes() int64 {
	var sum int64
	for _, n := range f.Nodes() {
		in, out := n.ControlBytes()
		sum += int64(in + out)
	}
	in, out := f.Cuts.PlatformBytes()
	return sum + in + out
}

func (f *fleet) close() {
	f.watch.stop()
	f.Close()
}
