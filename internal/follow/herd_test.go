package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// The test models a mesh whose VMs are all killed at once and restart together without stored
// state. A tenth of them have 0.8 of a core and 100 Mbit/s, the others 0.16 and 10 Mbit/s. The
// document holds 2,600 routes.
//
// Sizes and CPU times are those of such a document whose routes are alike (base64 in JSON from the
// store, zstd from a peer); join times are from the logs of nodes of that size.
const (
	herdReadBytes      = 790740                // size of the document from the source
	herdReadWork       = 63 * time.Millisecond // CPU time to read, check and compile it
	herdPullBytes      = 28313                 // size of the document from a peer
	herdPullWork       = 22 * time.Millisecond
	herdJoin           = 100 * time.Millisecond // minimum time until a node knows others
	herdTick           = 5 * time.Millisecond
	herdGossipInterval = 250 * time.Millisecond // between messages of a node that carry its version
)

// herdNode is one VM of the herd.
type herdNode struct {
	id         string
	link       uint32  // Mbit/s
	core       float64 // part of a core
	state      *State
	joined     time.Time
	busy       time.Time // end of the current read or pull
	source     bool      // whether it is reading the source
	peer       string    // peer that it is pulling from
	peerHolds  bool      // whether the peer holds the version
	ready      time.Time
	nextGossip time.Time // next message that carries its version
}

// herd is a mesh that restarts.
type herd struct {
	rng   *rand.Rand
	now   time.Time
	nodes []*herdNode
	view  *membership.View
	reads int
}

func newHerd(n int) *herd {
	h := &herd{rng: rand.New(rand.NewPCG(1, uint64(n))), now: start, view: &membership.View{Records: map[string]*membership.ObservedRecord{}}}
	for i := range n {
		v := &herdNode{id: fmt.Sprintf("n%03d", i), link: slowLinkMbps, core: 0.16}
		if i%10 == 0 {
			v.link, v.core = 100, 0.8
		}
		dc := fmt.Sprint("dc", i%6)
		v.state = NewState(Defaults(v.id, dc, v.link), start)
		v.joined = start.Add(herdJoin + time.Duration(h.rng.Int64N(int64(herdJoin))))
		h.nodes = append(h.nodes, v)
		h.view.Records[v.id] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: v.id, DataCentre: dc, LinkMbps: v.link}, State: membership.VMAlive,
		}}
	}
	return h
}

// transferDone returns when a transfer and the processing of its bytes are done.
func (v *herdNode) transferDone(now time.Time, bytes int, link float64, work time.Duration) time.Time {
	way := time.Duration(float64(bytes*8) / link * float64(time.Microsecond))
	return now.Add(way + time.Duration(float64(work)/v.core))
}

func (h *herd) step(v *herdNode, allRead bool) {
	view := h.view
	if h.now.Before(v.joined) {
		view = &membership.View{Records: map[string]*membership.ObservedRecord{v.id: h.view.Records[v.id]}}
	}
	switch {
	case h.now.Before(v.busy):
		return
	case v.source || v.peer != "":
		h.finish(v)
	case !v.ready.IsZero():
		h.gossip(v)
		return
	case allRead || v.state.ReadsSource(h.now, view):
		v.source, v.busy = true, v.transferDone(h.now, herdReadBytes, float64(v.link), herdReadWork)
		h.reads++
		return
	}
	if peer, due := v.state.NextPull(h.now, h.rng, view); due {
		v.peer, v.busy = peer, h.now.Add(herdTick) // the peer answers that it holds no version
		if v.peerHolds = !h.node(peer).ready.IsZero(); v.peerHolds {
			v.busy = v.transferDone(h.now, herdPullBytes, h.share(peer, v.link), herdPullWork)
		}
	}
}

// share returns the bandwidth that a peer's link gives each node that pulls from it.
func (h *herd) share(peer string, own uint32) float64 {
	pulling := 1
	for _, v := range h.nodes {
		if v.peer == peer {
			pulling++
		}
	}
	return min(float64(own), float64(h.view.Records[peer].VM.LinkMbps)/float64(pulling))
}

// finish completes the read or pull of a node.
func (h *herd) finish(v *herdNode) {
	if (v.source || v.peerHolds) && v.state.Advance(version(79)) {
		v.ready = h.now
	}
	if v.peer != "" {
		v.state.PullEnded(h.now, v.peer)
	}
	if v.source {
		h.pushFirstVersion(v)
	}
	v.source, v.peer = false, ""
}

// pushFirstVersion pushes the first version to the other nodes of the data centre.
func (h *herd) pushFirstVersion(v *herdNode) {
	for _, o := range h.nodes {
		if o != v && h.view.Records[o.id].VM.DataCentre == h.view.Records[v.id].VM.DataCentre {
			o.state.RecordClaim(h.now, v.id, version(79))
		}
	}
}

// gossip sends a message that carries the version to a random node.
func (h *herd) gossip(v *herdNode) {
	if h.now.Before(v.nextGossip) {
		return
	}
	v.nextGossip = h.now.Add(herdGossipInterval)
	h.nodes[h.rng.IntN(len(h.nodes))].state.RecordClaim(h.now, v.id, version(79))
}

func (h *herd) node(id string) *herdNode {
	return h.nodes[slices.IndexFunc(h.nodes, func(v *herdNode) bool { return v.id == id })]
}

// run returns the time until 95% of the nodes are ready.
func (h *herd) run(allRead bool) time.Duration {
	for h.now.Before(start.Add(10 * time.Second)) {
		ready := 0
		for _, v := range h.nodes {
			h.step(v, allRead)
			if !v.ready.IsZero() {
				ready++
			}
		}
		if ready*20 >= len(h.nodes)*19 {
			return h.now.Sub(start)
		}
		h.now = h.now.Add(herdTick)
	}
	return h.now.Sub(start)
}

// Guards against a slow mass restart. When each node read the source, the small ones were ready
// after 1.03 s whatever the size of the mesh. With pulls from peers first, the mesh must be ready
// in two thirds of that time, with a seventh of the reads.
func TestMassRestartReadsSourceFewTimes(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		before := newHerd(n)
		each := before.run(true)
		now := newHerd(n)
		few := now.run(false)
		t.Logf("%d nodes: 95%% ready after %v with %d reads, %v with %d if each reads", n, few, now.reads, each, before.reads)
		if few*3 > each*2 || now.reads*7 > n {
			t.Errorf("%d nodes: 95%% ready after %v with %d reads, %v if each reads", n, few, now.reads, each)
		}
	}
}
