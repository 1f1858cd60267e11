package distribute

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Guards against a switch to another history without a report. The table was restored by mistake
// and repaired; two VMs started meanwhile hold version 300 of the other history. Each witnessed the
// other's snapshot, and a node that held version 2 applied it.
func TestTwoNewPeersCannotSwitchHistory(t *testing.T) {
	b := newTestBench(t, "f1", "f2", "p")
	ds, _ := history(t, "booking", 2)
	theirs, snap := history(t, "other", 300)
	b.step(pushReceived("p", ds))
	b.step(VersionReceived{Peer: "f1", Version: theirs[299].To, Pushed: true})
	b.step(VersionReceived{Peer: "f2", Version: theirs[299].To, Pushed: true})
	pulledFrom := b.s.pull.peer
	b.step(Pulled{Peer: pulledFrom, Answer: Answer{Version: snap.Version(), Snapshot: snap}})
	b.wantHeld(2)
	b.step(Pulled{Peer: b.s.pull.peer, Answer: Answer{Version: snap.Version()}})
	b.wantHeld(2)
	if findings(b.advance(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.wantHeld(2)
}

// newLaggingBench returns a node that holds version 2 after a long partition. It has received the
// snapshot of version 300 from a peer that started recently and cannot prove its descent.
func newLaggingBench(t *testing.T) (*testBench, []*config.Delta, *config.Snapshot) {
	b := newTestBench(t, "fresh", "p")
	ds, snap := history(t, "booking", 300)
	b.step(pushReceived("p", ds[:2]))
	b.step(VersionReceived{Peer: "fresh", Version: snap.Version(), Pushed: true})
	b.step(Pulled{Peer: "fresh", Answer: Answer{Version: snap.Version(), Snapshot: snap}})
	b.wantHeld(2)
	return b, ds, snap
}

// Guards a node after a partition against staying behind: it must apply the version as soon as any
// source proves that it descends from the one held.
func TestProvenDescentAppliesSnapshot(t *testing.T) {
	known := func(v config.Version) Answer { return Answer{Version: v, KnowsHeld: true} }
	ways := map[string]func(b *testBench, ds []*config.Delta, snap *config.Snapshot){
		"a second peer knows both": func(b *testBench, _ []*config.Delta, snap *config.Snapshot) {
			b.step(Pulled{Peer: "p", Answer: known(snap.Version())})
		},
		"a second peer is ahead": func(b *testBench, ds []*config.Delta, snap *config.Snapshot) {
			next, d, err := snap.Next([]config.Object{config.EncodeService(config.Service{Name: "s", Team: "t"})}, nil)
			if err != nil {
				t.Fatal(err)
			}
			a := known(next.Version())
			a.Deltas = []*config.Delta{d}
			b.step(Pulled{Peer: "p", Answer: a})
		},
		"the platform's log leads there": func(b *testBench, ds []*config.Delta, snap *config.Snapshot) {
			b.step(HeadRead{Version: snap.Version()})
			b.wantHeld(2)
			b.step(PlatformRead{Deltas: ds[2:]})
		},
		"the platform's snapshot, and a peer": func(b *testBench, _ []*config.Delta, snap *config.Snapshot) {
			b.step(HeadRead{Version: snap.Version()})
			b.step(PlatformRead{Err: ErrCompacted})
			b.step(PlatformRead{Snapshot: snap})
			b.wantHeld(2)
			b.step(Pulled{Peer: b.s.pull.peer, Answer: known(snap.Version())})
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			b, ds, snap := newLaggingBench(t)
			way(b, ds, snap)
			want := snap.Version().Number
			if name == "a second peer is ahead" {
				want++
			}
			b.wantHeld(want)
		})
	}
}

// Guards against a switch to another history when the platform's table was replaced by one whose
// log is compacted past the version held. Its snapshot alone proves no descent.
func TestPlatformSnapshotNeedsDescent(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 2)
	_, snap := history(t, "other", 300)
	b.step(pushReceived("p", ds))
	b.step(HeadRead{Version: snap.Version()})
	b.step(PlatformRead{Err: ErrCompacted})
	b.step(PlatformRead{Snapshot: snap})
	b.step(Pulled{Peer: "p", Answer: Answer{Version: ds[1].To, KnowsHeld: true}})
	b.wantHeld(2)
	if findings(b.advance(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.wantHeld(2)
}

// Guards a VM that was partitioned for longer than the deltas kept by peers against staying at its
// old version for good. Two thirds of its peers started meanwhile and do not know its version; the
// others do.
func TestNodeCatchesUpAfterLongPartition(t *testing.T) {
	for _, platformDown := range []bool{true, false} {
		t.Run(fmt.Sprint("platform down ", platformDown), func(t *testing.T) {
			m := newMesh(9, 3, 5, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
			for range 3 {
				m.commitChange(nil)
			}
			m.run(20 * time.Second)
			lost := m.ids[0]
			m.partitioned = func(a, b string) bool { return a == lost || b == lost }
			m.platformDown = true
			for range 300 {
				m.commitChange(m.nodes[m.ids[1]])
				m.run(100 * time.Millisecond)
			}
			for _, id := range m.ids[3:] {
				m.startNode(id)
			}
			m.run(20 * time.Second)
			if held := m.nodes[lost].state.Version().Number; held != 3 {
				t.Fatalf("held version %d while it was partitioned", held)
			}
			m.platformDown = platformDown
			m.partitioned = func(a, b string) bool { return false }
			m.run(90 * time.Second)
			if m.violation != "" || !m.converged() {
				t.Fatal(m.violation, describe(m))
			}
		})
	}
}
