package distribute

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// What an operator would see: proxies run a configuration that nobody stated,
// and no alert. The table was restored by mistake and mended; two VMs that had
// started meanwhile still hold version 300 of the other history. Each of them
// witnessed the other's snapshot, and a node that held version 2 took it.
func TestTwoFreshPeersDoNotTakeANodeToAnotherHistory(t *testing.T) {
	b := newBench(t, "f1", "f2", "p")
	ds, _ := history(t, "booking", 2)
	theirs, snap := history(t, "other", 300)
	b.do(heardTell("p", ds))
	b.do(VersionReceived{Peer: "f1", Version: theirs[299].To, Pushed: true})
	b.do(VersionReceived{Peer: "f2", Version: theirs[299].To, Pushed: true})
	puller := b.s.pull.peer
	b.do(Pulled{Peer: puller, Answer: Answer{Version: snap.Version(), Snapshot: snap}})
	b.holds(2)
	b.do(Pulled{Peer: b.s.pull.peer, Answer: Answer{Version: snap.Version()}})
	b.holds(2)
	if findings(b.wait(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.holds(2)
}

// A node that holds version 2 and was cut off for long gets the snapshot of 300
// from a peer that started lately and cannot tell whether it follows.
func cutOff(t *testing.T) (*bench, []*config.Delta, *config.Snapshot) {
	b := newBench(t, "fresh", "p")
	ds, snap := history(t, "booking", 300)
	b.do(heardTell("p", ds[:2]))
	b.do(VersionReceived{Peer: "fresh", Version: snap.Version(), Pushed: true})
	b.do(Pulled{Peer: "fresh", Answer: Answer{Version: snap.Version(), Snapshot: snap}})
	b.holds(2)
	return b, ds, snap
}

// The other side of the promise: a node that was cut off must come forward as
// soon as anyone shows that the version follows what it holds.
func TestShownDescentBringsANodeForward(t *testing.T) {
	known := func(v config.Version) Answer { return Answer{Version: v, KnowsHeld: true} }
	ways := map[string]func(b *bench, ds []*config.Delta, snap *config.Snapshot){
		"a second peer knows both": func(b *bench, _ []*config.Delta, snap *config.Snapshot) {
			b.do(Pulled{Peer: "p", Answer: known(snap.Version())})
		},
		"a second peer is further on": func(b *bench, ds []*config.Delta, snap *config.Snapshot) {
			next, d, err := snap.Next([]config.Object{config.EncodeService(config.Service{Name: "s", Team: "t"})}, nil)
			if err != nil {
				t.Fatal(err)
			}
			a := known(next.Version())
			a.Deltas = []*config.Delta{d}
			b.do(Pulled{Peer: "p", Answer: a})
		},
		"the platform's log leads there": func(b *bench, ds []*config.Delta, snap *config.Snapshot) {
			b.do(HeadRead{Version: snap.Version()})
			b.holds(2)
			b.do(PlatformRead{Deltas: ds[2:]})
		},
		"the platform's snapshot, and a peer": func(b *bench, _ []*config.Delta, snap *config.Snapshot) {
			b.do(HeadRead{Version: snap.Version()})
			b.do(PlatformRead{Err: ErrCompacted})
			b.do(PlatformRead{Snapshot: snap})
			b.holds(2)
			b.do(Pulled{Peer: b.s.pull.peer, Answer: known(snap.Version())})
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			b, ds, snap := cutOff(t)
			way(b, ds, snap)
			want := snap.Version().Number
			if name == "a second peer is further on" {
				want++
			}
			b.holds(want)
		})
	}
}

// The platform's table was replaced by one whose log is compacted past what the
// node holds. Its snapshot alone shows no descent.
func TestPlatformSnapshotNeedsDescent(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 2)
	_, snap := history(t, "other", 300)
	b.do(heardTell("p", ds))
	b.do(HeadRead{Version: snap.Version()})
	b.do(PlatformRead{Err: ErrCompacted})
	b.do(PlatformRead{Snapshot: snap})
	b.do(Pulled{Peer: "p", Answer: Answer{Version: ds[1].To, KnowsHeld: true}})
	b.holds(2)
	if findings(b.wait(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.holds(2)
}

// What an operator would see: a VM that was cut off for longer than the deltas
// that peers keep stays at its old version for good. Two thirds of its peers
// started meanwhile and cannot tell what it holds; the others remember.
func TestNodeCutOffForLongComesForward(t *testing.T) {
	for _, down := range []bool{true, false} {
		t.Run(fmt.Sprint("platform down ", down), func(t *testing.T) {
			m := newMesh(9, 3, 5, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
			for range 3 {
				m.change(nil)
			}
			m.run(20 * time.Second)
			lost := m.ids[0]
			m.cut = func(a, b string) bool { return a == lost || b == lost }
			m.down = true
			for range 300 {
				m.change(m.nodes[m.ids[1]])
				m.run(100 * time.Millisecond)
			}
			for _, id := range m.ids[3:] {
				m.startNode(id)
			}
			m.run(20 * time.Second)
			if held := m.nodes[lost].state.Version().Number; held != 3 {
				t.Fatalf("held version %d while it was cut off", held)
			}
			m.down = down
			m.cut = func(a, b string) bool { return false }
			m.run(90 * time.Second)
			if m.fault != "" || !m.converged() {
				t.Fatal(m.fault, describe(m))
			}
		})
	}
}
