package distribute

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// testBench drives one State by hand.
type testBench struct {
	t    *testing.T
	s    *State
	now  time.Time
	rng  *rand.Rand
	view *membership.View
	out  []Action
}

func newTestBench(t *testing.T, peers ...string) *testBench {
	now := time.Unix(1_700_000_000, 0)
	b := &testBench{t: t, now: now, rng: rand.New(rand.NewPCG(1, 1)),
		view: &membership.View{Records: make(map[string]*membership.ObservedRecord)}}
	for _, p := range append(peers, "self") {
		b.view.Records[p] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: p, DataCentre: "dc"}, State: membership.VMAlive,
		}}
	}
	b.s = New(Defaults("self", "dc", TimeProfile()), now)
	return b
}

// step passes an event to the state, puts offered versions in force, and returns the actions.
func (b *testBench) step(ev Event) []Action {
	b.out = b.s.Step(b.now, b.rng, b.view, ev)
	out := b.out
	for _, a := range out {
		if o, ok := a.(Offer); ok {
			out = append(out, b.step(Offered{Version: o.Snapshot.Version()})...)
		}
	}
	return out
}

func (b *testBench) advance(d time.Duration) []Action {
	var out []Action
	for range int(d / tickInterval) {
		b.now = b.now.Add(tickInterval)
		out = append(out, b.step(Tick{})...)
	}
	return out
}

func (b *testBench) wantHeld(n uint64) {
	b.t.Helper()
	if got := b.s.Version().Number; got != n {
		b.t.Fatalf("holds version %d, want %d", got, n)
	}
}

func find[A Action](out []Action) (A, bool) {
	for _, a := range out {
		if v, ok := a.(A); ok {
			return v, true
		}
	}
	var none A
	return none, false
}

func findings(out []Action, kind string) int {
	n := 0
	for _, a := range out {
		if r, ok := a.(Report); ok && r.Finding.Kind() == kind {
			n++
		}
	}
	return n
}

// history makes n versions. The name distinguishes histories.
func history(t *testing.T, name string, n int) ([]*config.Delta, *config.Snapshot) {
	t.Helper()
	var ds []*config.Delta
	s := config.Empty()
	for i := range n {
		o := config.EncodeService(config.Service{Name: name, Team: "t", Description: string(rune('a' + i))})
		next, d, err := s.Next([]config.Object{o}, nil)
		if err != nil {
			t.Fatal(err)
		}
		s, ds = next, append(ds, d)
	}
	return ds, s
}

func pushReceived(peer string, ds []*config.Delta) VersionReceived {
	to := ds[len(ds)-1].To
	return VersionReceived{Peer: peer, Version: to, InForce: to.Number, Pushed: true, Deltas: ds}
}

// Guards against a target that reverts to the first of two changes within a second. The updates
// were reordered on the way, and both were then duplicated.
func TestReorderedAndDuplicateUpdates(t *testing.T) {
	b := newTestBench(t, "p", "q")
	ds, _ := history(t, "booking", 3)
	b.step(pushReceived("p", ds[:1]))
	b.step(pushReceived("q", ds[2:])) // a gap: not applied
	b.wantHeld(1)
	b.step(pushReceived("p", ds[1:2]))
	b.wantHeld(2)
	b.step(pushReceived("q", ds[2:]))
	b.wantHeld(3)
	out := append(b.step(pushReceived("p", ds[:1])), b.step(pushReceived("q", ds[:3]))...)
	b.wantHeld(3)
	if _, ok := find[Offer](out); ok {
		t.Fatal("an old version was offered again")
	}
}

// Guards against proxies that silently run two histories after the platform's table was restored
// from a backup and changed again. A head with a number held here under another hash is reported as
// a conflict and not applied.
func TestRestoredBackupIsReportedAndNotFollowed(t *testing.T) {
	b := newTestBench(t, "p")
	ours, _ := history(t, "ours", 5)
	theirs, _ := history(t, "theirs", 8)
	b.step(pushReceived("p", ours))
	for _, head := range []config.Version{theirs[4].To, theirs[2].To} {
		if findings(b.step(HeadRead{Version: head}), "conflict") != 1 {
			t.Fatalf("head %d of another history was not reported", head.Number)
		}
	}
	out := b.step(HeadRead{Version: theirs[7].To})
	since, ok := find[ReadSince](out)
	if !ok || since.Version != ours[4].To {
		t.Fatal("does not read the log between the version held and the higher head")
	}
	if findings(b.step(PlatformRead{Deltas: theirs[5:]}), "conflict") != 1 {
		t.Fatal("deltas of another history were not reported")
	}
	b.wantHeld(5)
	if c := b.s.Conflicts(); len(c) != 3 || c[0].Source != SourcePlatform {
		t.Fatalf("conflicts for the handover: %v", c)
	}
}

// Guards against losing a recent change when the platform answers a read with an older head.
func TestOlderHeadIsIgnoredAndReported(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 5)
	if _, ok := find[ReadHead](b.step(pushReceived("p", ds))); !ok {
		t.Fatal("the head was not read")
	}
	if findings(b.step(HeadRead{Version: ds[2].To}), "stale_head") != 1 {
		t.Fatal("not reported")
	}
	b.wantHeld(5)
}

// Guards against a subtree that gets a change seconds late because a VM near the root of the tree
// has just died undetected. The node that cannot reach it pushes to its children.
func TestUnreachableTreeNodeIsBypassed(t *testing.T) {
	b := newTestBench(t, "a", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m")
	ds, _ := history(t, "booking", 1)
	out := b.step(Accepted{ds[0]})
	first, ok := find[Push](out)
	if !ok {
		t.Fatal("no push after an accepted change")
	}
	tr := newTree(&b.s.set, b.view, ds[0].To)
	for _, lost := range first.Peers {
		again, _ := find[Push](b.step(PushDone{Peer: lost, Version: ds[0].To, Err: errors.New("gone")}))
		if want := tr.bypassTargets(lost); len(again.Peers) != len(want) {
			t.Fatalf("in place of %s pushed to %v, want %v", lost, again.Peers, want)
		}
		if twice, _ := find[Push](b.step(PushDone{Peer: lost, Version: ds[0].To, Err: errors.New("gone")})); len(twice.Peers) != 0 {
			t.Fatal("bypassed the same node twice")
		}
	}
}

// Guards senders against overload when many nodes return and each refused node retries at once. A
// refused pull waits for the given time plus a random part.
func TestBusyPeerIsRetriedAfterDelay(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 2)
	b.step(VersionReceived{Peer: "p", Version: ds[1].To, Pushed: true})
	if _, ok := find[Pull](b.step(Pulled{Peer: "p", Err: &BusyError{time.Second}})); ok {
		t.Fatal("retried at once")
	}
	if _, ok := find[Pull](b.advance(900 * time.Millisecond)); ok {
		t.Fatal("retried before the delay of the refusal")
	}
	if _, ok := find[Pull](b.advance(1200 * time.Millisecond)); !ok {
		t.Fatal("not retried")
	}
}

// Guards a change accepted on a node that lacks the version before it: the node reads the deltas in
// between from the platform.
func TestAcceptedChangeAheadOfHeldVersion(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 3)
	b.step(pushReceived("p", ds[:1]))
	since, ok := find[ReadSince](b.step(Accepted{ds[2]}))
	if !ok || since.Version != ds[0].To {
		t.Fatal("does not read the deltas in between")
	}
	b.step(PlatformRead{Deltas: ds[1:]})
	b.wantHeld(3)
}

// Guards a data centre after a day's partition against taking minutes to catch up, with one part of
// the log per timer.
func TestLongLogIsReadWithoutDelay(t *testing.T) {
	b := newTestBench(t, "p")
	ds, _ := history(t, "booking", 9)
	b.step(pushReceived("p", ds[:1]))
	b.step(HeadRead{Version: ds[8].To})
	if since, ok := find[ReadSince](b.step(PlatformRead{Deltas: ds[1:5]})); !ok || since.Version != ds[4].To {
		t.Fatal("does not read the next part of the log")
	}
	if _, ok := find[ReadSince](b.step(PlatformRead{})); ok {
		t.Fatal("reads again after a part without deltas")
	}
	b.wantHeld(5)
}
