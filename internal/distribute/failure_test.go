package distribute

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// bench drives one State by hand.
type bench struct {
	t    *testing.T
	s    *State
	now  time.Time
	rng  *rand.Rand
	view *membership.View
	out  []Action
}

func newBench(t *testing.T, peers ...string) *bench {
	now := time.Unix(1_700_000_000, 0)
	b := &bench{t: t, now: now, rng: rand.New(rand.NewPCG(1, 1)),
		view: &membership.View{Records: make(map[string]*membership.ObservedRecord)}}
	for _, p := range append(peers, "self") {
		b.view.Records[p] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: p, DataCentre: "dc"}, State: membership.VMAlive,
		}}
	}
	b.s = New(Defaults("self", "dc", TimeProfile()), now)
	return b
}

// do feeds an event, puts what is offered in force, and returns the actions.
func (b *bench) do(ev Event) []Action {
	b.out = b.s.Step(b.now, b.rng, b.view, ev)
	out := b.out
	for _, a := range out {
		if o, ok := a.(Offer); ok {
			out = append(out, b.do(Offered{Version: o.Snapshot.Version()})...)
		}
	}
	return out
}

func (b *bench) wait(d time.Duration) []Action {
	var out []Action
	for range int(d / tickEvery) {
		b.now = b.now.Add(tickEvery)
		out = append(out, b.do(Tick{})...)
	}
	return out
}

func (b *bench) holds(n uint64) {
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

// history makes n versions. The name sets two histories apart.
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

func heardTell(peer string, ds []*config.Delta) VersionReceived {
	to := ds[len(ds)-1].To
	return VersionReceived{Peer: peer, Version: to, InForce: to.Number, Pushed: true, Deltas: ds}
}

// What an operator would see: a target that changed twice in a second ends up
// as it was after the first change. The two updates crossed on the way, the
// second came first, and then both came again.
func TestCrossedAndDoubledUpdates(t *testing.T) {
	b := newBench(t, "p", "q")
	ds, _ := history(t, "booking", 3)
	b.do(heardTell("p", ds[:1]))
	b.do(heardTell("q", ds[2:])) // a gap: not applied
	b.holds(1)
	b.do(heardTell("p", ds[1:2]))
	b.holds(2)
	b.do(heardTell("q", ds[2:]))
	b.holds(3)
	out := append(b.do(heardTell("p", ds[:1])), b.do(heardTell("q", ds[:3]))...)
	b.holds(3)
	if _, ok := find[Offer](out); ok {
		t.Fatal("an old update was offered again")
	}
}

// What an operator would see: after the platform's table was restored from
// yesterday's backup and changed again, half the proxies silently run the new
// history and half the old. The platform's head has a number that is held here
// with another hash: it is reported as a conflict and not followed.
func TestRestoredBackupIsReportedAndNotFollowed(t *testing.T) {
	b := newBench(t, "p")
	ours, _ := history(t, "ours", 5)
	theirs, _ := history(t, "theirs", 8)
	b.do(heardTell("p", ours))
	for _, head := range []config.Version{theirs[4].To, theirs[2].To} {
		if findings(b.do(HeadRead{Version: head}), "conflict") != 1 {
			t.Fatalf("head %d of another history was not reported", head.Number)
		}
	}
	out := b.do(HeadRead{Version: theirs[7].To})
	since, ok := find[ReadSince](out)
	if !ok || since.Version != ours[4].To {
		t.Fatal("does not ask how the higher head follows from the version held")
	}
	if findings(b.do(PlatformRead{Deltas: theirs[5:]}), "conflict") != 1 {
		t.Fatal("deltas of another history were not reported")
	}
	b.holds(5)
	if c := b.s.Conflicts(); len(c) != 3 || c[0].Source != SourcePlatform {
		t.Fatalf("conflicts for the handover: %v", c)
	}
}

// What an operator would see: a change of a minute ago is gone, since the
// platform answered a read with an older head.
func TestOlderHeadIsIgnoredAndReported(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 5)
	if _, ok := find[ReadHead](b.do(heardTell("p", ds))); !ok {
		t.Fatal("the head was not read")
	}
	if findings(b.do(HeadRead{Version: ds[2].To}), "stale_head") != 1 {
		t.Fatal("not reported")
	}
	b.holds(5)
}

// What an operator would see: a part of a data centre that runs a change
// seconds after the rest, whenever a VM near the top of the tree has just died
// and nobody has noticed. Whoever cannot reach it tells its children.
func TestLossInTheTreeIsSteppedOver(t *testing.T) {
	b := newBench(t, "a", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m")
	ds, _ := history(t, "booking", 1)
	out := b.do(Accepted{ds[0]})
	first, ok := find[Push](out)
	if !ok {
		t.Fatal("told nobody")
	}
	tr := newTree(&b.s.set, b.view, ds[0].To)
	for _, lost := range first.Peers {
		again, _ := find[Push](b.do(PushDone{Peer: lost, Version: ds[0].To, Err: errors.New("gone")}))
		if want := tr.adopted(lost); len(again.Peers) != len(want) {
			t.Fatalf("in place of %s told %v, want %v", lost, again.Peers, want)
		}
		if twice, _ := find[Push](b.do(PushDone{Peer: lost, Version: ds[0].To, Err: errors.New("gone")})); len(twice.Peers) != 0 {
			t.Fatal("stood in twice")
		}
	}
}

// What an operator would see: sending nodes that fall over when a herd comes
// back, each refused node asking again at once. A refused pull waits for the
// time it is given and a random part more.
func TestBusyPeerIsNotAskedAtOnce(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 2)
	b.do(VersionReceived{Peer: "p", Version: ds[1].To, Pushed: true})
	if _, ok := find[Pull](b.do(Pulled{Peer: "p", Err: &BusyError{time.Second}})); ok {
		t.Fatal("asked again at once")
	}
	if _, ok := find[Pull](b.wait(900 * time.Millisecond)); ok {
		t.Fatal("asked before the time it was given")
	}
	if _, ok := find[Pull](b.wait(1200 * time.Millisecond)); !ok {
		t.Fatal("not asked again")
	}
}

// What an operator would see: "accepted" for a change on a node that had not
// yet heard of the one before. It reads what lies between from the platform.
func TestAcceptedAheadOfWhatIsHeld(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 3)
	b.do(heardTell("p", ds[:1]))
	since, ok := find[ReadSince](b.do(Accepted{ds[2]}))
	if !ok || since.Version != ds[0].To {
		t.Fatal("does not read the deltas between")
	}
	b.do(PlatformRead{Deltas: ds[1:]})
	b.holds(3)
}

// What an operator would see: a data centre that was cut off for a day comes
// back, and takes minutes to catch up, one part of the log per timer.
func TestLongLogIsReadOnAtOnce(t *testing.T) {
	b := newBench(t, "p")
	ds, _ := history(t, "booking", 9)
	b.do(heardTell("p", ds[:1]))
	b.do(HeadRead{Version: ds[8].To})
	if since, ok := find[ReadSince](b.do(PlatformRead{Deltas: ds[1:5]})); !ok || since.Version != ds[4].To {
		t.Fatal("does not read on")
	}
	if _, ok := find[ReadSince](b.do(PlatformRead{})); ok {
		t.Fatal("reads on without having learned anything")
	}
	b.holds(5)
}
