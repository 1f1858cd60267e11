package distribute

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// Guards against one faulty or compromised VM making the proxies run targets that no operator
// stated. Its delta has the right parent, but the content does not match the hash it names.
func TestForgedDeltaIsRefused(t *testing.T) {
	b := newTestBench(t, "liar", "p")
	ds, _ := history(t, "booking", 2)
	b.step(pushReceived("p", ds[:1]))
	forged := *ds[1]
	forged.Set = []config.Object{config.EncodeService(config.Service{Name: "evil", Team: "x"})}
	if findings(b.step(pushReceived("liar", []*config.Delta{&forged})), "bad_peer") != 1 {
		t.Fatal("not reported")
	}
	b.wantHeld(1)
	b.step(pushReceived("p", ds[1:]))
	b.wantHeld(2)
}

// Guards a restarted VM against never becoming ready because one peer claims version 10^18 and
// cannot supply it. The claim is dropped with the first answer, and the peer is banned for a while.
func TestUnprovenClaimIsDropped(t *testing.T) {
	b := newTestBench(t, "liar", "p", "q")
	ds, _ := history(t, "booking", 2)
	b.step(pushReceived("p", ds))
	high := config.Version{Number: 1e18, Hash: config.Hash{1}}
	pull, ok := find[Pull](b.step(VersionReceived{Peer: "liar", Version: high, Pushed: true}))
	if !ok || pull.Peer != "liar" {
		t.Fatal("no pull from the peer that claims the version")
	}
	if findings(b.step(Pulled{Peer: "liar", Answer: Answer{Version: high}}), "bad_peer") != 1 {
		t.Fatal("not reported")
	}
	if _, again := find[Pull](b.step(VersionReceived{Peer: "liar", Version: high, Pushed: true})); again {
		t.Fatal("pulled again from a banned peer")
	}
	for _, p := range []string{"p", "q"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ds[1].To, Ready: true}})
	}
	if ok, why := b.s.Ready(); ok {
		t.Fatal("ready before three peers answered: " + why)
	}
	b.step(Queried{Peer: "liar", Answer: Answer{Version: high, Ready: true}})
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// Guards a node after a partition against applying a whole configuration from one compromised VM. A
// snapshot without a second witness is dropped, and its sender is reported.
func TestSnapshotFromOnePeerNeedsAWitness(t *testing.T) {
	b := newTestBench(t, "liar", "p")
	ds, _ := history(t, "booking", 2)
	theirs, forged := history(t, "evil", 300)
	b.step(pushReceived("p", ds))
	b.step(VersionReceived{Peer: "liar", Version: theirs[299].To, Pushed: true})
	out := b.step(Pulled{Peer: "liar", Answer: Answer{Version: forged.Version(), Snapshot: forged}})
	b.wantHeld(2)
	pull, ok := find[Pull](out)
	if !ok || pull.Peer != "p" || pull.Version != forged.Version() {
		t.Fatalf("does not query the other peer as a witness: %v", out)
	}
	b.step(Pulled{Peer: "p", Answer: Answer{Version: ds[1].To}})
	b.step(VersionReceived{Peer: "liar", Version: forged.Version()}) // not a witness for its own snapshot
	b.wantHeld(2)
	if findings(b.advance(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.wantHeld(2)
}

func TestWitnessedSnapshotIsApplied(t *testing.T) {
	_, snap := history(t, "booking", 300)
	v := snap.Version()
	witnesses := map[string]func(b *testBench){
		"a second peer reports it":  func(b *testBench) { b.step(VersionReceived{Peer: "q", Version: v}) },
		"a second peer confirms it": func(b *testBench) { b.step(Pulled{Peer: "q", Answer: Answer{Version: v}}) },
		"the platform has it":       func(b *testBench) { b.step(HeadRead{Version: v}) },
		"no other peer can be queried": func(b *testBench) {
			b.step(Pulled{Peer: "q", Err: errLost})
			delete(b.view.Records, "q")
			b.advance(b.s.set.AloneAfter + time.Second)
		},
	}
	for name, witness := range witnesses {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t, "p", "q")
			b.step(VersionReceived{Peer: "p", Version: v, Pushed: true})
			b.step(Pulled{Peer: "p", Answer: Answer{Version: v, Snapshot: snap}})
			b.wantHeld(0)
			witness(b)
			b.wantHeld(300)
		})
	}
}
