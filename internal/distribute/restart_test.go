package distribute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// What a caller would see: "no such route" from a VM that has just started
// while the platform is down and no peer can be reached. With nobody to ask
// the node does not carry traffic, however long it takes, and keeps trying.
func TestAloneWithoutThePlatformStaysNotReady(t *testing.T) {
	b := newBench(t, "p")
	reads, asks := 0, 0
	for range 600 {
		for _, a := range b.wait(tickEvery) {
			switch a := a.(type) {
			case ReadHead:
				reads++
				b.do(HeadRead{Err: errLost})
			case Query:
				asks++
				b.do(Queried{Peer: a.Peer, Err: errLost})
			}
		}
	}
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("ready without having asked anybody")
	}
	if reads < 3 || reads > 60 || asks < 10 || asks > 200 {
		t.Fatalf("%d reads and %d asks in a minute", reads, asks)
	}
}

// What a caller would see: a whole data centre comes back after a power cut
// while the platform is down, and its VMs agree among themselves on the empty
// configuration: every route is gone. Answers of peers that are starting
// themselves do not count.
func TestHerdOfEmptyNodesIsNotReadyWithoutThePlatform(t *testing.T) {
	m := newMesh(8, 1, 3, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	m.change(nil)
	m.down = true
	m.run(2 * time.Minute)
	if n := m.readyCount(); n != 0 {
		t.Fatalf("%d empty nodes are ready", n)
	}
	m.down = false
	m.run(30 * time.Second)
	if !m.converged() || m.readyCount() != 8 {
		t.Fatal(describe(m))
	}
}

// What an operator would see: a VM that stays out of service after a restart.
// It ran version 5, its peers saw that, and it holds only 4 now. Handover has
// to say who saw what.
func TestFloorHoldsUntilReached(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 5)
	b.do(Tick{})
	b.do(heardTell("p", ds[:4]))
	b.do(Queried{Peer: "p", Answer: Answer{Version: ds[3].To, YouHeld: 5, Ready: true}})
	b.do(HeadRead{Version: ds[3].To})
	b.wait(time.Minute)
	if ok, why := b.s.Ready(); ok || why != "version 4 is in force, but p saw version 5 in force here before" {
		t.Fatalf("ready %t: %s", ok, why)
	}
	b.do(heardTell("p", ds[4:]))
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// What a caller would see: a VM that ran a change for a moment, restarted, and
// runs without it. Its peer had heard of the version but not yet pulled it, so
// what it remembers of the VM is all that can hold the VM back.
func TestPeersRememberWhatTheyDoNotHold(t *testing.T) {
	b := newBench(t, "vm", "p")
	ds, _ := history(t, "booking", 3)
	b.do(heardTell("p", ds[:1]))
	b.do(VersionReceived{Peer: "vm", Version: ds[2].To, InForce: 3})
	b.do(VersionReceived{Peer: "vm", Version: config.Empty().Version()}) // restarted
	if a := b.s.Serve(b.view, "vm", config.Empty().Version(), true); a.YouHeld != 3 || a.Version.Number != 1 {
		t.Fatalf("tells the VM that it held %d", a.YouHeld)
	}
}

// What an operator would see: a restarted VM that stays out of service because
// a peer told a newer version and died before anybody could pull it.
func TestClaimOfADeadPeerIsDropped(t *testing.T) {
	b := newBench(t, "p", "q", "dead")
	ds, _ := history(t, "booking", 2)
	b.do(heardTell("p", ds[:1]))
	b.do(VersionReceived{Peer: "dead", Version: ds[1].To, Pushed: true})
	for _, p := range []string{"p", "q"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ds[0].To, Ready: true}})
	}
	b.do(Queried{Peer: "dead", Err: errLost})
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("ready though a peer told a newer version")
	}
	for range 600 {
		b.wait(tickEvery)
		if b.s.pull.peer != "" {
			b.do(Pulled{Peer: b.s.pull.peer, Err: errLost})
		}
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// What an operator would see: after a backup was restored, VMs that start run
// the restored history beside VMs that run the newer one, and callers get one
// or the other by chance. A node that took the platform's history and finds
// that its peers run another does not carry traffic.
func TestStartIntoTwoHistoriesIsNotReady(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 3)
	b.do(HeadRead{Version: theirs[2].To})
	b.do(PlatformRead{Deltas: theirs})
	b.holds(3)
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
	}
	for range 30 {
		b.wait(time.Second)
		b.do(HeadRead{Version: theirs[2].To})
	}
	if ok, _ := b.s.Ready(); ok || len(b.s.Conflicts()) == 0 {
		t.Fatal("ready with another history than its peers")
	}
}

// What an operator would see: the same, where the peers were asked first. While the
// node holds nothing their versions are newer, and no conflict. Then it reads the
// restored table, which is ahead of them. Their answers counted for it, and it served
// callers, for good, from a configuration that no other node ran.
func TestAnswersAreJudgedByTheHistoryHeld(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 4)
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true}})
	}
	b.do(HeadRead{Version: theirs[3].To})
	b.do(PlatformRead{Deltas: theirs})
	b.holds(4)
	asked := 0
	for range 300 {
		for _, a := range b.wait(tickEvery) {
			if a, ok := a.(Query); ok {
				asked++
				b.do(Queried{Peer: a.Peer, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
			}
		}
		if ok, _ := b.s.Ready(); ok {
			t.Fatal("ready with another history than its peers")
		}
	}
	if asked == 0 || len(b.s.Conflicts()) == 0 {
		t.Errorf("asked %d times more, %d conflicts", asked, len(b.s.Conflicts()))
	}
}

// What an operator would see: a table is restored by mistake, a VM starts and takes its
// history, the right table is put back, and the VM refuses its callers until somebody starts
// it again. Nothing leads from what it holds to what all others run, and it never carried
// traffic with it, so it has to end by itself and start without memory. It must not as long
// as the platform holds that history: started again it would only take it once more.
func TestNodeOfAHistoryThatIsGoneEnds(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 5)
	theirs, _ := history(t, "theirs", 4)
	b.do(HeadRead{Version: theirs[3].To})
	b.do(PlatformRead{Deltas: theirs})
	b.holds(4)
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
	}
	for range 10 {
		b.do(HeadRead{Version: theirs[3].To})
		if b.s.Orphaned() {
			t.Fatal("ends while the platform has its history")
		}
	}
	b.do(HeadRead{Version: ours[2].To})
	if b.s.Orphaned() {
		t.Fatal("ends for a single older head, which may be a stale read")
	}
	for range olderHeads {
		b.do(HeadRead{Version: ours[2].To})
	}
	if !b.s.Orphaned() {
		t.Fatal("holds on to a history that nobody has")
	}
}

// What an operator would see: a node that carries traffic stops, and its callers with it,
// because the platform was given another table. What is in force stays in force.
func TestNodeThatCarriesTrafficNeverEndsForAnotherHistory(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 5)
	b.do(HeadRead{Version: ours[2].To})
	b.do(PlatformRead{Deltas: ours})
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true}})
	}
	b.wait(tickEvery)
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	for range 2 * olderHeads {
		b.do(HeadRead{Version: theirs[2].To})
		b.do(VersionReceived{Peer: "p", Version: theirs[2].To, Pushed: true})
		b.wait(tickEvery)
	}
	if b.s.Orphaned() {
		t.Fatal("ends though it carries traffic")
	}
}

// What an operator would see: a change that is accepted on a table wiped by
// mistake, and that no node follows. The node that took it had just started and
// had only read the empty table. It must know that it does not know yet, until
// it holds what its peers hold; that it can't run that version is no reason.
func TestNodeKnowsWhenItIsInformed(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ds, _ := history(t, "mesh", 2)
	b.do(Tick{})
	b.do(HeadRead{Version: config.Empty().Version()})
	if b.s.CaughtUp() {
		t.Fatal("informed by the platform alone")
	}
	b.do(VersionReceived{Peer: "p", Version: ds[1].To})
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ds[1].To, YouHeld: 2, Ready: true}})
	}
	if b.s.CaughtUp() {
		t.Fatal("informed before it holds what its peers hold")
	}
	b.s.Step(b.now, b.rng, b.view, heardTell("p", ds)) // nothing comes in force
	b.holds(2)
	if ok, _ := b.s.Ready(); ok || !b.s.CaughtUp() {
		t.Fatalf("ready %t, informed %t", ok, b.s.CaughtUp())
	}
}

// What an operator would see: while a restored backup runs ahead of the mesh, a
// VM that is restarted stays out of service, and goes on so when the right
// table is back: "the platform holds a newer version". It runs what its peers
// run, and the number of the other history's head is all that holds it back.
func TestOtherHistoryAheadDoesNotHoldANodeBack(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.do(heardTell("p", ours))
	b.do(HeadRead{Version: theirs[3].To})
	if findings(b.do(PlatformRead{Deltas: theirs[2:]}), "conflict") != 1 {
		t.Error("no report")
	}
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[1].To, Ready: true}})
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	b.holds(2)
}

// What an operator would see: a VM that read a wrongly restored table when it
// started, and that stays out of service also after the table is put right and
// it is started again, as the pages say. Its peers saw it run a version of the
// other history that is higher than any that there is now.
func TestOtherHistoryIsNoFloor(t *testing.T) {
	b := newBench(t, "vm", "p")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.do(heardTell("p", ours))
	b.do(VersionReceived{Peer: "vm", Version: theirs[3].To, InForce: 4, Pushed: true})
	b.do(Pulled{Peer: "vm", Answer: Answer{Version: theirs[3].To, OtherHistory: true}})
	b.view.Records["vm"].AppliedVersion = 4 // its record of before the restart
	empty := config.Empty().Version()
	if a := b.s.Serve(b.view, "vm", empty, true); a.YouHeld != 2 {
		t.Fatalf("tells the VM that it held %d", a.YouHeld)
	}
	b.do(VersionReceived{Peer: "vm", Version: empty}) // restarted
	b.wait(b.s.set.BanTime + time.Second)
	more, _ := history(t, "ours", 5)
	b.do(VersionReceived{Peer: "vm", Version: more[4].To, InForce: 5})
	if a := b.s.Serve(b.view, "vm", empty, true); a.YouHeld != 5 {
		t.Fatalf("forgets that the VM held 5 since: %d", a.YouHeld)
	}
}

// What an operator would see: a VM that was restarted while the wrong table was
// swapped for the right one stays out of service until it is restarted again. It
// read the head of the wrong one, the platform went down before the log could
// show the other history, and no head of the right table is as high.
func TestHeadThatIsGoneDoesNotHoldANodeBack(t *testing.T) {
	b := newBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.do(heardTell("p", ours))
	b.do(HeadRead{Version: theirs[3].To})
	b.do(PlatformRead{Err: errLost})
	for _, p := range []string{"p", "q", "r"} {
		b.do(Queried{Peer: p, Answer: Answer{Version: ours[1].To, Ready: true}})
	}
	b.do(HeadRead{Version: ours[1].To})
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("one read, which may be stale, undid what a later version showed")
	}
	for range olderHeads {
		b.do(HeadRead{Version: ours[1].To})
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	b.holds(2)
}

// What an operator would see: reads of the platform that rise with the number of
// nodes that come back at once. The answer that lets a node into the mesh tells
// it of a version before its view holds anybody; alone, as it seems, it would
// read the head, the log and the snapshot from the platform.
func TestNoReadBeforeFirstContact(t *testing.T) {
	ds, _ := history(t, "booking", 2)
	s := New(Defaults("vm", "dc", TimeProfile()), time.Unix(0, 0))
	alone := &membership.View{Self: "vm"}
	rng := rand.New(rand.NewPCG(1, 1))
	out := s.Step(time.Unix(1, 0), rng, alone, VersionReceived{Peer: "p", Version: ds[1].To})
	if _, ok := find[ReadHead](out); ok {
		t.Fatal("reads the platform before first contact")
	}
	if _, ok := find[ReadHead](s.Step(time.Unix(2, 0), rng, alone, Tick{})); !ok {
		t.Fatal("alone, and does not read the platform")
	}
}
