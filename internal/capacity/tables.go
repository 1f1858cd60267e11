package capacity

import (
	"fmt"
	"math"
	"strings"
)

// sizeTable gives each line at the size that decides the design.
func sizeTable(_ *Raw, lines []Line) string {
	t := newTable("line", "at the size", "goal", "limit", "verdict", "carried by")
	for i := range lines {
		l := &lines[i]
		t.row(l.Name, number3(l.Value())+" "+unit(l.Unit), bound(l.Goal), bound(l.Limit), string(l.Verdict()), l.Mechanism)
	}
	return t.String()
}

func unit(u string) string {
	if u == "1" {
		return ""
	}
	return u
}

// fits gives each line's formula and how well it fits.
func fits(_ *Raw, lines []Line) string {
	t := newTable("line", "n", "measured at", "formula", "a", "b", "residual", "worst miss", "largest size, fitted without it, is missed by", "R²")
	for i := range lines {
		l := &lines[i]
		var at []string
		for _, p := range l.Fit.Points {
			at = append(at, number3(p.N)+": "+number3(p.Y))
		}
		t.row(l.Name, l.X, strings.Join(at, "; "), string(l.Fit.Model), number3(l.Fit.A), number3(l.Fit.B),
			number3(l.Fit.Residual)+" "+unit(l.Unit), percent(l.Fit.Worst), percent(l.Fit.Held), fmt.Sprintf("%.3f", l.Fit.R2))
	}
	return t.String()
}

// misfits names the lines that are over a bound, and those whose line is in
// doubt.
func misfits(_ *Raw, lines []Line) string {
	var b strings.Builder
	for i := range lines {
		l := &lines[i]
		if v := l.Verdict(); v == OverGoal || v == OverLimit {
			fmt.Fprintf(&b, "- **%s**: %s. %s: %s %s; goal %s, limit %s.\n",
				strings.ToUpper(string(v)[:1])+string(v)[1:], l.Name, "At the size", number3(l.Value()), unit(l.Unit), bound(l.Goal), bound(l.Limit))
		}
	}
	for i := range lines {
		l := &lines[i]
		if d := l.Doubts(); len(d) > 0 {
			fmt.Fprintf(&b, "- In doubt: %s (%s): %s.\n", l.Name, l.ID, strings.Join(d, "; "))
		}
	}
	if b.Len() == 0 {
		return "None.\n"
	}
	return b.String()
}

func meshTable(r *Raw, _ []Line) string {
	return meshRows(r, func(p *MeshPoint) bool { return p.Prior == 0 })
}

func meshRows(r *Raw, keep func(*MeshPoint) bool) string {
	t := newTable("nodes", "profile", "changes before", "ready ms", "idle B/s in + out", "busiest", "messages/s", "idle CPU %", "reads/s",
		"B a change", "CPU ms a change", "writes a change", "accept p50 ms", "in force p50 / p99 / max ms",
		"heap MB", "stack MB", "RSS MB", "files", "goroutines", "load before, after")
	for i := range r.Mesh {
		p := &r.Mesh[i]
		if !keep(p) {
			continue
		}
		t.row(fmt.Sprint(p.Nodes), p.Profile, fmt.Sprint(p.Prior), number3(p.ReadyMS),
			number3(p.Idle.BytesIn)+" + "+number3(p.Idle.BytesOut), number3(p.Idle.Busiest), number3(p.Idle.Messages()),
			number3(p.Idle.CPU*percentOfCore), number3(p.Idle.Reads), number3(bytesPerChange(p)),
			number3(perChange(p, p.Idle.CPU, p.Changing.CPU)*1e3), number3(perChange(p, p.Idle.Writes, p.Changing.Writes)),
			number3(p.AcceptMS), quantum(p.InForce), number3(p.Heap/mb), number3(p.Stack/mb), number3(p.RSS/mb),
			number3(p.Files), number3(p.Idle.Goroutines), loads(p.Load))
	}
	return t.String()
}

func quantum(q Quantum) string {
	return number3(q.P50) + " / " + number3(q.P99) + " / " + number3(q.Max)
}

func loads(l Load) string { return number3(l.Before) + ", " + number3(l.After) }

func burstTable(r *Raw, _ []Line) string {
	return meshRows(r, func(p *MeshPoint) bool { return p.Nodes == burstNodes && p.Profile == timeProfile })
}

func callTable(r *Raw, _ []Line) string {
	t := newTable("way", "calls/s", "calls", "not answered", "CPU s/s", "allocations a call", "bytes a call", "p50 / p99 / max µs", "load before, after")
	for _, p := range r.Calls {
		t.row(p.Way, number3(p.Rate), fmt.Sprint(p.Calls), fmt.Sprint(p.Bad), number3(p.CPU), number3(p.Allocs), number3(p.Bytes), quantum(p.Micros), loads(p.Load))
	}
	return t.String()
}

func chainTable(r *Raw, _ []Line) string {
	t := newTable("depth", "calls", "failed", "through the mesh p50 / p99 / max µs", "direct p50 / p99 / max µs", "added p50", "p99 less p99", "load before, after")
	for _, p := range r.Chains {
		t.row(fmt.Sprint(p.Depth), fmt.Sprint(p.Calls), fmt.Sprint(p.Bad), quantum(p.Mesh), quantum(p.Direct),
			number3(p.Mesh.P50-p.Direct.P50), number3(p.Mesh.P99-p.Direct.P99), loads(p.Load))
	}
	return t.String()
}

func flightTable(r *Raw, _ []Line) string {
	t := newTable("way", "calls in flight", "heap MB", "stacks MB", "goroutines", "files")
	for _, p := range r.Flight {
		t.row(p.Way, fmt.Sprint(p.InFlight), number3(p.Heap/mb), number3(p.Stack/mb), fmt.Sprint(p.Goroutines), fmt.Sprint(p.Files))
	}
	return t.String()
}

func claimTable(r *Raw, _ []Line) string {
	t := newTable("endpoints", "keyed calls/s", "calls", "not answered", "platform writes a call", "platform reads a call", "writes/s", "load before, after")
	for _, p := range r.Claims {
		t.row(fmt.Sprint(p.Endpoints), number3(p.Rate), fmt.Sprint(p.Calls), fmt.Sprint(p.Bad),
			number3(p.Writes), number3(p.Reads), number3(p.Writes*p.Rate), loads(p.Load))
	}
	return t.String()
}

func versionTable(r *Raw, _ []Line) string {
	t := newTable("services", "targets", "whole, bytes", "delta, bytes", "heap MB", "apply ms", "check ms", "compile ms", "match ns")
	for _, p := range r.Configs {
		t.row(fmt.Sprint(p.Services), fmt.Sprint(p.Targets), number3(float64(p.SnapshotBytes)), number3(float64(p.DeltaBytes)), number3(p.Heap/mb),
			number3(p.ApplyUS/1e3), number3(p.CheckUS/1e3), number3(p.CompileUS/1e3), number3(p.MatchNS))
	}
	return t.String()
}

func subsetTable(r *Raw, _ []Line) string {
	t := newTable("entry nodes of the data centre", "endpoints there", "entry nodes an endpoint, p50 / p99 / max", "endpoints a node")
	for _, p := range r.Subsets {
		t.row(number3(float64(p.Nodes)), fmt.Sprint(p.Endpoints), quantum(p.PerEndpoint), number3(p.PerNode))
	}
	return t.String()
}

func readTable(r *Raw, _ []Line) string {
	t := newTable("reads/s", "CPU s/s, both ends")
	for _, p := range r.Reads {
		t.row(number3(p.Rate), number3(p.CPU))
	}
	return t.String()
}

func benchTable(r *Raw, _ []Line) string {
	t := newTable("package", "benchmark", "figures")
	for _, b := range r.Benches {
		var values []string
		for _, v := range b.Values {
			values = append(values, benchValue(v))
		}
		t.row(b.Package, b.Name, strings.Join(values, ", "))
	}
	return t.String()
}

// benchValue writes times in microseconds, since seconds would be all zeroes.
func benchValue(v BenchUnit) string {
	if v.Unit == "sec/op" {
		return number3(v.Value*1e6) + " µs/op"
	}
	return number3(v.Value) + " " + v.Unit
}

func virtualTable(r *Raw, _ []Line) string {
	t := newTable("nodes", "idle B/s a node", "busiest", "messages/s", "lazy change, to all", "urgent change, to all", "version held, known to all")
	for _, p := range r.Gossip {
		t.row(number3(float64(p.Nodes)), number3(p.Bytes), number3(p.Busiest), number3(p.Messages),
			seconds(p.LazyMS), seconds(p.UrgentMS), seconds(p.AppliedMS))
	}
	return t.String()
}

func seconds(ms float64) string {
	if math.IsNaN(ms) || ms < 0 {
		return "never"
	}
	return number3(ms/1e3) + " s"
}
