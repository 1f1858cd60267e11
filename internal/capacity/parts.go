package capacity

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/load/control"
)

// defaultRest is how long a mesh is left alone for each of its nodes. 108 nodes
// needed less than that: 45 s after their start they moved as few bytes as
// three minutes after it.
const defaultRest = 250 * time.Millisecond

// settleFor is how long a mesh is left alone after its start, so that its
// messages no longer carry the records of the start.
func settleFor(nodes int, rest time.Duration) time.Duration {
	return 20*time.Second + time.Duration(nodes)*rest
}

func runMeshPart(ctx context.Context, args []string) (any, error) {
	if len(args) < 3 || len(args) > 4 {
		return nil, fmt.Errorf("%w: mesh wants NODES PROFILE PRIOR-CHANGES [SETTLE]", errUsage)
	}
	nodes, err := nodesOf(args[0])
	if err != nil {
		return nil, err
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

func nodesOf(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 {
		return 0, fmt.Errorf("%w: %q is no number of nodes", errUsage, s)
	}
	return n, nil
}

// Options of the measurements that marlpass-load makes too.
const (
	spreadChanges = 8
	spreadEvery   = 1500 * time.Millisecond
	spreadIdle    = 6 * time.Second
	spreadSettle  = 20 * time.Second
	stormDown     = 5 * time.Second
	stormCentres  = 1
)

func runSpreadPart(ctx context.Context, args []string) (any, error) {
	if len(args) != 2 {
		return nil, fmt.Errorf("%w: spread wants NODES PROFILE", errUsage)
	}
	nodes, err := nodesOf(args[0])
	if err != nil {
		return nil, err
	}
	p := SpreadPoint{Load: Load{Before: loadAverage()}}
	rep, err := control.MeasureSpread(ctx, control.SpreadOptions{
		Nodes: nodes, Profile: args[1], Changes: spreadChanges,
		Every: spreadEvery, Idle: spreadIdle, Settle: spreadSettle,
	})
	if err != nil {
		return nil, err
	}
	p.Report, p.After = *rep, loadAverage()
	return p, nil
}

func runStormPart(ctx context.Context, args []string) (any, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("%w: storm wants NODES", errUsage)
	}
	nodes, err := nodesOf(args[0])
	if err != nil {
		return nil, err
	}
	p := StormPoint{Load: Load{Before: loadAverage()}}
	rep, err := control.MeasureStorm(ctx, control.StormOptions{
		Nodes: nodes, Profile: timeProfile, Centres: stormCentres, Down: stormDown,
	})
	if err != nil {
		return nil, err
	}
	p.Report, p.After = *rep, loadAverage()
	return p, nil
}

func runProcessPart(ctx context.Context, args []string) (any, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("%w: process wants NODES", errUsage)
	}
	nodes, err := nodesOf(args[0])
	if err != nil {
		return nil, err
	}
	return MeasureProcess(ctx, DefaultProcess(nodes))
}
