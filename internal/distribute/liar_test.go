package distribute

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// What an operator would see: one broken or captured VM makes the proxies run
// targets that nobody stated. Its delta names a parent that is held, but the
// content does not hash to the version it promises.
func TestForgedDeltaIsRefused(t *testing.T) {
	b := newBench(t, "liar", "p")
	ds, _ := history(t, "booking", 2)
	b.do(heardTell("p", ds[:1]))
	forged := *ds[1]
	forged.Set = []config.Object{config.EncodeService(config.Service{Name: "evil", Team: "x"})}
	if findings(b.do(heardTell("liar", []*config.Delta{&forged})), "bad_peer") != 1 {
		t.Fatal("not reported")
	}
	b.holds(1)
	b.do(heardTell("p", ds[1:]))
	b.holds(2)
}

// What an operator would see: a restarted VM that never becomes ready, since
// one peer says that it holds version 10^18 and cannot show it. The claim is
// dropped with the first answer, and the peer is not believed for a while.
func TestClaimThatCannotBeShownIsDropped(t *testing.T) {
	b := newBench(t, "liar", "p", "q")
	ds, _ := history(t, "booking", 2)
	b.do(heardTell("p", ds))
	high := config.Version{Number: 1e18, Hash: config.Hash{1}}
	pull, ok := find[Pull](b.do(VersionReceived{Peer: "liar", Version: high, Pushed: true}))
	if !ok || pull.Peer != "liar" {
		t.Fatal("no pull from the peer that claims")
	}
	if findings(b.do(Pulled{Peer: "liar", Answer: Answer{Version: high}}), "bad_peer") != 1 {
		t.Fatal("not reported")
	}
	if _, again := find[Pull](b.do(VersionReceived{Peer: "liar", Version: high, Pushed: true})); again {
		t.Fatal("believed again at once")
	}
	for _, p := range []string{"p", "q"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ds[1].To, Ready: true}})
	}
	if ok, why := b.s.Ready(); ok {
		t.Fatal("ready before three peers were asked: " + why)
	}
	b.do(Queried{Peer: "liar", Answer: Answer{Version: high, Ready: true}})
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// What an operator would see: a node that was cut off comes back and takes a
// whole configuration from one captured VM. A snapshot proves its content, not
// that it descends from the version held, so it waits for a second witness;
// when the others do not know it, it is dropped and its sender reported.
func TestSnapshotFromOnePeerNeedsAWitness(t *testing.T) {
	b := newBench(t, "liar", "p")
	ds, _ := history(t, "booking", 2)
	theirs, forged := history(t, "evil", 300)
	b.do(heardTell("p", ds))
	b.do(VersionReceived{Peer: "liar", Version: theirs[299].To, Pushed: true})
	out := b.do(Pulled{Peer: "liar", Answer: Answer{Version: forged.Version(), Snapshot: forged}})
	b.holds(2)
	ask, ok := find[Pull](out)
	if !ok || ask.Peer != "p" || ask.Version != forged.Version() {
		t.Fatalf("does not ask the other peer for it: %v", out)
	}
	b.do(Pulled{Peer: "p", Answer: Answer{Version: ds[1].To}})
	b.do(VersionReceived{Peer: "liar", Version: forged.Version()}) // no witness for itself
	b.holds(2)
	if findings(b.wait(b.s.set.AloneAfter+time.Second), "unconfirmed") != 1 {
		t.Fatal("not reported")
	}
	b.holds(2)
}

func TestSnapshotWithAWitnessIsTaken(t *testing.T) {
	_, snap := history(t, "booking", 300)
	v := snap.Version()
	witnesses := map[string]func(b *bench){
		"a second peer tells it":    func(b *bench) { b.do(VersionReceived{Peer: "q", Version: v}) },
		"a second peer confirms it": func(b *bench) { b.do(Pulled{Peer: "q", Answer: Answer{Version: v}}) },
		"the platform has it":       func(b *bench) { b.do(HeadRead{Version: v}) },
		"nobody else can be asked": func(b *bench) {
			b.do(Pulled{Peer: "q", Err: errLost})
			delete(b.view.Records, "q")
			b.wait(b.s.set.AloneAfter + time.Second)
		},
	}
	for name, witness := range witnesses {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "p", "q")
			b.do(VersionReceived{Peer: "p", Version: v, Pushed: true})
			b.do(Pulled{Peer: "p", Answer: Answer{Version: v, Snapshot: snap}})
			b.holds(0)
			witness(b)
			b.holds(300)
		})
	}
}
