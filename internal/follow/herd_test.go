package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// The pattern: all VMs of a mesh are killed at one moment, and start again together with an
// empty memory. A tenth of them have 0.8 of a core and 100 Mbit/s, the others 0.16 and
// 10 Mbit/s. The document holds 2,600 routes.
//
// The grounds of the figures: bytes and work were measured on such a document, whose routes
// are alike (base64 in JSON from the store, zstd from a peer); joins in the logs of nodes of
// that size.
const (
	herdRead     = 790740                // bytes of the document from the source
	herdReadWork = 63 * time.Millisecond // of a core, to read, check and compile it
	herdPull     = 28313                 // bytes of the same from a peer
	herdPullWork = 22 * time.Millisecond
	herdJoin     = 100 * time.Millisecond // until a node knows others, at least
	herdTick     = 5 * time.Millisecond
	herdPassing  = 250 * time.Millisecond // between two messages of a node in passing
)

// herdNode is one VM of the herd.
type herdNode struct {
	id     string
	link   uint32  // Mbit/s
	core   float64 // part of a core
	state  *State
	joined time.Time
	busy   time.Time // until when it reads or pulls
	source bool      // it reads the source
	peer   string    // it pulls from
	gets   bool      // the peer holds the version
	ready  time.Time
	next   time.Time // message in passing
}

// herd is a mesh that starts.
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
		v := &herdNode{id: fmt.Sprintf("n%03d", i), link: slowLink, core: 0.16}
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

// after is when some bytes have come over a link and the work on them is done.
func (v *herdNode) after(now time.Time, bytes int, link float64, work time.Duration) time.Time {
	way := time.Duration(float64(bytes*8) / link * float64(time.Microsecond))
	return now.Add(way + time.Duration(float64(work)/v.core))
}

func (h *herd) step(v *herdNode, everyReads bool) {
	view := h.view
	if h.now.Before(v.joined) {
		view = &membership.View{Records: map[string]*membership.ObservedRecord{v.id: h.view.Records[v.id]}}
	}
	switch {
	case h.now.Before(v.busy):
		return
	case v.source || v.peer != "":
		h.arrived(v)
	case !v.ready.IsZero():
		h.pass(v)
		return
	case everyReads || v.state.Feeds(h.now, view):
		v.source, v.busy = true, v.after(h.now, herdRead, float64(v.link), herdReadWork)
		h.reads++
		return
	}
	if peer, due := v.state.Pull(h.now, h.rng, view); due {
		v.peer, v.busy = peer, h.now.Add(herdTick) // a peer that holds nothing says so
		if v.gets = !h.node(peer).ready.IsZero(); v.gets {
			v.busy = v.after(h.now, herdPull, h.share(peer, v.link), herdPullWork)
		}
	}
}

// share is what a peer's link gives each of those that pull from it.
func (h *herd) share(peer string, own uint32) float64 {
	pulling := 1
	for _, v := range h.nodes {
		if v.peer == peer {
			pulling++
		}
	}
	return min(float64(own), float64(h.view.Records[peer].VM.LinkMbps)/float64(pulling))
}

// arrived takes what a node has read or pulled.
func (h *herd) arrived(v *herdNode) {
	if (v.source || v.gets) && v.state.Take(version(79)) {
		v.ready = h.now
	}
	if v.peer != "" {
		v.state.Pulled(h.now, v.peer)
	}
	if v.source {
		h.tell(v)
	}
	v.source, v.peer = false, ""
}

// tell tells the nodes of the same data centre of a first version.
func (h *herd) tell(v *herdNode) {
	for _, o := range h.nodes {
		if o != v && h.view.Records[o.id].VM.DataCentre == h.view.Records[v.id].VM.DataCentre {
			o.state.Heard(h.now, v.id, version(79))
		}
	}
}

// pass mentions the version to another node, as every message does.
func (h *herd) pass(v *herdNode) {
	if h.now.Before(v.next) {
		return
	}
	v.next = h.now.Add(herdPassing)
	h.nodes[h.rng.IntN(len(h.nodes))].state.Heard(h.now, v.id, version(79))
}

func (h *herd) node(id string) *herdNode {
	return h.nodes[slices.IndexFunc(h.nodes, func(v *herdNode) bool { return v.id == id })]
}

// run returns when 95% of the nodes are ready.
func (h *herd) run(everyReads bool) time.Duration {
	for h.now.Before(start.Add(10 * time.Second)) {
		ready := 0
		for _, v := range h.nodes {
			h.step(v, everyReads)
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

// Where each node read the source, the small ones were ready after 1.03 s, whatever the
// size of the mesh, and the source gave its document to each. Asking peers first they must
// be ready in two thirds of that, with a seventh of the reads.
func TestHerdStartsFromAFew(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		before := newHerd(n)
		each := before.run(true)
		now := newHerd(n)
		few := now.run(false)
		t.Logf("%d nodes: 95%% ready after %v with %d reads, %v with %d before", n, few, now.reads, each, before.reads)
		if few*3 > each*2 || now.reads*7 > n {
			t.Errorf("%d nodes: 95%% ready after %v with %d reads; %v if each reads", n, few, now.reads, each)
		}
	}
}
