package capacity

import "github.com/marlpass/marlpass/internal/load/control"

// Lines returns all lines.
func Lines(r *Raw) []Line {
	var out []Line
	out = append(out, idleLines(r)...)
	out = append(out, changeLines(r)...)
	out = append(out, memoryLines(r)...)
	out = append(out, virtualLines(r)...)
	out = append(out, stateLines(r)...)
	return append(out, callLines(r)...)
}

// find returns the line of an ID.
func find(lines []Line, id string) *Line {
	for i := range lines {
		if lines[i].ID == id {
			return &lines[i]
		}
	}
	return &Line{ID: id}
}

// percentOfCore turns seconds of processor time a second into a percentage.
const percentOfCore = 100

func byNodes(l Line) Line {
	l.X, l.AtN = "nodes", sizeNodes
	return l
}

// idleLines are what a node spends when nothing changes.
func idleLines(r *Raw) []Line {
	read := NewFit(Linear, readPoints(r)).B
	alone := func(f func(*ProcessPoint) float64) []Point {
		return medians(r.Alone, all[ProcessPoint], func(p *ProcessPoint) Point { return Point{float64(p.Nodes), f(p)} })
	}
	return []Line{
		byNodes(Line{
			ID: "alone-cpu", Name: "processor time of an idle marlpass-node in a process of its own", Unit: "% of a core",
			Mechanism: "tickers of `membership.Runner` (100 ms) and `node.Node` (50 ms), each of which wakes the process; probes, collections",
			Fit:       NewFit(Linear, alone(func(p *ProcessPoint) float64 { return p.CPUIdle * percentOfCore })),
			Goal:      goalCPU, Limit: limitCPU,
		}),
		byNodes(Line{
			ID: "alone-change-cpu", Name: "its processor time for one change", Unit: "ms",
			Mechanism: "as `change-cpu`, and its collections",
			Fit: NewFit(Linear, alone(func(p *ProcessPoint) float64 {
				return (p.CPUChanging - p.CPUIdle) * p.Seconds / float64(max(p.Changes, 1)) * 1e3
			})),
		}),
		byNodes(Line{
			ID: "alone-rss", Name: "its resident memory", Unit: "MB",
			Mechanism: "program text, runtime, and as `heap`",
			Fit:       NewFit(Linear, alone(func(p *ProcessPoint) float64 { return p.RSS / mb })),
			Goal:      goalMemory, Limit: limitMemory,
		}),
		byNodes(Line{
			ID: "idle-bytes", Name: "control bytes of an idle node, in and out", Unit: "B/s",
			Mechanism: "probes and bridges, `membership.State` over `peer.Client`; bridges are a cost of each data centre, shared by its nodes",
			Fit:       NewFit(Shared, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.BytesIn + p.Idle.BytesOut })),
			Goal:      goalBytes, Limit: limitBytes,
		}),
		byNodes(Line{
			ID: "idle-bytes-busiest", Name: "the same, busiest node (a bridge)", Unit: "B/s",
			Mechanism: "`membership.State` (tickBridges): two bridges a data centre speak with every other",
			Fit:       NewFit(Logarithmic, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.Busiest })),
			Goal:      goalBytes, Limit: limitBytes,
		}),
		byNodes(Line{
			ID: "idle-messages", Name: "messages sent and answered by an idle node", Unit: "1/s",
			Mechanism: "`membership.Config.ProbeEvery`, `BridgeEvery`",
			Fit:       NewFit(Shared, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.Messages() })),
		}),
		byNodes(Line{
			ID: "idle-cpu", Name: "processor time of an idle node, many in one process", Unit: "% of a core",
			Mechanism: "tickers of `membership.Runner` (100 ms) and `node.Node` (50 ms), messages, one announcement a second; the stand-in platform and both ends of each connection are in it",
			Fit:       NewFit(Shared, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.CPU * percentOfCore })),
			Goal:      goalCPU, Limit: limitCPU,
		}),
		byNodes(Line{
			ID: "idle-cpu-less", Name: "the same, less what the reads of the platform cost at both ends", Unit: "% of a core",
			Mechanism: "as above",
			Fit: NewFit(Shared, r.restPoints(timeProfile, func(p *MeshPoint) float64 {
				return (p.Idle.CPU - p.Idle.Reads*read/float64(p.Nodes)) * percentOfCore
			})),
			Goal: goalCPU, Limit: limitCPU,
		}),
		byNodes(Line{
			ID: "reads", Name: "platform reads of the whole mesh, profile `time`", Unit: "1/s",
			Mechanism: "two feeders a data centre, `distribute.State` (feed.go), each `Profile.HeadEvery`",
			Fit:       NewFit(Linear, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.Reads })),
			Goal:      goalReads, Limit: platformRead,
		}),
		byNodes(Line{
			ID: "reads-bytes", Name: "the same, profile `bytes`", Unit: "1/s",
			Mechanism: "as above",
			Fit:       NewFit(Linear, r.restPoints(bytesProfile, func(p *MeshPoint) float64 { return p.Idle.Reads })),
			Goal:      goalReads, Limit: platformRead,
		}),
	}
}

func readPoints(r *Raw) []Point {
	return medians(r.Reads, all[ReadPoint], func(p *ReadPoint) Point { return Point{p.Rate, p.CPU} })
}

// perChange returns what one change costs a node above the idle cost.
func perChange(p *MeshPoint, idle, changing float64) float64 {
	return (changing - idle) * p.Changing.Seconds / float64(max(p.Changes, 1))
}

func bytesPerChange(p *MeshPoint) float64 {
	return perChange(p, p.Idle.BytesIn+p.Idle.BytesOut, p.Changing.BytesIn+p.Changing.BytesOut)
}

// changeLines are what a change costs.
func changeLines(r *Raw) []Line {
	cpu := func(p *MeshPoint) float64 { return perChange(p, p.Idle.CPU, p.Changing.CPU) * 1e3 }
	writes := func(p *control.SpreadReport) float64 { return p.Spreading.Writes }
	force := func(p *control.SpreadReport) float64 { return p.Spreading.ConvergeP99ms }
	return []Line{
		byNodes(Line{
			ID: "change-bytes", Name: "control bytes of a node for one change, in and out, profile `time`", Unit: "B",
			Mechanism: "the tree of `distribute.State` (tell.go, tree.go), once a node, and 20 messages between data centres that all share; the bits of who holds it, which grow with the fleet, show in `v-held-bytes`",
			Fit:       NewFit(Shared, r.restPoints(timeProfile, bytesPerChange)),
		}),
		byNodes(Line{
			ID: "change-bytes-bytes", Name: "the same, profile `bytes`", Unit: "B",
			Mechanism: "as above, without those between data centres",
			Fit:       NewFit(Shared, r.restPoints(bytesProfile, bytesPerChange)),
		}),
		byNodes(Line{
			ID: "change-cpu", Name: "processor time of a node for one change", Unit: "ms",
			Mechanism: "`config.Delta.Apply`, `Check`, compile; then new views as nodes are known to hold the version, each with `membership.State.View` and `node` pickers.update over what changed",
			Fit:       NewFit(Linear, r.restPoints(timeProfile, cpu)),
		}),
		byNodes(Line{
			ID: "change-writes", Name: "platform writes for one change", Unit: "1",
			Mechanism: "one transaction by `command.Committer`; the contact rows and the lease of the same seconds are in it",
			Fit:       NewFit(Linear, r.spreadPoints(timeProfile, writes)),
		}),
		byNodes(Line{
			ID: "force-time", Name: "in force at 99 of 100 nodes, profile `time`", Unit: "ms",
			Mechanism: "depth of the tree, fan-out 4, `distribute.Profile`; all nodes share one machine here",
			Fit:       NewFit(Logarithmic, r.spreadPoints(timeProfile, force)),
			Goal:      goalForce, Limit: limitForce,
		}),
		byNodes(Line{
			ID: "force-bytes", Name: "in force at 99 of 100 nodes, profile `bytes`", Unit: "ms",
			Mechanism: "depth of the tree, fan-out 8, half a second of collecting at each step",
			Fit:       NewFit(Logarithmic, r.spreadPoints(bytesProfile, force)),
			Goal:      goalForceB, Limit: limitForce,
		}),
		byNodes(Line{
			ID: "storm", Name: "three quarters of a data centre return: until all are ready, see all and hold the last version", Unit: "ms",
			Mechanism: "joins capped at each node, `membership.Config.JoinsPerSecond`, with full jitter (join.go); `distribute` (restart)",
			Fit:       NewFit(Logarithmic, r.stormPoints(func(p *control.StormReport) float64 { return p.RecoverMs })),
			Goal:      goalStorm,
		}),
		byNodes(Line{
			ID: "storm-reads", Name: "platform reads in the worst second of it, whole mesh", Unit: "1/s",
			Mechanism: "as above: snapshots come from peers",
			Fit:       NewFit(Linear, r.stormPoints(func(p *control.StormReport) float64 { return p.PeakReads })),
			Goal:      goalReads, Limit: platformRead,
		}),
		byNodes(Line{
			ID: "storm-bytes", Name: "bytes in the worst second of it, one returned node", Unit: "B/s",
			Mechanism: "full state of `membership` and a snapshot for each",
			Fit: NewFit(Linear, r.stormPoints(func(p *control.StormReport) float64 {
				return p.PeakJoinBytes / float64(max(p.Killed, 1))
			})),
		}),
	}
}

// memoryLines are what a node holds.
func memoryLines(r *Raw) []Line {
	return []Line{
		byNodes(Line{
			ID: "heap", Name: "live heap of a node", Unit: "MB",
			Mechanism: "`membership.State` and `View`, pickers, the version in force, buffers of connections",
			Fit:       NewFit(Linear, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Heap / mb })),
			Goal:      goalMemory, Limit: limitMemory,
		}),
		byNodes(Line{
			ID: "rss", Name: "resident memory that a node adds to a process", Unit: "MB",
			Mechanism: "as above, and stacks: two goroutines at either end of each connection",
			Fit:       NewFit(Linear, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.RSS / mb })),
			Goal:      goalMemory, Limit: limitMemory,
		}),
		byNodes(Line{
			ID: "files", Name: "open files of a node", Unit: "1",
			Mechanism: "7 listeners; ring and fingers of `membership` (ring.go, about log2 n of them) at both ends; connections of `peer.Client` and to the platform",
			Fit:       NewFit(Logarithmic, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Files })),
		}),
		byNodes(Line{
			ID: "goroutines", Name: "goroutines of a node", Unit: "1",
			Mechanism: "as above",
			Fit:       NewFit(Logarithmic, r.restPoints(timeProfile, func(p *MeshPoint) float64 { return p.Idle.Goroutines })),
		}),
		{
			ID: "connection", Name: "heap and stacks of a node that holds connections open after a burst", Unit: "MB",
			Mechanism: "`peer.Client` keeps up to 512 idle connections for 30 minutes; a tree laid anew for each version leads to new peers each time",
			X:         "open files", AtN: burstFiles,
			Fit:  NewFit(Linear, r.burstPoints(func(p *MeshPoint) float64 { return (p.Heap + p.Stack) / mb })),
			Goal: goalMemory, Limit: limitMemory,
		},
	}
}

// burstFiles are the open files of a node after a burst of changes that led it
// to as many peers as it keeps connections to, at both ends.
const burstFiles = 2 * 512

// virtualLines are from state machines in virtual time, which reach the size
// itself.
func virtualLines(r *Raw) []Line {
	gossip := func(m Model, f func(*GossipPoint) float64) Fit {
		return NewFit(m, medians(r.Gossip, all[GossipPoint], func(p *GossipPoint) Point { return Point{float64(p.Nodes), f(p)} }))
	}
	return []Line{
		byNodes(Line{
			ID: "v-idle-bytes", Name: "control bytes of an idle node, in virtual time", Unit: "B/s", Mechanism: "`membership.State`",
			Fit:  gossip(Shared, func(p *GossipPoint) float64 { return p.Bytes }),
			Goal: goalBytes, Limit: limitBytes,
		}),
		byNodes(Line{
			ID: "v-held-bytes", Name: "bytes of a node until all know who holds a new version, in virtual time", Unit: "B", Mechanism: "`membership` (held.go)",
			Fit: gossip(Linear, func(p *GossipPoint) float64 { return p.AppliedBytes }),
		}),
		byNodes(Line{
			ID: "v-lazy", Name: "a change to a record known to all, in virtual time", Unit: "ms", Mechanism: "`membership` (gossip.go), 2·log2 n messages",
			Fit: gossip(Logarithmic, func(p *GossipPoint) float64 { return p.LazyMS }),
		}),
		byNodes(Line{
			ID: "v-force-time", Name: "in force at 99 of 100 nodes, `time`, in virtual time", Unit: "ms", Mechanism: "`distribute.State`; 2 ms within a data centre, 10 and 60 between",
			Fit:  NewFit(Logarithmic, r.spreadBench("time", "p99_ms")),
			Goal: goalForce, Limit: limitForce,
		}),
		byNodes(Line{
			ID: "v-force-bytes", Name: "in force at 99 of 100 nodes, `bytes`, in virtual time", Unit: "ms", Mechanism: "as above",
			Fit:  NewFit(Logarithmic, r.spreadBench("bytes", "p99_ms")),
			Goal: goalForceB, Limit: limitForce,
		}),
		byNodes(Line{
			ID: "v-tell-bytes", Name: "bytes of a node to spread one change, `time`, in virtual time", Unit: "B", Mechanism: "`distribute.State`: once a node; 20 messages between data centres",
			Fit: NewFit(Shared, r.spreadBench("time", "B/node/change")),
		}),
	}
}

// stateLines are the parts of a node's state by its size.
func stateLines(r *Raw) []Line {
	records := func(l Line) Line { l.X, l.AtN = "records", sizeNodes; return l }
	byTargets := func(l Line, f func(*ConfigPoint) float64) Line {
		l.X, l.AtN = "targets", sizeTargets
		l.Fit = NewFit(Linear, medians(r.Configs, all[ConfigPoint], func(p *ConfigPoint) Point { return Point{float64(p.Targets), f(p)} }))
		return l
	}
	return []Line{
		records(Line{
			ID: "members-heap", Name: "heap of membership and view", Unit: "MB", Mechanism: "`membership.State`, `View`",
			Fit: NewFit(Linear, r.benchPoints("Heap", "heap-B", 1/mb)),
		}),
		records(Line{
			ID: "pickers-heap", Name: "heap of pickers", Unit: "MB", Mechanism: "`route.Picker`, one a service",
			Fit: NewFit(Linear, r.benchPoints("Pickers", "heap-B", 1/mb)),
		}),
		records(Line{
			ID: "view-time", Name: "a new view after one change", Unit: "ms", Mechanism: "`membership.State.View`",
			Fit: NewFit(Linear, r.benchPoints("ViewAfterOneChange", "sec/op", 1e3)),
		}),
		records(Line{
			ID: "pickers-time", Name: "pickers updated from a view with one changed record", Unit: "ms", Mechanism: "`node` pickers.update, `route.Picker.Update`",
			Fit: NewFit(Linear, r.benchPoints("Pickers", "sec/op", 1e3)),
		}),
		byTargets(Line{ID: "version-heap", Name: "heap of the version in force", Unit: "MB", Mechanism: "`config.Snapshot`, `match.Matcher`"},
			func(p *ConfigPoint) float64 { return p.Heap / mb }),
		byTargets(Line{ID: "version-bytes", Name: "a whole version on the wire", Unit: "B", Mechanism: "`config.EncodeSnapshot`"},
			func(p *ConfigPoint) float64 { return float64(p.SnapshotBytes) }),
		byTargets(Line{ID: "version-apply", Name: "a delta applied", Unit: "ms", Mechanism: "`config.Delta.Apply`, with the hash over all objects"},
			func(p *ConfigPoint) float64 { return p.ApplyUS / 1e3 }),
		byTargets(Line{ID: "version-check", Name: "a version checked", Unit: "ms", Mechanism: "`config.Snapshot.Check`"},
			func(p *ConfigPoint) float64 { return p.CheckUS / 1e3 }),
		byTargets(Line{ID: "version-compile", Name: "a version compiled", Unit: "ms", Mechanism: "`match.Compile`"},
			func(p *ConfigPoint) float64 { return p.CompileUS / 1e3 }),
	}
}

// callLines are what calls cost.
func callLines(r *Raw) []Line {
	cpu := func(p *CallPoint) float64 { return p.CPU * percentOfCore }
	direct, dest, mesh := r.wayPoints(WayDirect, cpu), r.wayPoints(WayDestination, cpu), r.wayPoints(WayMesh, cpu)
	p50, p99 := func(p *CallPoint) float64 { return p.Micros.P50 }, func(p *CallPoint) float64 { return p.Micros.P99 }
	perNode := func(l Line) Line { l.X, l.AtN = "calls/s", sizeCalls/sizeNodes; return l }
	chain := func(f func(*ChainPoint) float64) Fit {
		return NewFit(Linear, medians(r.Chains, all[ChainPoint], func(p *ChainPoint) Point { return Point{float64(p.Depth), f(p)} }))
	}
	flight := func(way string, f func(*FlightPoint) float64) []Point {
		return medians(r.Flight, func(p *FlightPoint) bool { return p.Way == way },
			func(p *FlightPoint) Point { return Point{float64(p.InFlight), f(p)} })
	}
	held := func(p *FlightPoint) float64 { return (p.Heap + p.Stack) / 1e3 }
	return []Line{
		perNode(Line{
			ID: "entry-cpu", Name: "processor time of an entry node at its share of the calls", Unit: "% of a core",
			Mechanism: "`proxy.Entry`, `match.Matcher`, `route.Picker`, net/http at both sides",
			Fit:       NewFit(Linear, minus(mesh, dest)),
		}),
		perNode(Line{
			ID: "dest-cpu", Name: "the same of a destination node", Unit: "% of a core",
			Mechanism: "`proxy.Destination`, `limit.Gate`, net/http at both sides",
			Fit:       NewFit(Linear, minus(dest, direct)),
		}),
		perNode(Line{
			ID: "added-p50", Name: "added to one call, p50", Unit: "µs",
			Mechanism: "entry and destination; the limit is meant for the line below",
			Fit:       NewFit(Linear, minus(r.wayPoints(WayMesh, p50), r.wayPoints(WayDirect, p50))),
			Limit:     limitAdded,
		}),
		perNode(Line{
			ID: "added-p99", Name: "added to one call, p99 less p99", Unit: "µs",
			Mechanism: "as above",
			Fit:       NewFit(Linear, minus(r.wayPoints(WayMesh, p99), r.wayPoints(WayDirect, p99))),
			Limit:     limitAdded,
		}),
		{
			ID: "chain-p50", Name: "added to a chain, p50", Unit: "µs", X: "depth", AtN: sizeDepth,
			Mechanism: "entry and destination at each step",
			Fit:       chain(func(p *ChainPoint) float64 { return p.Mesh.P50 - p.Direct.P50 }),
		},
		{
			ID: "chain-p99", Name: "added to a chain, p99 less p99", Unit: "µs", X: "depth", AtN: sizeDepth,
			Mechanism: "as above",
			Fit:       chain(func(p *ChainPoint) float64 { return p.Mesh.P99 - p.Direct.P99 }),
		},
		{
			ID: "flight", Name: "memory of a call in flight at both nodes", Unit: "kB", X: "calls", Slope: true,
			Mechanism: "goroutines and buffers of net/http, `proxy` bodies",
			Fit:       NewFit(Linear, minus(flight(WayMesh, held), flight(WayDirect, held))),
		},
		{
			ID: "platform-cpu", Name: "processor time for one platform read a second, both ends", Unit: "% of a core", X: "reads/s", Slope: true,
			Mechanism: "`platform/client` and the stand-in platform",
			Fit:       scaled(NewFit(Linear, readPoints(r)), percentOfCore),
		},
	}
}

// scaled multiplies the figures of a fit.
func scaled(f Fit, by float64) Fit {
	var points []Point
	for _, p := range f.Points {
		points = append(points, Point{p.N, p.Y * by})
	}
	return NewFit(f.Model, points)
}
