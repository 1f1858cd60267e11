package capacity

import "fmt"

// reading is one way to read "110,000 calls a second, up to 15 deep".
type reading struct {
	name string
	hops float64 // a second at one node, in each of the two roles
}

func readings() []reading {
	return []reading{
		{"110,000 hops in all", sizeCalls / sizeNodes},
		{"110,000 calls, each 15 deep", sizeCalls * sizeDepth / sizeNodes},
	}
}

// entryAndDest is what the calls of both roles cost, between the measured rates:
// a call is cheaper at a higher rate, so a straight line is poor at both ends.
func entryAndDest(lines []Line, hops float64) (entry, dest float64) {
	return between(find(lines, "entry-cpu").Fit.Points, hops), between(find(lines, "dest-cpu").Fit.Points, hops)
}

// roles gives what each role costs at the size. All nodes are equal, so a
// node's cost is that of every node, of entry and destination, and, at a few
// nodes at a time, of one of the others.
func roles(r *Raw, lines []Line) string {
	t := newTable("role", "its state", "messages", "processor time", "memory")
	v := func(id string) string { l := find(lines, id); return number3(l.Value()) }
	perDay := func(id string) float64 { return find(lines, id).Value() * sizeChanges / secondsPerDay }
	t.row("every node, control",
		fmt.Sprintf("%d records and their view (%s MB), pickers (%s MB), the version in force (%s MB), up to 256 deltas and 1 MB of them", sizeNodes, v("members-heap"), v("pickers-heap"), v("version-heap")),
		fmt.Sprintf("%s a second, %s B/s idle; %s B to spread a change and %s B until all know who holds it, together %s B/s at 930 a day",
			v("idle-messages"), v("idle-bytes"), v("change-bytes"), v("v-held-bytes"), number3(perDay("change-bytes")+perDay("v-held-bytes"))),
		fmt.Sprintf("%s%% of a core idle in a process of its own; %s ms a change, or %s%% at 930 a day", v("alone-cpu"), v("alone-change-cpu"), number3(perDay("alone-change-cpu")/1e3*percentOfCore)),
		fmt.Sprintf("%s MB resident, of it %s MB live heap; heap and stacks %s MB with %d connections open", v("alone-rss"), v("heap"), v("connection"), burstFiles))
	for i, role := range []string{"entry", "destination"} {
		var cpu []string
		for _, rd := range readings() {
			both := [2]float64{}
			both[0], both[1] = entryAndDest(lines, rd.hops)
			cpu = append(cpu, fmt.Sprintf("%s%% of a core at %s calls/s (%s)", number3(both[i]), number3(rd.hops), rd.name))
		}
		state := "connections to the endpoints of its subset, at most 64 idle each"
		if i == 1 {
			state = fmt.Sprintf("a gate for each class of its services; connections from %s", subsetUsers(r))
		}
		t.row(role, state, "one request and one answer a call", cpu[0]+"; "+cpu[1],
			fmt.Sprintf("%s kB a call in flight, at both nodes together", number3(find(lines, "flight").Value())))
	}
	t.row("feeder, two a data centre", "none of its own", fmt.Sprintf("one platform read a second (`time`); %s for the whole mesh, %s in `bytes`", v("reads"), v("reads-bytes")),
		fmt.Sprintf("at most %s ms a read, both ends", number3(find(lines, "platform-cpu").Value()/percentOfCore*1e3)), "none of its own")
	t.row("bridge, two a data centre", "none of its own; a contact row at the platform, every ten minutes", fmt.Sprintf("%s B/s, the busiest node", v("idle-bytes-busiest")), "as every node's", "as every node's")
	t.row("accepting node", "the commands under way", fmt.Sprintf("%s platform writes a change; one tell to each of %d data centres", v("change-writes"), sizeCentres),
		"two checks and one delta more than other nodes", "one snapshot and one delta more")
	t.row("lease holder for compaction", "the lease row", "by arithmetic, not measured: 930 log rows and 930 command rows a day, up to 64 a transaction: 30 transactions a day, and the lease's renewals", "not measured", "one snapshot")
	t.row("platform", fmt.Sprintf("head, 8,192 log rows, command rows of 14 days, snapshots of %s B, claims of 24 hours", v("version-bytes")),
		fmt.Sprintf("%s reads/s (`time`); %s writes/s for changes; keyed calls: see the claims", v("reads"), number3(perDay("change-writes"))),
		"not ours", "not ours")
	return t.String()
}

// subsetUsers tells how many entry nodes call one endpoint at the size.
func subsetUsers(r *Raw) string {
	for _, p := range r.Subsets {
		if p.Nodes == nodesPerCentre && p.Endpoints == endpointsEach/sizeCentres+1 {
			return fmt.Sprintf("%s entry nodes of its data centre at most", number3(p.PerEndpoint.Max))
		}
	}
	return "the entry nodes whose subset it is in"
}

// viewsPerSecond is how often a node looks for a new view (node.refreshEvery).
const viewsPerSecond = 20

// losses gives what the nodes left carry when others are lost, and what it
// costs to take those in again.
func losses(r *Raw, lines []Line) string {
	t := newTable("lost", "nodes left", "calls/s a node and role, both readings", "entry and destination, % of a core, both readings", "bytes to take all in again", "bytes a node left")
	full := fullStateBytes(r)
	version := find(lines, "version-bytes").Value()
	for _, c := range []struct {
		name string
		lost int
	}{
		{fmt.Sprintf("one VM (%s replaced a day)", number3(sizeReplaced)), 1},
		{"a rack", sizeRack},
		{"a data centre", nodesPerCentre},
		{"a region of three data centres", centresInRegion * nodesPerCentre},
	} {
		left := float64(sizeNodes - c.lost)
		var rates, cpu string
		for i, rd := range readings() {
			hops := rd.hops * sizeNodes / left
			entry, dest := entryAndDest(lines, hops)
			if i > 0 {
				rates, cpu = rates+"; ", cpu+"; "
			}
			rates += number3(hops)
			cpu += number3(entry + dest)
		}
		join := float64(c.lost) * (full + version)
		t.row(c.name, number3(left), rates, cpu, number3(join), number3(join/left))
	}
	views := find(lines, "view-time").Value() + find(lines, "pickers-time").Value()
	perDay := sizeReplaced * (full + version)
	return t.String() + fmt.Sprintf("\nA join is a full state of %s B and a whole version of %s B. %s replacements a day are %s B/s in the whole mesh. "+
		"While records change without a pause, a node takes in at most %d views a second: %s%% of a core.\n",
		number3(full), number3(version), number3(sizeReplaced), number3(perDay/secondsPerDay), viewsPerSecond, number3(views*viewsPerSecond/1e3*percentOfCore))
}

// fullStateBytes is the compressed full state of 1,200 records.
func fullStateBytes(r *Raw) float64 {
	for _, b := range r.Benches {
		if b.Name != "FullState" {
			continue
		}
		perSecond, _ := b.Value("B/s")
		each, _ := b.Value("sec/op")
		return perSecond * each
	}
	return 0
}
