package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// watch checks at every delivery what must hold at all times.
type watch struct {
	w    *mesh
	life map[string]int
	seen map[string]map[string]stamp // by node, then by ID
	fail string
}

func newWatch(w *mesh) *watch {
	o := &watch{w: w, life: map[string]int{}, seen: map[string]map[string]stamp{}}
	w.delivered = func(to *vm, _ *peerpb.Membership) { o.check(to) }
	return o
}

func (o *watch) check(v *vm) {
	id := v.info.ID
	if o.life[id] != v.life {
		o.life[id] = v.life
		o.seen[id] = map[string]stamp{}
	}
	for other, e := range v.entries {
		st := e.rec.stamp()
		if before := o.seen[id][other]; before.newer(st) {
			o.fail = fmt.Sprintf("%s went back on %s from %v to %v", id, other, before, st)
		}
		o.seen[id][other] = st
		// A restarted owner may still be below its former record, but never
		// below one of its own incarnation.
		owner := o.w.byAddr[e.rec.VM.ControlAddr]
		own := st.incarnation == owner.self.VM.Incarnation || owner.life == 1
		if own && st.newer(owner.self.stamp()) {
			o.fail = fmt.Sprintf("%s holds %v of %s, whose owner is at %v", id, st, other, owner.self.stamp())
		}
	}
	o.checkBounds(v)
}

func (o *watch) checkBounds(v *vm) {
	l := v.cfg.Limits
	if len(v.entries) > l.Records || len(v.relaying) > l.Relays || len(v.contacts) > l.Contacts || len(v.pending) > 256 {
		o.fail = fmt.Sprintf("%s over a bound: %d entries, %d relays, %d contacts, %d pending",
			v.info.ID, len(v.entries), len(v.relaying), len(v.contacts), len(v.pending))
	}
}

// fault does one thing that goes wrong, or an ordinary change.
func fault(t *rapid.T, w *mesh) {
	v := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"pause", "restart", "part", "change", "apply", "stop"}).Draw(t, "fault") {
	case "pause":
		v.paused = true
		d := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
		w.after(d, func() { v.paused = false })
	case "restart":
		w.start(v)
	case "part":
		dc := v.info.DataCentre
		w.parted = func(a, b *vm) bool { return (a.info.DataCentre == dc) != (b.info.DataCentre == dc) }
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

// Whatever the network and the processes do: no node goes back to an older
// record, nobody but the owner raises a sequence, memory stays bounded; and
// once faults stop, every node sees every running node alive.
func TestPropertyAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newMesh(rapid.IntRange(2, 9).Draw(t, "nodes"), 2, nil)
		o := newWatch(w)
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		w.double = rapid.Float64Range(0, 0.5).Draw(t, "double")
		w.delayMax = time.Duration(rapid.IntRange(1, 900).Draw(t, "delay")) * time.Millisecond
		w.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "before")) * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			fault(t, w)
			w.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "between")) * time.Second)
		}
		w.loss, w.double, w.delayMax, w.parted = 0, 0, 5*time.Millisecond, nil
		for _, v := range w.nodes {
			v.paused = false
			if !v.up {
				w.start(v)
			}
		}
		if _, ok := w.runUntil(3*time.Minute, w.settled); !ok {
			t.Fatalf("not settled: %s", w.unsettled())
		}
		if o.fail != "" {
			t.Fatal(o.fail)
		}
	})
}
