package distribute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// Guards against "no such route" from a VM that has just started while neither the platform nor any
// peer is reachable. Without an answer it stays not ready, however long, and keeps retrying.
func TestNotReadyWithoutPlatformAndPeers(t *testing.T) {
	b := newTestBench(t, "p")
	reads, queries := 0, 0
	for range 600 {
		for _, a := range b.advance(tickInterval) {
			switch a := a.(type) {
			case ReadHead:
				reads++
				b.step(HeadRead{Err: errLost})
			case Query:
				queries++
				b.step(Queried{Peer: a.Peer, Err: errLost})
			}
		}
	}
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("ready without an answer from any peer")
	}
	if reads < 3 || reads > 60 || queries < 10 || queries > 200 {
		t.Fatalf("%d reads and %d queries in a minute", reads, queries)
	}
}

// Guards against a data centre that restarts as a whole while the platform is down and agrees on
// the empty configuration, without any route. Answers of peers that are starting do not count.
func TestEmptyNodesStayNotReadyWithoutPlatform(t *testing.T) {
	m := newMesh(8, 1, 3, func(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) })
	m.commitChange(nil)
	m.platformDown = true
	m.run(2 * time.Minute)
	if n := m.readyCount(); n != 0 {
		t.Fatalf("%d empty nodes are ready", n)
	}
	m.platformDown = false
	m.run(30 * time.Second)
	if !m.converged() || m.readyCount() != 8 {
		t.Fatal(describe(m))
	}
}

// Guards against a restarted VM that becomes ready with version 4 though a peer saw version 5 in
// force there. The reason reported has to name the peer and both versions.
func TestNotReadyBelowVersionSeenByPeer(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 5)
	b.step(Tick{})
	b.step(pushReceived("p", ds[:4]))
	b.step(Queried{Peer: "p", Answer: Answer{Version: ds[3].To, YouHeld: 5, Ready: true}})
	b.step(HeadRead{Version: ds[3].To})
	b.advance(time.Minute)
	if ok, why := b.s.Ready(); ok || why != "version 4 is in force, but p saw version 5 in force here before" {
		t.Fatalf("ready %t: %s", ok, why)
	}
	b.step(pushReceived("p", ds[4:]))
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// Guards against a restarted VM that serves without a change it ran before. Its peer knew of the
// version but had not pulled it, so only the peer's record of the VM can prevent that.
func TestPeerReportsInForceVersionItDoesNotHold(t *testing.T) {
	b := newTestBench(t, "vm", "p")
	ds, _ := history(t, "booking", 3)
	b.step(pushReceived("p", ds[:1]))
	b.step(VersionReceived{Peer: "vm", Version: ds[2].To, InForce: 3})
	b.step(VersionReceived{Peer: "vm", Version: config.Empty().Version()}) // restarted
	if a := b.s.Serve(b.view, "vm", config.Empty().Version(), true); a.YouHeld != 3 || a.Version.Number != 1 {
		t.Fatalf("reports version %d as seen in force at the VM", a.YouHeld)
	}
}

// Guards a restarted VM against staying not ready because a peer pushed a newer version and died
// before any node pulled it.
func TestClaimOfADeadPeerIsDropped(t *testing.T) {
	b := newTestBench(t, "p", "q", "dead")
	ds, _ := history(t, "booking", 2)
	b.step(pushReceived("p", ds[:1]))
	b.step(VersionReceived{Peer: "dead", Version: ds[1].To, Pushed: true})
	for _, p := range []string{"p", "q"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ds[0].To, Ready: true}})
	}
	b.step(Queried{Peer: "dead", Err: errLost})
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("ready though a peer pushed a newer version")
	}
	for range 600 {
		b.advance(tickInterval)
		if b.s.pull.peer != "" {
			b.step(Pulled{Peer: b.s.pull.peer, Err: errLost})
		}
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
}

// Guards against VMs that serve the history of a restored backup beside VMs that serve the newer
// one. A node that read the platform's history must not be ready when its peers run another.
func TestNotReadyOnOtherHistoryThanPeers(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 3)
	b.step(HeadRead{Version: theirs[2].To})
	b.step(PlatformRead{Deltas: theirs})
	b.wantHeld(3)
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
	}
	for range 30 {
		b.advance(time.Second)
		b.step(HeadRead{Version: theirs[2].To})
	}
	if ok, _ := b.s.Ready(); ok || len(b.s.Conflicts()) == 0 {
		t.Fatal("ready with another history than its peers")
	}
}

// Guards against the same when the peers answered first. While the node holds nothing, their
// versions are newer and no conflict; then it reads the restored table, which is ahead of theirs.
// Their answers counted as agreement, and it served a configuration that no other node ran.
func TestPeerAnswersAreComparedWithHeldHistory(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 4)
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true}})
	}
	b.step(HeadRead{Version: theirs[3].To})
	b.step(PlatformRead{Deltas: theirs})
	b.wantHeld(4)
	requeried := 0
	for range 300 {
		for _, a := range b.advance(tickInterval) {
			if a, ok := a.(Query); ok {
				requeried++
				b.step(Queried{Peer: a.Peer, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
			}
		}
		if ok, _ := b.s.Ready(); ok {
			t.Fatal("ready with another history than its peers")
		}
	}
	if requeried == 0 || len(b.s.Conflicts()) == 0 {
		t.Errorf("%d more queries, %d conflicts", requeried, len(b.s.Conflicts()))
	}
}

// Guards against a VM that refuses its callers until an operator restarts it. It started while a
// table restored by mistake was in place; since then the right table is back, and no change leads
// to it. The node has to stop and restart without state, but not while the platform has its
// history.
func TestNodeOnAbandonedHistoryStops(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 5)
	theirs, _ := history(t, "theirs", 4)
	b.step(HeadRead{Version: theirs[3].To})
	b.step(PlatformRead{Deltas: theirs})
	b.wantHeld(4)
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true, OtherHistory: true}})
	}
	for range 10 {
		b.step(HeadRead{Version: theirs[3].To})
		if b.s.Orphaned() {
			t.Fatal("orphaned while the platform has its history")
		}
	}
	b.step(HeadRead{Version: ours[2].To})
	if b.s.Orphaned() {
		t.Fatal("orphaned after a single older head, which may be a stale read")
	}
	for range maxOlderHeads {
		b.step(HeadRead{Version: ours[2].To})
	}
	if !b.s.Orphaned() {
		t.Fatal("not orphaned with a history that neither the peers nor the platform have")
	}
}

// Guards against a ready node that stops because the platform's table was replaced. The version in
// force stays in force.
func TestReadyNodeNeverStopsForOtherHistory(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 3)
	theirs, _ := history(t, "theirs", 5)
	b.step(HeadRead{Version: ours[2].To})
	b.step(PlatformRead{Deltas: ours})
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[2].To, Ready: true}})
	}
	b.advance(tickInterval)
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	for range 2 * maxOlderHeads {
		b.step(HeadRead{Version: theirs[2].To})
		b.step(VersionReceived{Peer: "p", Version: theirs[2].To, Pushed: true})
		b.advance(tickInterval)
	}
	if b.s.Orphaned() {
		t.Fatal("orphaned though it carries traffic")
	}
}

// Guards against a change accepted on a table that was emptied by mistake, which no node applies.
// The accepting node had just started and had read only the empty table. It is not caught up until
// it holds its peers' version; whether it can run that version does not matter.
func TestCaughtUpOnlyWithPeerVersions(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ds, _ := history(t, "mesh", 2)
	b.step(Tick{})
	b.step(HeadRead{Version: config.Empty().Version()})
	if b.s.CaughtUp() {
		t.Fatal("caught up by the platform alone")
	}
	b.step(VersionReceived{Peer: "p", Version: ds[1].To})
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ds[1].To, YouHeld: 2, Ready: true}})
	}
	if b.s.CaughtUp() {
		t.Fatal("caught up before it holds the version of its peers")
	}
	b.s.Step(b.now, b.rng, b.view, pushReceived("p", ds)) // nothing comes into force
	b.wantHeld(2)
	if ok, _ := b.s.Ready(); ok || !b.s.CaughtUp() {
		t.Fatalf("ready %t, caught up %t", ok, b.s.CaughtUp())
	}
}

// Guards a restarted VM against staying not ready for "the platform holds a newer version", when
// the head of a restored backup has a higher number than the version that it and its peers run.
func TestHigherHeadOfOtherHistoryDoesNotBlockReady(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.step(pushReceived("p", ours))
	b.step(HeadRead{Version: theirs[3].To})
	if findings(b.step(PlatformRead{Deltas: theirs[2:]}), "conflict") != 1 {
		t.Error("conflict not reported")
	}
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[1].To, Ready: true}})
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	b.wantHeld(2)
}

// Guards a VM that read a table restored by mistake against staying not ready after the table is
// repaired and it is restarted. Its peers saw it run a version of the other history, higher than
// any existing one.
func TestOtherHistoryDoesNotRaiseMinVersion(t *testing.T) {
	b := newTestBench(t, "vm", "p")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.step(pushReceived("p", ours))
	b.step(VersionReceived{Peer: "vm", Version: theirs[3].To, InForce: 4, Pushed: true})
	b.step(Pulled{Peer: "vm", Answer: Answer{Version: theirs[3].To, OtherHistory: true}})
	b.view.Records["vm"].AppliedVersion = 4 // its record from before the restart
	empty := config.Empty().Version()
	if a := b.s.Serve(b.view, "vm", empty, true); a.YouHeld != 2 {
		t.Fatalf("reports version %d as seen in force at the VM", a.YouHeld)
	}
	b.step(VersionReceived{Peer: "vm", Version: empty}) // restarted
	b.advance(b.s.set.BanTime + time.Second)
	more, _ := history(t, "ours", 5)
	b.step(VersionReceived{Peer: "vm", Version: more[4].To, InForce: 5})
	if a := b.s.Serve(b.view, "vm", empty, true); a.YouHeld != 5 {
		t.Fatalf("version 5, seen in force since, is lost: %d", a.YouHeld)
	}
}

// Guards a VM that restarted while the wrong table was replaced against staying not ready. It read
// the wrong table's head, the platform went down before the log could show the other history, and
// no head of the right table is as high.
func TestVanishedHeadDoesNotBlockReady(t *testing.T) {
	b := newTestBench(t, "p", "q", "r")
	ours, _ := history(t, "ours", 2)
	theirs, _ := history(t, "theirs", 4)
	b.step(pushReceived("p", ours))
	b.step(HeadRead{Version: theirs[3].To})
	b.step(PlatformRead{Err: errLost})
	for _, p := range []string{"p", "q", "r"} {
		b.step(Queried{Peer: p, Answer: Answer{Version: ours[1].To, Ready: true}})
	}
	b.step(HeadRead{Version: ours[1].To})
	if ok, _ := b.s.Ready(); ok {
		t.Fatal("a single read, which may be stale, replaced the newer head")
	}
	for range maxOlderHeads {
		b.step(HeadRead{Version: ours[1].To})
	}
	if ok, why := b.s.Ready(); !ok {
		t.Fatal(why)
	}
	b.wantHeld(2)
}

// Guards the platform against reads by every node of many that start at once. The answer to a join
// carries a version before the view has any members; considering itself the only node, it would
// read the head, the log and the snapshot.
func TestNoPlatformReadBeforeFirstContact(t *testing.T) {
	ds, _ := history(t, "booking", 2)
	s := New(Defaults("vm", "dc", TimeProfile()), time.Unix(0, 0))
	alone := &membership.View{Self: "vm"}
	rng := rand.New(rand.NewPCG(1, 1))
	out := s.Step(time.Unix(1, 0), rng, alone, VersionReceived{Peer: "p", Version: ds[1].To})
	if _, ok := find[ReadHead](out); ok {
		t.Fatal("reads the platform before first contact")
	}
	if _, ok := find[ReadHead](s.Step(time.Unix(2, 0), rng, alone, Tick{})); !ok {
		t.Fatal("the only node does not read the platform")
	}
}
