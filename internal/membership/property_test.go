package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// invariantChecker checks at every delivery what must hold at all times.
type invariantChecker struct {
	w           *mesh
	generations map[string]int
	seen        map[string]map[string]stamp // by node, then by ID
	violation   string
}

func newInvariantChecker(w *mesh) *invariantChecker {
	o := &invariantChecker{w: w, generations: map[string]int{}, seen: map[string]map[string]stamp{}}
	w.delivered = func(to *vm, _ *peerpb.Membership) { o.check(to) }
	return o
}

func (o *invariantChecker) check(v *vm) {
	id := v.info.ID
	if o.generations[id] != v.generation {
		o.generations[id] = v.generation
		o.seen[id] = map[string]stamp{}
	}
	for other, e := range v.entries {
		st := e.rec.stamp()
		if before := o.seen[id][other]; before.newer(st) {
			o.violation = fmt.Sprintf("%s went back for %s from %v to %v", id, other, before, st)
		}
		o.seen[id][other] = st
		// A restarted owner may still have a lower stamp than its former
		// record, but never than one of its own incarnation.
		owner := o.w.byAddr[e.rec.VM.ControlAddr]
		own := st.incarnation == owner.self.VM.Incarnation || owner.generation == 1
		if own && st.newer(owner.self.stamp()) {
			o.violation = fmt.Sprintf("%s holds %v of %s, whose owner is at %v", id, st, other, owner.self.stamp())
		}
	}
	o.checkBounds(v)
}

func (o *invariantChecker) checkBounds(v *vm) {
	l := v.cfg.Limits
	if len(v.entries) > l.Records || len(v.relaying) > l.Relays || len(v.contacts) > l.Contacts || len(v.pending) > 256 {
		o.violation = fmt.Sprintf("%s exceeds a bound: %d entries, %d relays, %d contacts, %d pending",
			v.info.ID, len(v.entries), len(v.relaying), len(v.contacts), len(v.pending))
	}
}

// injectFault injects one fault or makes an ordinary change.
func injectFault(t *rapid.T, w *mesh) {
	v := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"pause", "restart", "partition", "change", "apply", "stop"}).Draw(t, "fault") {
	case "pause":
		v.paused = true
		d := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
		w.after(d, func() { v.paused = false })
	case "restart":
		w.start(v)
	case "partition":
		dc := v.info.DataCentre
		w.partitioned = func(a, b *vm) bool { return (a.info.DataCentre == dc) != (b.info.DataCentre == dc) }
	case "change":
		if v.up && !v.paused {
			slots := rapid.IntRange(1, 9).Draw(t, "slots")
			_ = v.SetBackends(w.now, []Backend{{Service: "s", Instance: "i", Slots: slots, State: BackendReady}})
		}
	case "apply":
		if v.up && !v.paused {
			v.SetConfigStatus(w.now, ConfigStatus{Version: v.self.AppliedVersion + 1})
		}
	case "stop":
		w.stop(v)
	}
}

// Under any faults of the network and the processes: no node returns to an older record, only
// the owner increases its sequence, and memory stays bounded. Once faults stop, every node sees
// every running node alive.
func TestPropertyAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newMesh(rapid.IntRange(2, 9).Draw(t, "nodes"), 2, nil)
		o := newInvariantChecker(w)
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		w.duplication = rapid.Float64Range(0, 0.5).Draw(t, "double")
		w.delayMax = time.Duration(rapid.IntRange(1, 900).Draw(t, "delay")) * time.Millisecond
		w.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "before")) * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			injectFault(t, w)
			w.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "between")) * time.Second)
		}
		w.loss, w.duplication, w.delayMax, w.partitioned = 0, 0, 5*time.Millisecond, nil
		for _, v := range w.nodes {
			v.paused = false
			if !v.up {
				w.start(v)
			}
		}
		if _, ok := w.runUntil(3*time.Minute, w.converged); !ok {
			t.Fatalf("not converged: %s", w.divergence())
		}
		if o.violation != "" {
			t.Fatal(o.violation)
		}
	})
}
